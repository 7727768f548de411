"""Sending a backend server's response to the caller, buffered or streamed.

An incomplete response never looks complete to the caller. A buffered one is
replaced by an error, and one that has started is aborted.
"""

from abc import ABC, abstractmethod

from carobspring.domain import CallHeaders
from carobspring.entry.errors import CallError
from carobspring.ports import HttpResponder
from carobspring.protocol import ResponseHead

#: Largest response that is buffered; a longer one is streamed.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024

REVISION_HEADER = "X-Carob-Revision"

#: Response headers that are not forwarded: hop-by-hop headers and those that
#: the entry sets itself.
STRIPPED_RESPONSE_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
        REVISION_HEADER.lower(),
    }
)


def filter_response_headers(headers: CallHeaders) -> CallHeaders:
    """Return the response headers that are forwarded to the caller."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in STRIPPED_RESPONSE_HEADERS
    )


def build_revision_header(revision: int) -> tuple[str, str]:
    """Return the header with the settings revision of a response.

    A caller that sends it back is never served under an older revision.
    """
    return (REVISION_HEADER, str(revision))


class CallerResponse(ABC):
    """The response to one caller, written by the call's driver.

    While ``has_started`` is false nothing has been sent to the caller, and
    the call may run again on another server after ``reset``.
    """

    def __init__(self, responder: HttpResponder, revision: int) -> None:
        self._responder = responder
        self._revision_header = build_revision_header(revision)
        self._head: ResponseHead | None = None
        self.has_started = False

    @property
    def has_head(self) -> bool:
        """Whether the backend server's status is known."""
        return self._head is not None

    @property
    def status(self) -> int:
        """The backend server's status; zero before it is known."""
        return self._head.status if self._head else 0

    def set_head(self, head: ResponseHead) -> None:
        """Store the status and headers until the first body data arrives."""
        self._head = head

    def reset(self) -> None:
        """Discard the data of an attempt; nothing was sent to the caller."""
        self._head = None

    @abstractmethod
    async def receive_data(self, data: bytes) -> None:
        """Process the next bytes of the body."""

    @abstractmethod
    async def finish(self) -> None:
        """Complete the response."""

    @abstractmethod
    async def fail(self, error: CallError) -> None:
        """Send an error in place of the rest of the response."""

    async def _send_error(self, error: CallError) -> None:
        self.has_started = True
        headers = (*error.build_headers(), self._revision_header)
        await self._responder.send(error.status, headers, error.build_body())

    async def _start(self) -> None:
        if not self.has_started:
            self.has_started = True
            head = self._head or ResponseHead(status=200)
            headers = (*filter_response_headers(head.headers), self._revision_header)
            await self._responder.start(head.status, headers)


class StreamedResponse(CallerResponse):
    """A response of server-sent events that is forwarded as it arrives."""

    async def receive_data(self, data: bytes) -> None:
        """Forward the bytes immediately."""
        await self._start()
        await self._responder.write(data)

    async def finish(self) -> None:
        """Complete the response."""
        await self._start()
        await self._responder.finish()

    async def fail(self, error: CallError) -> None:
        """Send the error as an event, without ``[DONE]``, and abort."""
        if not self.has_started:
            await self._send_error(error)
            return
        event = b"\n\nevent: error\ndata: " + error.build_body() + b"\n\n"
        await self._responder.write(event)
        self._responder.abort()


class BufferedResponse(CallerResponse):
    """A response that is buffered until it is complete."""

    def __init__(self, responder: HttpResponder, revision: int) -> None:
        super().__init__(responder, revision)
        self._buffer = bytearray()

    def reset(self) -> None:
        """Discard the data of an attempt; nothing was sent to the caller."""
        super().reset()
        self._buffer.clear()

    async def receive_data(self, data: bytes) -> None:
        """Buffer the bytes, or forward them once they exceed the limit."""
        if self.has_started:
            await self._responder.write(data)
            return
        self._buffer += data
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            await self._start()
            await self._responder.write(bytes(self._buffer))
            self._buffer.clear()

    async def finish(self) -> None:
        """Send the response."""
        if self.has_started:
            await self._responder.finish()
            return
        self.has_started = True
        head = self._head or ResponseHead(status=200)
        headers = (*filter_response_headers(head.headers), self._revision_header)
        await self._responder.send(head.status, headers, bytes(self._buffer))

    async def fail(self, error: CallError) -> None:
        """Send the error, or abort a response that has started."""
        if self.has_started:
            self._responder.abort()
        else:
            await self._send_error(error)
