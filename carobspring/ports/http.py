"""The port of HTTP servers: requests, responders, limits and servers."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from carobspring.domain import CallHeaders


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A complete request with its body."""

    method: str
    #: Path without query string, not percent-decoded.
    path: str
    query: str = ""
    #: Whether a question mark follows the path, if only an empty query does.
    has_query: bool = False
    headers: CallHeaders = ()
    body: bytes = b""
    #: False if the request has a body that the handler did not want.
    is_body_read: bool = True
    #: IP address of the caller.
    peer: str = ""

    @property
    def target(self) -> str:
        """Path and query string, as the caller sent them."""
        has_query = self.query or self.has_query
        return f"{self.path}?{self.query}" if has_query else self.path

    def find_header(self, name: str) -> str | None:
        """Return the first value of a header; its name is case-insensitive."""
        lowercase_name = name.lower()
        for header, value in self.headers:
            if header.lower() == lowercase_name:
                return value
        return None


class HttpResponder(ABC):
    """Sends the response to one request, at once or as a stream.

    Handlers call either ``send`` once, or ``start``, then ``write`` any number
    of times, then ``finish`` or ``abort``. Once the caller has closed its
    connection, ``disconnected`` is set and all methods do nothing.
    """

    #: Set if the caller closes its connection before the response is complete.
    disconnected: asyncio.Event

    def hold_back(self, size: int) -> bool:
        """Report how many bytes of the response are held back unsent.

        Returns False if the memory of the process is short, so that they
        should rather be sent.
        """
        return True

    def set_batching(self, is_batching: bool) -> None:
        """Join the chunks that are written from now on, or send them.

        For chunks that belong together but are written over several
        iterations of the event loop.
        """

    @abstractmethod
    async def send(self, status: int, headers: CallHeaders, body: bytes) -> None:
        """Send a complete response; Content-Length is added."""

    @abstractmethod
    async def start(self, status: int, headers: CallHeaders) -> None:
        """Start a response of unknown length."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a chunk; wait while too many bytes are unread by the caller."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark the response as complete."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection; the caller detects a truncated response."""


HttpHandler = Callable[[HttpRequest, HttpResponder], Awaitable[None]]

#: Returns the size of the largest body that the handler takes with a head, or
#: None for the limit of the server. With zero the request is handled without
#: its body. Only large bodies are asked about.
BodyLimiter = Callable[[HttpRequest], int | None]


@dataclass(frozen=True, kw_only=True)
class HttpLimits:
    """Limits that protect a server against slow or oversized requests."""

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    #: Seconds from the first byte of a request until its head is complete.
    header_timeout_s: float = 30.0
    #: Seconds from the first byte of a request until it is complete.
    request_timeout_s: float = 30.0
    #: Seconds that a connection without a request stays open.
    idle_timeout_s: float = 120.0
    #: Seconds that a caller may read nothing of a pending response.
    stall_timeout_s: float = 60.0
    #: Seconds that a rejected request may still be sent, so that the caller
    #: can read the error response.
    linger_s: float = 2.0
    #: Unread bytes of responses at which ``write`` waits, and at which no
    #: further request of the connection is read.
    write_buffer_bytes: int = 64 * 1024
    #: The same while the memory of the process is short.
    short_write_buffer_bytes: int = 16 * 1024
    max_connections: int = field(default=4096)
    #: Bytes sent ahead of a response at which reading stops.
    max_pipelined_bytes: int = 16 * 1024


class HttpServer(ABC):
    """An HTTP server."""

    #: The port that the server listens on; the actual one if 0 was requested.
    port: int

    @abstractmethod
    async def start(self) -> None:
        """Start to listen."""

    @abstractmethod
    async def drain(self, timeout_s: float) -> bool:
        """Accept no new requests; return whether open ones ended in time."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
