"""One HTTP connection to a backend server, implemented with h11."""

import asyncio
import re
from typing import Any, Final

import h11

from carobspring.adapters.loop_slices import PacedSteps
from carobspring.adapters.sockets import enable_dead_peer_detection
from carobspring.ports import IncompleteResponseError

MAX_HEAD_BYTES: Final = 64 * 1024
#: Largest body that is written together with its head.
MAX_JOINED_BODY_BYTES: Final = 64 * 1024
#: Unread bytes of a response above which reading from the socket pauses.
READ_BUFFER_BYTES: Final = 16 * 1024
#: Bytes of one read.
READ_SIZE_BYTES: Final = 16 * 1024
#: Highest status that HTTP has.
MAX_STATUS: Final = 599
#: Part of the parser's error for a status under 100.
PARSER_STATUS_ERROR: Final = "status_code should be"
#: Interim responses (status 1xx) before a response.
MAX_INTERIM_RESPONSES: Final = 10
#: The start of a head. Inside a line of another one it shows that the other
#: one broke off.
STATUS_LINE: Final = re.compile(rb"HTTP/\d\.\d \d{3}")


#: Where all connections read to, one after the other: there is one thread.
_read_buffer: Final = memoryview(bytearray(READ_SIZE_BYTES))


class BackendConnection(asyncio.BufferedProtocol):
    """Sends one request at a time and returns its response in parts.

    After a complete response the connection can be reused, unless it received
    bytes that belong to no request or the server is about to close it.
    """

    def __init__(self) -> None:
        self._parser = _make_parser()
        self._request: h11.Request | None = None
        self._transport: asyncio.Transport | None = None
        self._data_arrived = asyncio.Event()
        self._unread_bytes = 0
        #: One step is one event of the parser.
        self._steps = PacedSteps()
        #: Why the connection was closed, or empty. The gateway may send it to
        #: callers and use it as a metric label: keep the texts of reasons.
        self._close_reason: str = ""
        self._peer_ended = False
        self._interim_count = 0
        #: Time at which the last response ended.
        self.idle_since = 0.0
        #: Seconds that the server keeps an idle connection; None if unknown.
        self.server_idle_timeout_s: float | None = None
        #: True once any byte of the current response was received.
        self.response_started = False
        #: True if the server's data ended before the request was sent.
        self.ended_while_sending = False

    @property
    def is_lost(self) -> bool:
        """Return whether the connection can no longer be used."""
        return bool(self._close_reason) or self._transport is None

    @property
    def request_method(self) -> str:
        """Method of the current request, or empty."""
        return self._request.method.decode() if self._request is not None else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_dead_peer_detection(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are read to.

        Without a buffer of its own, asyncio reads up to 256 KiB at once.
        """
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were read."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; close if no request was sent."""
        if self._request is None:
            self.close("bytes came without a request")
            return
        self.response_started = True
        self._parse(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_BUFFER_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Handle the end of the server's data."""
        self._peer_ended = True
        if self._transport is not None:
            self.ended_while_sending = self._transport.get_write_buffer_size() > 0
        if self._request is None:
            self.close("the server closed an idle connection")
        else:
            self._parse(b"")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record why the connection ended."""
        if not self._close_reason:
            # A timeout of the socket says nothing about the server.
            self._peer_ended |= error is None or isinstance(error, ConnectionError)
            self._close_reason = (
                f"{type(error).__name__} {error}" if error else "closed"
            )
        self._data_arrived.set()

    def send(self, *, method: str, target: str, headers: Any, body: bytes) -> None:
        """Send a complete request."""
        assert self._transport is not None
        self.response_started = False
        self._interim_count = 0
        # Text of a caller's head stands for bytes that h11 takes only as such.
        encoded = [(name, value.encode("latin-1")) for name, value in headers]
        request = h11.Request(method=method, target=target, headers=encoded)
        data = self._parser.send(request) or b""
        if len(body) > MAX_JOINED_BODY_BYTES:
            # Joining would copy a large body once more.
            self._transport.write(data)
            data = b""
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._request = request
        self._transport.write(data)

    async def read_event(self) -> Any:
        """Return the next h11 event of the response.

        Raises:
            IncompleteResponseError: The connection ended, or the
                received bytes are not a valid response.
        """
        while True:
            await self._steps.take()
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                reason = self._close_reason or _describe_parser_error(error)
                self.close(reason)
                raise IncompleteResponseError(
                    reason=reason, peer_ended=self._peer_ended
                ) from error
            if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
                self.close(_describe_status(str(event.status_code)))
                raise IncompleteResponseError(reason=self._close_reason)
            if _is_joined_head(event):
                self.close("a head that broke off before another one")
                raise IncompleteResponseError(reason=self._close_reason)
            if isinstance(event, h11.InformationalResponse):
                self._interim_count += 1
                if self._interim_count > MAX_INTERIM_RESPONSES:
                    self.close("too many interim responses")
                    raise IncompleteResponseError(reason=self._close_reason)
                continue
            if event is not h11.NEED_DATA:
                return event
            if self._close_reason:
                raise IncompleteResponseError(
                    reason=self._close_reason, peer_ended=self._peer_ended
                )
            self._data_arrived.clear()
            self._resume_reading()
            await self._data_arrived.wait()
            self._steps.rest()

    def prepare_next_response(self) -> bool:
        """Prepare to read another response to the same request.

        Used when a complete response belonged to an earlier request. Returns
        False if the connection can't carry another response.
        """
        trailing_data, is_eof = self._parser.trailing_data
        is_done = self._parser.their_state is h11.DONE
        if not is_done or is_eof or self._request is None or self.is_lost:
            return False
        self._parser = _make_parser()
        # The method decides how a response is framed. The request is already
        # sent, so only the parser sees this copy.
        sent_request = h11.Request(
            method=self._request.method,
            target=self._request.target,
            headers=[("Host", "x")],
        )
        self._parser.send(sent_request)
        self._parser.send(h11.EndOfMessage())
        if trailing_data:
            self._parse(trailing_data)
        return True

    @property
    def has_trailing_data(self) -> bool:
        """Whether bytes came behind the current response."""
        return bool(self._parser.trailing_data[0])

    async def is_ended_by_server(self) -> bool:
        """Wait for the end; return whether it is in order and without data."""
        while not self.has_trailing_data:
            if self._parser.trailing_data[1]:
                return True
            if self._close_reason:
                return False
            self._data_arrived.clear()
            await self._data_arrived.wait()
        return False

    def finish(self, now: float) -> bool:
        """End a complete exchange; return whether reuse is possible."""
        parser = self._parser
        trailing_data, is_eof = parser.trailing_data
        states = (parser.our_state, parser.their_state)
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport else 1
        if (
            states != (h11.DONE, h11.DONE)
            or trailing_data
            or is_eof
            or unsent_bytes
            or self._close_reason
        ):
            self.close("not kept")
            return False
        parser.start_next_cycle()
        self._request = None
        self.idle_since = now
        self._resume_reading()
        return True

    def close(self, reason: str = "closed here") -> None:
        """Close immediately, which makes the server stop its work."""
        if not self._close_reason:
            self._close_reason = reason
        if self._transport is not None:
            self._transport.abort()
        self._data_arrived.set()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except RuntimeError:
            # The parser already saw the end of the data.
            self.close("bytes came after the end")
        self._data_arrived.set()

    def _resume_reading(self) -> None:
        if self._unread_bytes > READ_BUFFER_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._unread_bytes = 0


def _describe_status(status: str) -> str:
    return f"the answer's status {status} is not one of HTTP (100 to 599)"


def _describe_parser_error(error: h11.RemoteProtocolError) -> str:
    """Return an error of the parser in terms that operators know."""
    text = str(error)
    if PARSER_STATUS_ERROR not in text:
        return text
    status = text.rpartition(" ")[2]
    return _describe_status(status.zfill(3))


def _is_joined_head(event: Any) -> bool:
    """Return whether another head begins inside a line of a head."""
    if not isinstance(event, h11.InformationalResponse | h11.Response):
        return False
    texts = (event.reason, *(value for _, value in event.headers))
    return any(STATUS_LINE.search(text) for text in texts)


def _make_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
