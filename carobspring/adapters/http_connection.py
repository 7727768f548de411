"""One connection of a caller: reads requests and runs their handler."""

import asyncio
import enum
import logging
import time
from dataclasses import replace
from typing import Any, Final

from circuits.web.headers import Headers
from circuits.web.parsers import HttpParser
from circuits.web.wrappers import Request, Response

from carobspring.adapters.byte_budget import SMALL_BODY_BYTES, ByteBudget, Hold
from carobspring.adapters.client_memory import (
    ConnectionUsage,
    estimate_request_bytes,
)
from carobspring.adapters.http_framing import (
    HEAD_END,
    LINE_END,
    ChunkedBody,
    Framing,
    FramingError,
    build_size_error,
    check_length,
    parse_framing,
)
from carobspring.adapters.http_responder import CircuitsResponder, encode_error
from carobspring.adapters.listeners import RECEIVE_BUFFER_BYTES
from carobspring.adapters.tasks import start_task
from carobspring.ports import BodyLimiter, HttpHandler, HttpLimits, HttpRequest

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
JSON_HEADERS = (("Content-Type", "application/json"),)

#: Seconds from the first byte of a head after which its connection makes
#: room for another one at the limit. Most heads are sent at once.
MAX_HEAD_S: Final = 1.0
#: Seconds that a caller has to read its last response and to close before its
#: connection makes room for another one at the limit.
MIN_LINGER_S: Final = 0.3
#: Retry-After in seconds of a request that is refused to make room.
NO_ROOM_RETRY_AFTER_S: Final = 1

#: Bytes outside ASCII that the parser strips from the ends of values, and
#: characters of no head that stand for them meanwhile.
STRIPPED_BYTES: Final = {"\x85": "\ue085", "\xa0": "\ue0a0"}

logger = logging.getLogger(__name__)


class ConnectionState(enum.Enum):
    """What a connection does, for the metrics."""

    IDLE = "idle"
    #: A request arrives.
    RECEIVING = "receiving"
    #: A request waits for room, or for its caller to read responses.
    WAITING = "waiting"
    #: A handler runs.
    HANDLING = "handling"
    #: The last response is sent, or the caller's close is awaited.
    CLOSING = "closing"


