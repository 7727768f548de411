"""The port of HTTP servers: what a handler gets and may do."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from carobspring.domain import CallHeaders


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A whole request, its body included."""

    method: str
    #: Path without query, percent-decoded by nobody.
    path: str
    query: str = ""
    headers: CallHeaders = ()
    body: bytes = b""
    #: IP number of the caller.
    peer: str = ""

    def find_header(self, name: str) -> str | None:
        """Return a header's first value, whatever the case of its name."""
        wanted = name.lower()
        for header, value in self.headers:
            if header.lower() == wanted:
                return value
        return None


class HttpResponder(ABC):
    """Answers one request, whole or piece by piece.

    Handlers call ``send`` once, or ``start``, then ``write`` any number of
    times, then ``finish`` or ``abort``. Once the caller has closed its
    connection, ``disconnected`` is set and every method does nothing.
    """

    #: Set when the caller closed its connection before the answer's end.
    disconnected: asyncio.Event

    @abstractmethod
    async def send(self, status: int, headers: CallHeaders, body: bytes) -> None:
        """Answer with a whole body; Content-Length is added."""

    @abstractmethod
    async def start(self, status: int, headers: CallHeaders) -> None:
        """Begin an answer of unknown length."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a piece; waits while a slow reader has too much unread."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark the answer as whole."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection so that the caller sees a cut answer."""


HttpHandler = Callable[[HttpRequest, HttpResponder], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class HttpLimits:
    """Bounds that a server keeps against slow or oversized requests."""

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    #: Seconds from a request's first byte until it is whole.
    request_timeout_s: float = 30.0
    #: Seconds that a connection without a request is kept.
    idle_timeout_s: float = 120.0
    #: Seconds that a reader may take nothing of what waits for it.
    stall_timeout_s: float = 60.0
    #: Seconds that a refused caller may go on sending, so that it reads why.
    linger_s: float = 2.0
    #: Unread bytes of an answer at which ``write`` waits.
    write_buffer_bytes: int = 256 * 1024
    max_connections: int = field(default=4096)


class HttpServer(ABC):
    """An HTTP server that a program composes."""

    #: The port that is listened on, also when zero was asked for.
    port: int

    @abstractmethod
    async def start(self) -> None:
        """Listen."""

    @abstractmethod
    async def drain(self, timeout_s: float) -> bool:
        """Take no new requests; return whether the open ones ended in time."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""
