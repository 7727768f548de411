"""Handing a backend server's answer to the caller, whole or as a stream.

A cut answer is never passed off as whole: one that is kept back until it is
whole becomes an error, and one that has begun is cut off visibly.
"""

from abc import ABC, abstractmethod

from carobspring.domain import CallHeaders
from carobspring.entry.errors import CallError
from carobspring.ports import HttpResponder
from carobspring.protocol import ResponseHead

#: Bytes of a whole answer that are kept back; a longer one is streamed on.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024

REVISION_HEADER = "X-Carob-Revision"

#: Headers of the backend server's answer that hold for one hop.
HOP_BY_HOP_HEADERS = frozenset(
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
    """Return the headers that go on to the caller."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    )


def build_revision_header(revision: int) -> tuple[str, str]:
    """Return the header that names the settings an answer was given by.

    A caller that sends it back is never served by older ones.
    """
    return (REVISION_HEADER, str(revision))


class CallerResponse(ABC):
    """The answer to one caller, fed by the call's driver.

    Until ``begun`` is true the caller has seen nothing, and the call may
    start over elsewhere, after ``restart``.
    """

    def __init__(self, responder: HttpResponder, revision: int) -> None:
        self._responder = responder
        self._revision = build_revision_header(revision)
        self._head: ResponseHead | None = None
        self.has_started = False

    @property
    def has_head(self) -> bool:
        """True once the backend server's status is known."""
        return self._head is not None

    @property
    def status(self) -> int:
        """The backend server's status, or zero before it is known."""
        return self._head.status if self._head else 0

    def set_head(self, head: ResponseHead) -> None:
        """Keep status and headers until there is a body to go with them."""
        self._head = head

    def reset(self) -> None:
        """Forget what came of an attempt that nothing was shown of."""
        self._head = None

    @abstractmethod
    async def receive_data(self, data: bytes) -> None:
        """Take the next bytes of the body."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark the answer as whole."""

    @abstractmethod
    async def fail(self, error: CallError) -> None:
        """Give the caller an error in place of the rest of the answer."""

    async def _send_error(self, error: CallError) -> None:
        self.has_started = True
        headers = (*error.build_headers(), self._revision)
        await self._responder.send(error.status, headers, error.build_body())

    async def _begin(self) -> None:
        if not self.has_started:
            self.has_started = True
            head = self._head or ResponseHead(status=200)
            headers = (*filter_response_headers(head.headers), self._revision)
            await self._responder.start(head.status, headers)


class StreamedResponse(CallerResponse):
    """An answer of server-sent events, passed on as it comes."""

    async def receive_data(self, data: bytes) -> None:
        """Pass the bytes on at once."""
        await self._begin()
        await self._responder.write(data)

    async def finish(self) -> None:
        """Mark the answer as whole."""
        await self._begin()
        await self._responder.finish()

    async def fail(self, error: CallError) -> None:
        """Send the error as an event, without ``[DONE]``, and cut off."""
        if not self.has_started:
            await self._send_error(error)
            return
        event = b"\n\nevent: error\ndata: " + error.build_body() + b"\n\n"
        await self._responder.write(event)
        self._responder.abort()


class BufferedResponse(CallerResponse):
    """An answer that is kept back until it is whole."""

    def __init__(self, responder: HttpResponder, revision: int) -> None:
        super().__init__(responder, revision)
        self._kept = bytearray()

    def reset(self) -> None:
        """Forget what came of an attempt that nothing was shown of."""
        super().reset()
        self._kept.clear()

    async def receive_data(self, data: bytes) -> None:
        """Keep the bytes, or pass them on once they are too many."""
        if self.has_started:
            await self._responder.write(data)
            return
        self._kept += data
        if len(self._kept) > MAX_BUFFERED_BYTES:
            await self._begin()
            await self._responder.write(bytes(self._kept))
            self._kept.clear()

    async def finish(self) -> None:
        """Send the answer."""
        if self.has_started:
            await self._responder.finish()
            return
        self.has_started = True
        head = self._head or ResponseHead(status=200)
        headers = (*filter_response_headers(head.headers), self._revision)
        await self._responder.send(head.status, headers, bytes(self._kept))

    async def fail(self, error: CallError) -> None:
        """Send the error, or cut off an answer that has begun."""
        if self.has_started:
            self._responder.abort()
        else:
            await self._send_error(error)
