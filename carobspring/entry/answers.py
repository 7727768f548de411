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
MAX_KEPT_BYTES = 4 * 1024 * 1024

REVISION_HEADER = "X-Carob-Revision"

#: Headers of the backend server's answer that hold for one hop.
HOP_HEADERS = frozenset(
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


def pick_headers(headers: CallHeaders) -> CallHeaders:
    """Return the headers that go on to the caller."""
    return tuple(
        (name, value) for name, value in headers if name.lower() not in HOP_HEADERS
    )


def name_revision(revision: int) -> tuple[str, str]:
    """Return the header that names the settings an answer was given by.

    A caller that sends it back is never served by older ones.
    """
    return (REVISION_HEADER, str(revision))


class CallerAnswer(ABC):
    """The answer to one caller, fed by the call's driver.

    Until ``begun`` is true the caller has seen nothing, and the call may
    start over elsewhere, after ``restart``.
    """

    def __init__(self, responder: HttpResponder, revision: int) -> None:
        self._responder = responder
        self._revision = name_revision(revision)
        self._head: ResponseHead | None = None
        self.begun = False

    @property
    def has_head(self) -> bool:
        """True once the backend server's status is known."""
        return self._head is not None

    @property
    def status(self) -> int:
        """The backend server's status, or zero before it is known."""
        return self._head.status if self._head else 0

    def take_head(self, head: ResponseHead) -> None:
        """Keep status and headers until there is a body to go with them."""
        self._head = head

    def restart(self) -> None:
        """Forget what came of an attempt that nothing was shown of."""
        self._head = None

    @abstractmethod
    async def take_data(self, data: bytes) -> None:
        """Take the next bytes of the body."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark the answer as whole."""

    @abstractmethod
    async def fail(self, error: CallError) -> None:
        """Give the caller an error in place of the rest of the answer."""

    async def _send_error(self, error: CallError) -> None:
        self.begun = True
        headers = (*error.build_headers(), self._revision)
        await self._responder.send(error.status, headers, error.build_body())

    async def _begin(self) -> None:
        if not self.begun:
            self.begun = True
            head = self._head or ResponseHead(status=200)
            headers = (*pick_headers(head.headers), self._revision)
            await self._responder.start(head.status, headers)


class StreamedAnswer(CallerAnswer):
    """An answer of server-sent events, passed on as it comes."""

    async def take_data(self, data: bytes) -> None:
        """Pass the bytes on at once."""
        await self._begin()
        await self._responder.write(data)

    async def finish(self) -> None:
        """Mark the answer as whole."""
        await self._begin()
        await self._responder.finish()

    async def fail(self, error: CallError) -> None:
        """Send the error as an event, without ``[DONE]``, and cut off."""
        if not self.begun:
            await self._send_error(error)
            return
        event = b"\n\nevent: error\ndata: " + error.build_body() + b"\n\n"
        await self._responder.write(event)
        self._responder.abort()


class WholeAnswer(CallerAnswer):
    """An answer that is kept back until it is whole."""

    def __init__(self, responder: HttpResponder, revision: int) -> None:
        super().__init__(responder, revision)
        self._kept = bytearray()

    def restart(self) -> None:
        """Forget what came of an attempt that nothing was shown of."""
        super().restart()
        self._kept.clear()

    async def take_data(self, data: bytes) -> None:
        """Keep the bytes, or pass them on once they are too many."""
        if self.begun:
            await self._responder.write(data)
            return
        self._kept += data
        if len(self._kept) > MAX_KEPT_BYTES:
            await self._begin()
            await self._responder.write(bytes(self._kept))
            self._kept.clear()

    async def finish(self) -> None:
        """Send the answer."""
        if self.begun:
            await self._responder.finish()
            return
        self.begun = True
        head = self._head or ResponseHead(status=200)
        headers = (*pick_headers(head.headers), self._revision)
        await self._responder.send(head.status, headers, bytes(self._kept))

    async def fail(self, error: CallError) -> None:
        """Send the error, or cut off an answer that has begun."""
        if self.begun:
            self._responder.abort()
        else:
            await self._send_error(error)