class HttpConnection:
    """Reads one request at a time and buffers the data that follows it.

    Bytes of a following request that arrive before the current response is
    complete are buffered, within the limits, and parsed afterwards. Responses
    are therefore never interleaved on a connection.
    """

    def __init__(
        self,
        *,
        sock: Any,
        peer: str,
        protocol: Any,
        handle: HttpHandler,
        limits: HttpLimits,
        budget: ByteBudget,
        find_max_body: BodyLimiter,
    ) -> None:
        self._sock = sock
        self._peer = peer
        self._protocol = protocol
        self._tcp_server = protocol._server.server
        self._handle = handle
        self.limits = limits
        self._budget = budget
        self._find_max_body = find_max_body
        #: What the connection holds beside the body.
        self._usage = ConnectionUsage(
            release=self._give_way,
            handle_room=self._handle_request_room,
            progress_at=time.monotonic(),
        )
        budget.memory.add(self._usage)
        #: The head that is read waits until its request may begin.
        self._is_head_waiting = False
        #: Room for the body that is read or handled, if it needs any.
        self._hold: Hold | None = None
        #: Room for the start of a chunked body that waits for more.
        self._earlier_hold: Hold | None = None
        self._is_buffer_wide = False
        #: The handler takes a large body of the request that is read.
        self._is_large_wanted = False
        self._max_body_bytes = limits.max_body_bytes
        self._is_reading = True
        self._buffer = bytearray()
        self._framing: Framing | None = None
        self._head = b""
        self._chunked_body: ChunkedBody | None = None
        #: The caller waits for "100 Continue" before it sends the body.
        self._must_continue = False
        self._responder: CircuitsResponder | None = None
        self._task: asyncio.Task[None] | None = None
        self._last_sent_at = time.monotonic()
        #: When the server had sent everything before a close.
        self._lingers_since: float | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        #: Nothing more is read.
        self._closing = False
        #: Nothing more is written either.
        self._is_ending = False
        self._closed = False
        #: What the caller still sends stays unread.
        self._is_unread = False
        self._waiting_since = time.monotonic()

    def receive(self, data: bytes) -> None:
        """Process bytes from the caller."""
        if self._closing:
            return
        if not self._buffer and self._framing is None:
            self._waiting_since = time.monotonic()
        self._buffer += data
        self._usage.progress_at = time.monotonic()
        if self._hold is not None:
            self._hold.record_received(len(data), self._usage.progress_at)
        self._read_next_request()

    def check_timeouts(self, now: float) -> None:
        """End a late request, a stalled response or an idle connection."""
        self.close_if_left()
        stalled_s = now - self._last_sent_at if self._usage.unsent_bytes else 0.0
        if stalled_s > self.limits.stall_timeout_s:
            self._record_refusal("stalled_reader")
            self.close_now()
            return
        if self.has_lingered(now, self.limits.linger_s):
            self.close_now()
            return
        if self._responder is not None or self._closing:
            return
        if self._buffer and self._is_behind_unsent:
            # The request is not read before the caller reads responses.
            self._waiting_since = now
            return
        waited_s = now - self._waiting_since
        if self._is_awaiting_room:
            if waited_s > self.limits.request_timeout_s:
                self._reject_for_room("other requests leave no room for this one")
        elif self._buffer or self._framing is not None:
            timeout_s = self.limits.request_timeout_s
            if self._framing is None:
                timeout_s = min(timeout_s, self.limits.header_timeout_s)
            if waited_s > timeout_s:
                message = "the request took too long to arrive"
                self._reject(408, "request_timeout", message)
        elif waited_s > self.limits.idle_timeout_s:
            self._close_idle()

    def has_lingered(self, now: float, duration_s: float) -> bool:
        """Return whether only the caller's close was missing for so long."""
        since = self._lingers_since
        return since is not None and now - since > duration_s

    @property
    def is_idle(self) -> bool:
        """Whether no request is read or handled, and nothing is unsent."""
        is_busy = self._responder is not None or self._buffer or self._framing
        return not (is_busy or self._closing or self._usage.unsent_bytes)

    @property
    def state(self) -> ConnectionState:
        """What the connection does."""
        if self._responder is not None:
            return ConnectionState.HANDLING
        if self._closing:
            return ConnectionState.CLOSING
        if self._buffer or self._framing:
            is_waiting = self._is_awaiting_room or self._is_behind_unsent
            return ConnectionState.WAITING if is_waiting else ConnectionState.RECEIVING
        return ConnectionState.IDLE

    @property
    def waiting_since(self) -> float:
        """Monotonic time since which it has waited for a request."""
        return self._waiting_since

    def close_when_idle(self, now: float, idle_s: float) -> None:
        """Close if there has been no request for a while."""
        if self.is_idle and now - self._waiting_since > idle_s:
            self._close_idle()

    def close_if_unused(self) -> bool:
        """Close unless a request has come; return whether it closed."""
        if not self.is_idle or self._tcp_server.is_readable(self._sock):
            return False
        self._record_refusal("evicted")
        self.close_now()
        return True

    def close_if_slow(self, now: float) -> bool:
        """Close if a head has taken long; return whether it closed."""
        is_in_head = self._buffer and self._framing is None
        if not is_in_head or self.state is not ConnectionState.RECEIVING:
            return False
        if now - self._waiting_since < MAX_HEAD_S:
            return False
        self._record_refusal("evicted")
        self.close_now()
        return True

    def close_if_lingering(self, now: float) -> bool:
        """Close if only the caller's close is missing; tell if it did."""
        if not self.has_lingered(now, MIN_LINGER_S):
            return False
        self.close_now()
        return True

    def close_if_stalled(self, now: float) -> bool:
        """Close if the caller sends and reads nothing; return whether it did.

        A connection that waits for room is not at fault.
        """
        is_body_stalled = self._hold is not None and self._hold.is_stalled(now)
        is_stalled = self._usage.is_releasable(now) or is_body_stalled
        is_at_fault = is_stalled and not self._is_awaiting_room
        if not is_at_fault or not self._usage.is_stalled(now):
            return False
        self._record_refusal("evicted")
        self.close_now()
        return True

    def refuse_if_waiting(self) -> bool:
        """Refuse a request that waits for room; return whether it does."""
        if not self._is_awaiting_room or self._closing:
            return False
        self._reject_for_room("connections are needed by other callers")
        self.close_now()
        return True

    def close_if_left(self) -> None:
        """Close a connection that is no longer read if its caller left."""
        is_left = (self._is_unread or not self._is_reading) and not self._closed
        if is_left and self._tcp_server.has_left(self._sock):
            self.close_now()

    def _close_idle(self) -> None:
        """Close, unless a request has come; one that crosses stays unread.

        Callers may repeat any request that was not read.
        """
        is_pending = self._protocol.root.has_pending_events
        if is_pending or self._tcp_server.is_readable(self._sock):
            return
        self._is_unread = True
        self._tcp_server.stop_reading(self._sock)
        self.close_after_sending()

    def refuse_incomplete(self) -> None:
        """Refuse a request that still arrives, as the server stops."""
        is_incomplete = self._buffer or self._framing is not None
        if self._responder is None and is_incomplete and not self._closing:
            message = "the server stops, and the request is incomplete"
            self._reject(503, "stopping", message)

    def handle_end(self) -> None:
        """Handle that the caller sends nothing more, as if it had closed.

        Only what is left of a complete response is still sent.
        """
        self._closing = True
        if self._responder is not None:
            self.close_now()

    def handle_close(self) -> None:
        """Notify the handler that its caller has disconnected."""
        self._closed = True
        self._closing = True
        self._buffer.clear()
        self._budget.memory.remove(self._usage)
        self._writable.set()
        # Its callbacks refer to it, so that only the garbage collector frees
        # a connection, which may be late.
        self._head = b""
        self._chunked_body = None
        responder, self._responder = self._responder, None
        if responder is None:
            # The handler may still use the body otherwise.
            self._release_room()
        else:
            responder.disconnected.set()

    def record_sent(self, size: int) -> None:
        """Record bytes that were sent."""
        self._usage.unsent_bytes = max(0, self._usage.unsent_bytes - size)
        self._last_sent_at = self._usage.progress_at = time.monotonic()
        self._count_memory()
        if self._is_ending and not self._usage.unsent_bytes:
            self._lingers_since = self._last_sent_at
        if not self._is_behind_unsent:
            self._writable.set()
            if self._buffer and self._responder is None and not self._closing:
                asyncio.get_running_loop().call_soon(self._read_next_request)

    def send_bytes(self, data: bytes) -> None:
        """Send bytes, or buffer them until the caller reads more."""
        if self._closed:
            return
        if not self._usage.unsent_bytes:
            self._last_sent_at = time.monotonic()
            self._usage.progress_at = self._last_sent_at
        self._usage.unsent_bytes += len(data)
        self._tcp_server.write(self._sock, data)
        self._count_memory()
        if self._is_behind_unsent:
            self._writable.clear()

    def hold_back(self, size: int) -> bool:
        """Report the bytes that are held back; return whether they may be."""
        if size != self._usage.response_bytes:
            self._usage.response_bytes = size
            self._count_memory()
        return not self._budget.memory.is_tight

    async def wait_writable(self) -> None:
        """Wait until fewer bytes are unsent than the limit."""
        await self._writable.wait()

    def should_close(self) -> bool:
        """Return whether the connection closes after this response."""
        return self._protocol.draining or self._closing

    def end_request(self) -> None:
        """Start reading the next request of the connection."""
        self._responder = None
        self._release_room()
        self._release_request()
        self._waiting_since = time.monotonic()
        if self._buffer and not self._closing:
            asyncio.get_running_loop().call_soon(self._read_next_request)

    def close_after_sending(self) -> None:
        """Send the buffered bytes, then close once the caller has closed.

        A close with unread bytes would reset the connection, and the caller
        might not get the end of the response. So only the write side is shut
        down, and for ``linger_s`` what the caller still sends is discarded.
        """
        if self._closed:
            return
        self._closing = self._is_ending = True
        self._buffer.clear()
        self._chunked_body = None
        self._budget.memory.cancel(self._usage)
        self._count_memory()
        # What the caller still sends is read and discarded.
        self._update_reading()
        if not self._usage.unsent_bytes:
            self._lingers_since = time.monotonic()
        self._tcp_server.shutdown_write(self._sock)

    def reset_on_close(self) -> None:
        """Let any close reset the connection until the response is whole."""
        if not self._closed:
            self._tcp_server.reset_on_close(self._sock)

    def close_now(self) -> None:
        """Close without sending the buffered bytes."""
        if not self._closed:
            self._closing = True
            self._buffer.clear()
            self._chunked_body = None
            self._budget.memory.remove(self._usage)
            self._tcp_server._close(self._sock)

    def _read_next_request(self) -> None:
        self._read_request()
        self._count_memory()
        self._update_reading()

    def _update_reading(self) -> None:
        """Read on only what there is room for."""
        if self._closed or self._is_unread:
            return
        should_read = self._should_read()
        if should_read is self._is_reading:
            return
        self._is_reading = should_read
        if should_read:
            self._tcp_server.resume_reading(self._sock)
        else:
            self._tcp_server.stop_reading(self._sock)

    def _should_read(self) -> bool:
        if self._closing:
            return True
        if self._is_awaiting_room:
            return False
        if self._responder is None and not self._is_behind_unsent:
            return True
        # Reading on shows that a caller has left, sooner than the checks do.
        max_bytes = (
            0 if self._budget.memory.is_tight else self.limits.max_pipelined_bytes
        )
        return len(self._buffer) <= max_bytes

    @property
    def _is_awaiting_room(self) -> bool:
        """Whether the request waits until others leave room for it."""
        has_no_room = self._hold is not None and not self._hold.has_room
        return self._is_head_waiting or has_no_room

    def _count_memory(self) -> None:
        """Report what the connection holds to the account of the process."""
        usage = self._usage
        is_body = self._framing is not None and self._hold is not None
        has_room = is_body and self._hold is not None and self._hold.has_room
        usage.received_bytes = 0 if has_room else len(self._buffer)
        usage.is_running = self._responder is not None
        if usage.size != usage.counted_bytes:
            self._budget.memory.update(usage, time.monotonic())

    def _give_way(self) -> None:
        """Make room for others, as the process holds too much."""
        if self._responder is not None or self._usage.unsent_bytes or self._closing:
            self._record_refusal("memory")
            self.close_now()
        else:
            self._reject_for_room("the request holds memory that others need")

    def _release_request(self) -> None:
        self._usage.request_bytes = self._usage.response_bytes = 0
        self._is_head_waiting = False
        self._count_memory()

    def _handle_request_room(self) -> None:
        asyncio.get_running_loop().call_soon(self._read_next_request)

    @property
    def _is_behind_unsent(self) -> bool:
        """Whether the next request waits until the caller reads responses."""
        max_bytes = self.limits.write_buffer_bytes
        if self._budget.memory.is_tight:
            max_bytes = min(max_bytes, self.limits.short_write_buffer_bytes)
        return self._usage.unsent_bytes >= max_bytes

    def _add_room(self, size: int) -> None:
        """Ask for room; reading pauses until there is some.

        Room that is held already is kept until then, as it is in use.
        """
        self._earlier_hold = self._hold
        self._hold = Hold(
            size=size,
            handle_room=self._handle_room,
            refuse=self._refuse_for_room,
            progress_at=time.monotonic(),
        )
        self._budget.add(self._hold)
        if self._hold.has_room:
            self._begin_reading_body()

    def _handle_room(self) -> None:
        self._begin_reading_body()
        asyncio.get_running_loop().call_soon(self._read_next_request)

    def _begin_reading_body(self) -> None:
        """Return earlier room; the time for the body starts now."""
        if self._hold is not None:
            self._waiting_since = time.monotonic()
            self._hold.progress_at = self._hold.room_at = self._waiting_since
            self._usage.progress_at = self._waiting_since
            if self._hold.size > RECEIVE_BUFFER_BYTES and not self._closed:
                self._is_buffer_wide = True
                self._tcp_server.widen_receive_buffer(self._sock)
        self._release_earlier_room()

    def _refuse_for_room(self) -> None:
        self._reject_for_room("the request arrives too slowly while others wait")

    def _reject_for_room(self, message: str) -> None:
        self._reject(503, "no_room", message, retry_after_s=NO_ROOM_RETRY_AFTER_S)

    def _release_room(self) -> None:
        self._release_earlier_room()
        hold, self._hold = self._hold, None
        if hold is not None:
            self._budget.remove(hold)
        if self._is_buffer_wide and not self._closed:
            self._is_buffer_wide = False
            self._tcp_server.narrow_receive_buffer(self._sock)

    def _release_earlier_room(self) -> None:
        hold, self._earlier_hold = self._earlier_hold, None
        if hold is not None:
            self._budget.remove(hold)

    def _read_request(self) -> None:
        if self._responder is not None or self._closing or self._is_behind_unsent:
            return
        try:
            if self._framing is None and not self._read_head():
                return
            if self._hold is not None and not self._hold.has_room:
                return
            if self._responder is not None or self._closing:
                # It was handled without its body.
                return
            if self._must_continue:
                self._must_continue = False
                self.send_bytes(CONTINUE_RESPONSE)
            body = self._read_body()
        except FramingError as error:
            self._reject(error.status, error.code, str(error))
            return
        if body is not None and self._responder is None:
            self._begin_request(body)

    def _read_head(self) -> bool:
        while self._buffer.startswith(b"\r\n"):
            del self._buffer[:2]
        end = self._buffer.find(HEAD_END)
        size = len(self._buffer) if end < 0 else end
        if size > self.limits.max_header_bytes:
            message = f"the head is over {self.limits.max_header_bytes} bytes"
            raise FramingError(status=431, code="header_too_large", message=message)
        if end < 0:
            return False
        if not self._reserve_request(end):
            return False
        self._head = bytes(self._buffer[:end])
        framing = parse_framing(self._head)
        del self._buffer[: end + len(HEAD_END)]
        self._max_body_bytes = self.limits.max_body_bytes
        self._is_large_wanted = False
        check_length(framing, self._max_body_bytes)
        if (framing.length or 0) > SMALL_BODY_BYTES and not self._wants_large_body():
            return True
        check_length(framing, self._max_body_bytes)
        self._framing = framing
        if framing.length is None:
            self._chunked_body = ChunkedBody(max_body_bytes=self._max_body_bytes)
        size = self._estimate_size(framing)
        if size:
            self._add_room(size)
        self._must_continue = framing.expects_continue
        return True

    def _reserve_request(self, head_end: int) -> bool:
        """Return whether the request may begin, by the size of its head."""
        fields = self._buffer.count(LINE_END, 0, head_end)
        size = estimate_request_bytes(head_end, fields)
        self._count_memory()
        has_room = self._budget.memory.reserve(self._usage, size, time.monotonic())
        # It may have been closed to make room.
        self._is_head_waiting = not has_room and not self._closing
        return has_room

    def _wants_large_body(self) -> bool:
        """Return whether the handler takes the body that the head announces.

        If not, the request is handled at once, and no more of it is read. The
        handler is not asked about small bodies, which takes time.
        """
        max_bytes = self._find_max_body(self._build_request(b""))
        if max_bytes == 0:
            self._buffer.clear()
            self._chunked_body = None
            self._begin_request(b"", is_body_read=False)
            self._closing = True
            return False
        if max_bytes is not None:
            self._max_body_bytes = max_bytes
        self._is_large_wanted = True
        return True

    def _estimate_size(self, framing: Framing) -> int:
        """Return the bytes that a body needs room for."""
        if framing.length is None:
            return SMALL_BODY_BYTES
        # A body that is here already is short, as reading is in small pieces.
        return 0 if framing.length <= len(self._buffer) else framing.length

    def _parse_head(self) -> HttpParser:
        parser = HttpParser(0, False)
        # The parser decodes escapes; doubling backslashes preserves them.
        raw = self._head.replace(b"\\", b"\\\\") + HEAD_END
        for byte, stand_in in STRIPPED_BYTES.items():
            escape = stand_in.encode("unicode_escape")
            raw = raw.replace(byte.encode("latin-1"), escape)
        parser.execute(raw, len(raw))
        if parser.errno is not None or not parser.is_headers_complete():
            message = "the request line or a header is malformed"
            raise FramingError(status=400, code="bad_request", message=message)
        return parser

    def _read_body(self) -> bytes | None:
        assert self._framing is not None
        length = self._framing.length
        if length is None:
            return self._read_chunked_body()
        if len(self._buffer) < length:
            return None
        with memoryview(self._buffer) as received:
            body = bytes(received[:length])
        if len(self._buffer) == length:
            # Frees the memory, which a deletion would keep.
            self._buffer = bytearray()
        else:
            del self._buffer[:length]
        return body

    def _read_chunked_body(self) -> bytes | None:
        body = self._chunked_body
        assert body is not None
        data = bytes(self._buffer)
        self._buffer.clear()
        is_complete = body.feed(data)
        # What frames the chunks does not count.
        if len(body.content) > self._max_body_bytes:
            raise build_size_error(self._max_body_bytes)
        if not is_complete:
            received_bytes = len(body.content) + len(body.rest)
            is_new_large = received_bytes > SMALL_BODY_BYTES
            if is_new_large and not self._is_large_wanted and self._wants_large_body():
                assert self._hold is not None
                if self._hold.size <= SMALL_BODY_BYTES:
                    self._add_room(self._max_body_bytes)
            return None
        self._chunked_body = None
        # What follows a chunked body is not read.
        self._closing = True
        return bytes(body.content)

    def _begin_request(self, body: bytes, *, is_body_read: bool = True) -> None:
        try:
            parser = self._parse_head()
            response = self._build_response(parser)
        except FramingError as error:
            self._reject(error.status, error.code, str(error))
            return
        self._framing = None
        if self._hold is not None:
            self._hold.is_receiving = False
            self._budget.shrink(self._hold, len(body))
        self._responder = CircuitsResponder(connection=self, response=response)
        http_request = self._convert_request(parser, body)
        if not is_body_read:
            http_request = replace(http_request, is_body_read=False)
        self._task = start_task(
            self._run_handler(http_request, self._responder, self._hold),
            name="handle request",
        )

    def _build_request(self, body: bytes) -> HttpRequest:
        """Return the request whose head was read.

        Raises:
            FramingError: The head is malformed.
        """
        parser = self._parse_head()
        self._build_response(parser)
        return self._convert_request(parser, body)

    def _convert_request(self, parser: HttpParser, body: bytes) -> HttpRequest:
        target = self._head.partition(LINE_END)[0].split(b" ")[1].decode("ascii")
        path, query_mark, query = target.partition("?")
        if not path.startswith("/"):
            # A whole URL, or the asterisk. The parser would take what follows
            # two slashes of a path for a host.
            path, query = parser.get_path(), parser.get_query_string()
        return HttpRequest(
            method=parser.get_method(),
            path=path,
            query=query,
            has_query=bool(query_mark),
            headers=tuple(
                (str(name), _restore_bytes(str(value)))
                for name, value in parser.get_headers().items()
            ),
            body=body,
            peer=self._peer,
        )

    def _build_response(self, parser: HttpParser) -> Response:
        """Return the response to a head, with what the head says of its end.

        Raises:
            FramingError: The head is malformed.
        """
        server = self._protocol._server
        # No handler uses cookies, and parsing those of one long head takes up
        # to half a second.
        headers = Headers(parser.get_headers())
        headers.pop("Cookie", None)
        try:
            request = Request(
                self._sock,
                parser.get_method(),
                parser.get_scheme() or "http",
                parser.get_path(),
                parser.get_version(),
                parser.get_query_string(),
                headers=headers,
                server=server,
            )
        except (ValueError, UnicodeError) as error:
            message = "the request's target or a header is malformed"
            raise FramingError(
                status=400, code="bad_request", message=message
            ) from error
        if request.protocol[0] != 1:
            message = "only HTTP/1.0 and HTTP/1.1 are spoken here"
            raise FramingError(status=505, code="http_version", message=message)
        response = Response(request)
        minor = min(request.protocol[1], 1)
        response.protocol = f"HTTP/1.{minor}"
        response.close = not parser.should_keep_alive() or self._closing
        return response

    async def _run_handler(
        self, request: HttpRequest, responder: CircuitsResponder, hold: Hold | None
    ) -> None:
        try:
            await self._handle(request, responder)
        except Exception:
            logger.exception("the handler of a %s request failed", request.method)
        finally:
            # The response may never end, as the caller has left. Room of the
            # next request, which may be read already, is kept.
            if hold is not None and hold is self._hold:
                self._release_room()
        if responder.ended or responder.disconnected.is_set():
            return
        if responder.started:
            responder.abort()
            return
        body = encode_error(
            code="internal", message="the server failed", kind="server_error"
        )
        await responder.send(500, JSON_HEADERS, body)

    def _record_refusal(self, reason: str) -> None:
        self._protocol.refusals.record(reason, self._peer, time.monotonic())

    def _reject(
        self, status: int, code: str, message: str, *, retry_after_s: int = 0
    ) -> None:
        self._closing = True
        self._release_room()
        self._release_request()
        self._record_refusal(code)
        body = encode_error(code=code, message=message)
        retry_after = f"Retry-After: {retry_after_s}\r\n" if retry_after_s else ""
        head = (
            f"HTTP/1.1 {status} Refused\r\nContent-Type: application/json\r\n"
            f"{retry_after}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.send_bytes(head.encode() + body)
        self.close_after_sending()


def _restore_bytes(value: str) -> str:
    for byte, stand_in in STRIPPED_BYTES.items():
        value = value.replace(stand_in, byte)
    return value
