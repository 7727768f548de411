"""Answers one request, with its head written by circuits.web."""

import asyncio
from http import HTTPStatus
from typing import Protocol

import msgspec
from circuits.web.wrappers import Response

from carobspring.domain import CallHeaders
from carobspring.ports import HttpResponder

#: Pending bytes that are sent without waiting for the loop to come round.
FLUSH_THRESHOLD_BYTES = 16 * 1024
BODILESS_STATUSES = (204, 304)
FINAL_CHUNK = b"0\r\n\r\n"


class StatusCode(int):
    """A status code that prints with its reason, also when it is unusual."""

    def __str__(self) -> str:
        try:
            reason = HTTPStatus(int(self)).phrase
        except ValueError:
            reason = "Unknown"
        return f"{int(self)} {reason}"

    def __format__(self, spec: str) -> str:
        return format(str(self), spec)


class ResponderConnection(Protocol):
    """What a responder needs of its connection."""

    def send_bytes(self, data: bytes) -> None:
        """Send bytes, or keep them until the caller reads on."""

    async def wait_writable(self) -> None:
        """Wait until the unsent bytes are under the limit."""

    def end_request(self) -> None:
        """Let the next request of the connection begin."""

    def close_after_sending(self) -> None:
        """Send what was handed over, then close without marking an end."""

    def must_close(self) -> bool:
        """Say whether the connection is closed after this answer."""


class CircuitsResponder(HttpResponder):
    """Writes the answer of a handler to its connection.

    Circuits' own response events are not used: they cost five events and two
    changes of the poller for each piece of a streamed answer.
    """

    def __init__(self, *, connection: ResponderConnection, answer: Response) -> None:
        self.disconnected = asyncio.Event()
        self.started = False
        self.ended = False
        self._connection = connection
        self._answer = answer
        #: Written and not sent: pieces of one turn of the loop go together.
        self._pending = bytearray()

    async def send(self, status: int, headers: CallHeaders, body: bytes) -> None:
        """Answer with a whole body; Content-Length is added."""
        if self.disconnected.is_set() or self.started:
            return
        bodiless = status in BODILESS_STATUSES
        self._answer.body = b"" if bodiless else body
        head = self._build_head(status, headers)
        if self._answer.request.method == "HEAD" or bodiless:
            body = b""
        self._connection.send_bytes(head + body)
        self._end()

    async def start(self, status: int, headers: CallHeaders) -> None:
        """Begin an answer of unknown length."""
        if self.disconnected.is_set() or self.started:
            return
        # An empty tuple, unlike an empty list, adds no Content-Length.
        self._answer._body = ()
        self._connection.send_bytes(self._build_head(status, headers))

    async def write(self, data: bytes) -> None:
        """Send a piece; waits while a slow reader has too much unread."""
        if self.disconnected.is_set() or self.ended or not data:
            return
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending += data
        if len(self._pending) >= FLUSH_THRESHOLD_BYTES:
            self._flush()
        await self._connection.wait_writable()

    async def finish(self) -> None:
        """Mark the answer as whole."""
        if self.disconnected.is_set() or self.ended:
            return
        self._flush()
        if self._answer.chunked:
            self._connection.send_bytes(FINAL_CHUNK)
        self._end()

    def abort(self) -> None:
        """Close the connection so that the caller sees a cut answer."""
        self._flush()
        self.ended = True
        self._connection.close_after_sending()

    def _flush(self) -> None:
        """Send what was written since the loop last came round."""
        data = bytes(self._pending)
        self._pending.clear()
        if not data or self.disconnected.is_set():
            return
        if self._answer.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.send_bytes(data)

    def _build_head(self, status: int, headers: CallHeaders) -> bytes:
        self.started = True
        answer = self._answer
        answer._status = StatusCode(status)
        for name, value in headers:
            answer.headers.add_header(name, value)
        answer.close = answer.close or self._connection.must_close()
        answer.prepare()
        return bytes(answer) + bytes(answer.headers)

    def _end(self) -> None:
        self.ended = True
        if self._answer.close:
            self._connection.close_after_sending()
        self._connection.end_request()


def encode_error(
    *, code: str, message: str, kind: str = "invalid_request_error"
) -> bytes:
    """Return the body of an error that happened before any call was made."""
    error = {"message": message, "type": kind, "code": code, "ran": "not_run"}
    return msgspec.json.encode({"error": error})
