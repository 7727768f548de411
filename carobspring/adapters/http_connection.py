"""One caller's connection: collects requests and runs their handlers."""

import asyncio
import logging
import time
from typing import Any

from circuits.web.parsers import HttpParser
from circuits.web.wrappers import Request, Response

from carobspring.adapters.http_framing import (
    HEAD_END,
    BoundedChunkParser,
    Framing,
    FramingError,
    parse_framing,
)
from carobspring.adapters.http_responder import CircuitsResponder, encode_error
from carobspring.ports import HttpHandler, HttpLimits, HttpRequest

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
JSON_HEADERS = (("Content-Type", "application/json"),)

logger = logging.getLogger(__name__)


class HttpConnection:
    """Reads one request at a time and holds back what comes after it.

    Bytes of a following request that arrive before the present answer is
    whole are kept, within the limits, and read afterwards; so answers never
    cross on a connection.
    """

    def __init__(
        self,
        *,
        sock: Any,
        peer: str,
        protocol: Any,
        handle: HttpHandler,
        limits: HttpLimits,
    ) -> None:
        self._sock = sock
        self._peer = peer
        self._protocol = protocol
        self._tcp = protocol._server.server
        self._handle = handle
        self._limits = limits
        self._received = bytearray()
        self._framing: Framing | None = None
        self._head = b""
        self._chunks: HttpParser | None = None
        self._chunk_bytes = 0
        self._responder: CircuitsResponder | None = None
        self._task: asyncio.Task[None] | None = None
        self._unsent = 0
        self._sent_at = time.monotonic()
        self._ending_at: float | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._closing = False
        self._closed = False
        self._changed_at = time.monotonic()

    def receive(self, data: bytes) -> None:
        """Take bytes from the caller."""
        if self._closing:
            return
        if not self._received and self._framing is None:
            self._changed_at = time.monotonic()
        self._received += data
        most = self._limits.max_header_bytes + self._limits.max_body_bytes
        if self._responder is not None:
            if len(self._received) > most:
                self.close_now()
            return
        self._read_request()

    def check_timeouts(self, now: float) -> None:
        """End a late request, a stalled reader, or an idle connection."""
        stalled_s = now - self._sent_at if self._unsent else 0.0
        if stalled_s > self._limits.stall_timeout_s:
            self.close_now()
            return
        if self._ending_at is not None and now > self._ending_at:
            self.close_now()
            return
        if self._responder is not None or self._closing:
            return
        waited = now - self._changed_at
        if self._received or self._framing is not None:
            if waited > self._limits.request_timeout_s:
                message = "the request took too long to arrive"
                self._refuse(408, "request_timeout", message)
        elif waited > self._limits.idle_timeout_s:
            self.close_now()

    def close_when_idle(self, now: float, idle_s: float) -> None:
        """Close when no request has been under way for a while."""
        busy = self._responder is not None or self._received or self._framing
        if not busy and not self._unsent and now - self._changed_at > idle_s:
            self.close_now()

    def handle_close(self) -> None:
        """Tell the handler that its caller has gone."""
        self._closed = True
        self._closing = True
        self._writable.set()
        if self._responder is not None:
            self._responder.disconnected.set()

    def record_sent(self, size: int) -> None:
        """Count bytes that were sent."""
        self._unsent = max(0, self._unsent - size)
        self._sent_at = time.monotonic()
        if self._unsent < self._limits.write_buffer_bytes:
            self._writable.set()

    def send_bytes(self, data: bytes) -> None:
        """Send bytes, or keep them until the caller reads on."""
        if self._closed:
            return
        if not self._unsent:
            self._sent_at = time.monotonic()
        self._unsent += len(data)
        self._tcp.write(self._sock, data)
        if self._unsent >= self._limits.write_buffer_bytes:
            self._writable.clear()

    async def wait_writable(self) -> None:
        """Wait until the unsent bytes are under the limit."""
        await self._writable.wait()

    def must_close(self) -> bool:
        """Say whether the connection is closed after this answer."""
        return self._protocol.draining or self._closing

    def end_request(self) -> None:
        """Let the next request of the connection begin."""
        self._responder = None
        self._changed_at = time.monotonic()
        if self._received and not self._closing:
            asyncio.get_running_loop().call_soon(self._read_request)

    def close_after_sending(self) -> None:
        """Send what was handed over, then close without marking an end."""
        if not self._closed:
            self._closing = True
            self._ending_at = time.monotonic() + self._limits.stall_timeout_s
            self._tcp.close(self._sock)

    def close_now(self) -> None:
        """Close without sending what is left."""
        if not self._closed:
            self._closing = True
            self._tcp._close(self._sock)

    def _read_request(self) -> None:
        if self._responder is not None or self._closing:
            return
        try:
            if self._framing is None and not self._read_head():
                return
            body = self._read_body()
        except FramingError as error:
            self._refuse(error.status, error.code, str(error))
            return
        if body is not None:
            self._begin_request(body)

    def _read_head(self) -> bool:
        while self._received.startswith(b"\r\n"):
            del self._received[:2]
        end = self._received.find(HEAD_END)
        size = len(self._received) if end < 0 else end
        if size > self._limits.max_header_bytes:
            message = f"the head is over {self._limits.max_header_bytes} bytes"
            raise FramingError(status=431, code="header_too_large", message=message)
        if end < 0:
            return False
        self._head = bytes(self._received[:end])
        self._framing = parse_framing(self._head, self._limits.max_body_bytes)
        del self._received[: end + len(HEAD_END)]
        if self._framing.length is None:
            self._chunks = self._parse_head()
            self._chunk_bytes = 0
        if self._framing.expects_continue:
            self.send_bytes(CONTINUE_RESPONSE)
        return True

    def _parse_head(self) -> HttpParser:
        most = self._limits.max_body_bytes
        parser = BoundedChunkParser(max_body_bytes=most)
        # The parser decodes escapes; doubled backslashes come out as sent.
        raw = self._head.replace(b"\\", b"\\\\") + HEAD_END
        parser.execute(raw, len(raw))
        if parser.errno is not None or not parser.is_headers_complete():
            message = "the request line or a header is malformed"
            raise FramingError(status=400, code="bad_request", message=message)
        return parser

    def _read_body(self) -> bytes | None:
        assert self._framing is not None
        length = self._framing.length
        if length is None:
            return self._read_chunks()
        if len(self._received) < length:
            return None
        body = bytes(self._received[:length])
        del self._received[:length]
        return body

    def _read_chunks(self) -> bytes | None:
        parser = self._chunks
        assert parser is not None
        data = bytes(self._received)
        self._received.clear()
        self._chunk_bytes += len(data)
        if self._chunk_bytes > self._limits.max_body_bytes:
            message = f"at most {self._limits.max_body_bytes} bytes are taken"
            raise FramingError(status=413, code="body_too_large", message=message)
        if data:
            parser.execute(data, len(data))
        if parser.errno is not None:
            message = "a chunk of the body is malformed"
            raise FramingError(status=400, code="bad_chunk", message=message)
        if not parser.is_message_complete():
            return None
        # What may follow the last chunk is lost to the parser.
        self._closing = True
        return bytes(parser.recv_body())

    def _begin_request(self, body: bytes) -> None:
        try:
            parser = self._chunks or self._parse_head()
            request, answer = self._build_pair(parser)
        except FramingError as error:
            self._refuse(error.status, error.code, str(error))
            return
        self._framing = None
        self._chunks = None
        self._responder = CircuitsResponder(connection=self, answer=answer)
        whole = HttpRequest(
            method=parser.get_method(),
            path=parser.get_path(),
            query=parser.get_query_string(),
            headers=tuple((str(k), str(v)) for k, v in request.headers.items()),
            body=body,
            peer=self._peer,
        )
        self._task = asyncio.get_running_loop().create_task(
            self._run_handler(whole, self._responder)
        )

    def _build_pair(self, parser: HttpParser) -> tuple[Request, Response]:
        server = self._protocol._server
        try:
            request = Request(
                self._sock,
                parser.get_method(),
                parser.get_scheme() or "http",
                parser.get_path(),
                parser.get_version(),
                parser.get_query_string(),
                headers=parser.get_headers(),
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
        answer = Response(request)
        minor = min(request.protocol[1], 1)
        answer.protocol = f"HTTP/1.{minor}"
        answer.close = not parser.should_keep_alive() or self._closing
        return request, answer

    async def _run_handler(
        self, request: HttpRequest, responder: CircuitsResponder
    ) -> None:
        try:
            await self._handle(request, responder)
        except Exception:
            logger.exception("the handler of %s failed", request.method)
        if responder.ended or responder.disconnected.is_set():
            return
        if responder.started:
            responder.abort()
            return
        body = encode_error(
            code="internal", message="the server failed", kind="server_error"
        )
        await responder.send(500, JSON_HEADERS, body)

    def _refuse(self, status: int, code: str, message: str) -> None:
        self._closing = True
        self._received.clear()
        body = encode_error(code=code, message=message)
        head = (
            f"HTTP/1.1 {status} Refused\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        # Closing while bytes come in would reset the connection, and the
        # caller might never read why: so the close is left to the caller.
        self._ending_at = time.monotonic() + self._limits.linger_s
        self.send_bytes(head.encode() + body)
        self._tcp.shutdown_write(self._sock)
