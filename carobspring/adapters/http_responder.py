"""Answers one request through circuits.web's response events."""

import asyncio
from http import HTTPStatus
from typing import Any, Protocol

import msgspec
from circuits import Event
from circuits.web.events import response, stream
from circuits.web.wrappers import Response

from carobspring.domain import CallHeaders
from carobspring.ports import HttpResponder

#: Pending bytes at which a writer lets the loop come round.
PIECE_BYTES = 16 * 1024
BODILESS_STATUSES = (204, 304)


def quieten(event: Event) -> Event:
    """Return an event that fires no others about its success.

    Nothing listens to them, and they cost more than the event itself.
    """
    event.success = False
    event.complete = False
    return event


class StatusLine(int):
    """A status code that prints with its reason, also when it is unusual."""

    def __str__(self) -> str:
        try:
            reason = HTTPStatus(int(self)).phrase
        except ValueError:
            reason = "Unknown"
        return f"{int(self)} {reason}"

    def __format__(self, spec: str) -> str:
        return format(str(self), spec)


class Connection(Protocol):
    """What a responder needs of its connection."""

    def fire_event(self, event: Any) -> None:
        """Queue an event for circuits' server."""

    def note_written(self, size: int) -> None:
        """Count bytes that were handed over and are not sent yet."""

    async def wait_writable(self) -> None:
        """Wait until the unsent bytes are under the limit."""

    def end_request(self) -> None:
        """Let the next request of the connection begin."""

    def close_after_sending(self) -> None:
        """Send what was handed over, then close without marking an end."""

    def must_close(self) -> bool:
        """Say whether the connection is closed after this answer."""


class CircuitsResponder(HttpResponder):
    """Turns the calls of a handler into circuits' events."""

    def __init__(self, *, connection: Connection, answer: Response) -> None:
        self.gone = asyncio.Event()
        self.started = False
        self.ended = False
        self._connection = connection
        self._answer = answer
        #: Written and not handed over: pieces that come together go together.
        self._pending = bytearray()

    async def send(self, status: int, headers: CallHeaders, body: bytes) -> None:
        """Answer with a whole body; Content-Length is added."""
        if self.gone.is_set() or self.started:
            return
        self._prepare(status, headers)
        if status in BODILESS_STATUSES:
            body = b""
        self._answer.body = body
        self._connection.fire_event(quieten(response(self._answer)))
        if self._answer.request.method != "HEAD":
            self._connection.note_written(len(body))
        self._end()

    async def start(self, status: int, headers: CallHeaders) -> None:
        """Begin an answer of unknown length."""
        if self.gone.is_set() or self.started:
            return
        self._prepare(status, headers)
        self._answer.stream = True
        # An empty tuple, unlike an empty list, adds no Content-Length.
        self._answer._body = ()
        self._connection.fire_event(quieten(response(self._answer)))

    async def write(self, data: bytes) -> None:
        """Send a piece; waits while a slow reader has too much unread."""
        if self.gone.is_set() or self.ended or not data:
            return
        self._connection.note_written(len(data))
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending += data
        if len(self._pending) >= PIECE_BYTES:
            await asyncio.sleep(0)
        await self._connection.wait_writable()

    async def finish(self) -> None:
        """Mark the answer as whole."""
        if self.gone.is_set() or self.ended:
            return
        self._flush()
        self._connection.fire_event(quieten(stream(self._answer, None)))
        self._end()

    def abort(self) -> None:
        """Close the connection so that the caller sees a cut answer."""
        self._flush()
        self.ended = True
        self._connection.close_after_sending()

    def _flush(self) -> None:
        """Hand over what was written since the loop last came round."""
        if self._pending and not self.gone.is_set() and not self.ended:
            data = bytes(self._pending)
            self._connection.fire_event(quieten(stream(self._answer, data)))
        self._pending.clear()

    def _prepare(self, status: int, headers: CallHeaders) -> None:
        self.started = True
        self._answer._status = StatusLine(status)
        for name, value in headers:
            self._answer.headers.add_header(name, value)
        self._answer.close = self._answer.close or self._connection.must_close()

    def _end(self) -> None:
        self.ended = True
        self._connection.end_request()


def encode_error(
    *, code: str, message: str, kind: str = "invalid_request_error"
) -> bytes:
    """Return the body of an error that happened before any call was made."""
    error = {"message": message, "type": kind, "code": code, "ran": "not_run"}
    return msgspec.json.encode({"error": error})
