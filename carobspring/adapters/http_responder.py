"""Writes the response to one request, with a head from circuits.web."""

import asyncio
from http import HTTPStatus
from typing import Protocol

import msgspec
from circuits.web.wrappers import Response

from carobspring.domain import CallHeaders
from carobspring.ports import HttpResponder

#: Pending bytes that are sent before the next iteration of the event loop.
FLUSH_THRESHOLD_BYTES = 16 * 1024
BODILESS_STATUSES = (204, 304)
FINAL_CHUNK = b"0\r\n\r\n"


class StatusCode(int):
    """A status code that is formatted with its reason phrase.

    Codes outside the standard have the phrase "Unknown".
    """

    def __str__(self) -> str:
        try:
            reason = HTTPStatus(int(self)).phrase
        except ValueError:
            reason = "Unknown"
        return f"{int(self)} {reason}"

    def __format__(self, spec: str) -> str:
        return format(str(self), spec)


class ResponderConnection(Protocol):
    """The interface that a responder uses to write to its connection."""

    def send_bytes(self, data: bytes) -> None:
        """Send bytes, or buffer them until the caller reads more."""

    def hold_back(self, size: int) -> bool:
        """Report the bytes that are held back; return whether they may be."""

    async def wait_writable(self) -> None:
        """Wait until fewer bytes are unsent than the limit."""

    def end_request(self) -> None:
        """Start reading the next request of the connection."""

    def close_after_sending(self) -> None:
        """Send the buffered bytes, then close once the caller has closed."""

    def close_now(self) -> None:
        """Close without sending the buffered bytes."""

    def reset_on_close(self) -> None:
        """Let any close reset the connection until the response is whole."""

    def should_close(self) -> bool:
        """Return whether the connection closes after this response."""


class CircuitsResponder(HttpResponder):
    """Writes the response of a handler to its connection.

    The response events of circuits are not used, because they cost five events
    and two changes of the poller for each chunk of a streamed response.
    """

    def __init__(self, *, connection: ResponderConnection, response: Response) -> None:
        self.disconnected = asyncio.Event()
        self.started = False
        self.ended = False
        self._connection = connection
        self._response = response
        #: Written but unsent bytes. Chunks written in one iteration of the
        #: event loop are sent together.
        self._pending = bytearray()
        #: Chunks are sent together until further notice.
        self._is_batching = False

    def hold_back(self, size: int) -> bool:
        """Report the bytes that are held back; return whether they may be."""
        return self._connection.hold_back(size)

    def set_batching(self, is_batching: bool) -> None:
        """Join the chunks that are written from now on, or send them."""
        self._is_batching = is_batching
        if not is_batching and not self.ended:
            self._flush()

    async def send(self, status: int, headers: CallHeaders, body: bytes) -> None:
        """Send a response with a complete body; Content-Length is added."""
        if self.disconnected.is_set() or self.started:
            return
        has_no_body = status in BODILESS_STATUSES
        self._response.body = b"" if has_no_body else body
        head = self._build_head(status, headers)
        if self._response.request.method == "HEAD" or has_no_body:
            body = b""
        self._connection.send_bytes(head + body)
        self._complete()

    async def start(self, status: int, headers: CallHeaders) -> None:
        """Start a response of unknown length."""
        if self.disconnected.is_set() or self.started:
            return
        # An empty tuple, unlike an empty list, adds no Content-Length.
        self._response._body = ()
        head = self._build_head(status, headers)
        if self._ends_with_close():
            # An orderly close would mark the end of the response.
            self._connection.reset_on_close()
        self._connection.send_bytes(head)

    async def write(self, data: bytes) -> None:
        """Send a chunk; wait while too much is unread by a slow caller."""
        if self.disconnected.is_set() or self.ended or not data:
            return
        if not self._pending and not self._is_batching:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending += data
        if len(self._pending) >= FLUSH_THRESHOLD_BYTES:
            self._flush()
        await self._connection.wait_writable()

    async def finish(self) -> None:
        """Mark the response as complete."""
        if self.disconnected.is_set() or self.ended:
            return
        self._flush()
        if self._response.chunked:
            self._connection.send_bytes(FINAL_CHUNK)
        self._complete()

    def abort(self) -> None:
        """Close the connection; the caller sees an incomplete response."""
        self._flush()
        self.ended = True
        if self._ends_with_close():
            self._connection.close_now()
        else:
            self._connection.close_after_sending()

    def _ends_with_close(self) -> bool:
        """Return whether only the close tells where the response ends."""
        response = self._response
        is_framed = response.chunked or "Content-Length" in response.headers
        return response.close and not is_framed

    def _flush(self) -> None:
        """Send the bytes written since the last flush."""
        data = bytes(self._pending)
        self._pending.clear()
        if not data or self.disconnected.is_set():
            return
        if self._response.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.send_bytes(data)

    def _build_head(self, status: int, headers: CallHeaders) -> bytes:
        self.started = True
        self._connection.hold_back(0)
        response = self._response
        response._status = StatusCode(status)
        for name, value in headers:
            response.headers.add_header(name, value)
        response.close = response.close or self._connection.should_close()
        response.prepare()
        return bytes(response) + bytes(response.headers)

    def _complete(self) -> None:
        self.ended = True
        if self._response.close:
            self._connection.close_after_sending()
        self._connection.end_request()


def encode_error(
    *, code: str, message: str, kind: str = "invalid_request_error"
) -> bytes:
    """Return the body of an error that occurred before any call was made."""
    error = {"message": message, "type": kind, "code": code, "ran": "not_run"}
    return msgspec.json.encode({"error": error})
