"""Backend servers over HTTP, by h11 on the asyncio loop.

The client of circuits.web hands an answer over only when it is complete, so it
can't stream; h11 is a well-kept parser that leaves connections to its user.
A kept connection that the server has just closed can't be told from a crash,
so only requests that may be repeated are sent on one.
"""

import asyncio
from collections import deque
from typing import Any, Final
from urllib.parse import urlsplit

import h11

from carobspring.adapters.backend_connection import BackendConnection
from carobspring.domain import CallHeaders
from carobspring.ports import (
    Backend,
    BackendRequest,
    BackendResponse,
    BackendUnreachableError,
    IncompleteResponseError,
)

CONNECT_TIMEOUT_S: Final = 2.0
#: A connection that lasts this long was taken by a living server.
LISTENING_CHECK_S: Final = 0.25
#: Seconds after which a server that has too many connections has reset a new
#: one; it takes about a millisecond to accept one.
RESET_WAIT_S: Final = 0.003
#: Part of the time that a server keeps idle connections for which they are
#: used, so that none is used as it is closed.
SERVER_IDLE_TIMEOUT_FRACTION: Final = 0.5
#: Headers that belong to one connection and are not relayed.
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def remove_hop_by_hop_headers(headers: CallHeaders) -> CallHeaders:
    """Return the headers without those of one connection.

    A ``Connection`` header may name further ones.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(item.strip().lower() for item in value.split(","))
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


class HttpBackendResponse(BackendResponse):
    """An answer that is read from its connection as it comes."""

    def __init__(
        self,
        *,
        backend: "HttpBackend",
        connection: BackendConnection,
        response: h11.Response,
        bounded: bool,
    ) -> None:
        self._backend = backend
        self._connection = connection
        self._ended = False
        self._take_head(response, bounded)

    async def read(self) -> bytes:
        """Return the next piece, or nothing once the answer is whole."""
        while not self._ended:
            event = await self._connection.read_event()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
                continue
            self._ended = True
            if not self._bounded:
                raise IncompleteResponseError(
                    reason="the answer's length is not marked"
                )
        return b""

    async def read_next_response(self) -> bool:
        """Pass over this whole answer for the next one to the same request.

        A server may send a second answer to an earlier request, which arrives
        where the present one is due. Returns False when there can't be one.
        """
        while await self.read():
            pass
        if not self._connection.skip_answer():
            return False
        event = await self._connection.read_event()
        if not isinstance(event, h11.Response):
            return False
        self._ended = False
        self._take_head(event, _is_bounded(event) or self._takes_unmarked)
        return True

    def close(self) -> None:
        """Keep the connection of a whole answer; close it otherwise."""
        if self._connection.is_lost:
            return
        if self._ended and self._bounded and not self._closes:
            self._backend.release(self._connection)
        else:
            self._connection.close()

    def _take_head(self, response: h11.Response, bounded: bool) -> None:
        received = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers.raw_items()
        )
        values = {name.lower(): value for name, value in received}
        self.status = response.status_code
        self.headers = remove_hop_by_hop_headers(received)
        self._bounded = bounded
        self._takes_unmarked = bounded
        self._closes = "close" in values.get("connection", "").lower()
        timeout = values.get("keep-alive", "").lower().partition("timeout=")[2]
        digits = timeout.partition(",")[0].strip()
        if digits.isdigit():
            self._connection.kept_s = float(digits)


class HttpBackend(Backend):
    """A backend server at a base URL.

    It must be built inside a running loop. With ``idle_timeout_s``, the
    connection of a complete response is kept for that long and reused for
    requests that may be repeated.
    """

    def __init__(
        self,
        *,
        url: str,
        health_path: str,
        preserve_host: bool = False,
        allow_close_delimited: bool = False,
        idle_timeout_s: float = 0.0,
    ) -> None:
        parts = urlsplit(url)
        self._address = (parts.hostname or "127.0.0.1", parts.port or 80)
        self._base_path = parts.path.rstrip("/")
        self._health_path = health_path
        self._preserve_host = preserve_host
        self._allow_close_delimited = allow_close_delimited
        self._idle_timeout_s = idle_timeout_s
        self._kept: deque[BackendConnection] = deque()
        self._open: set[BackendConnection] = set()
        self._closed = False
        #: Connections opened since the start, for the metrics.
        self.opened_connections = 0

    async def send(self, request: BackendRequest) -> BackendResponse:
        """Send a request and return once status and headers are there."""
        connection = self._take_kept() if request.repeatable else None
        if connection is None:
            connection = await self._connect()
            if not request.repeatable:
                await self._outlast_accepting(connection)
        try:
            connection.send(
                method=request.method,
                target=self._base_path + request.path,
                headers=self._build_headers(request),
                body=request.body,
            )
            event = await connection.read_event()
        except h11.LocalProtocolError as error:
            connection.close()
            raise BackendUnreachableError(reason=f"not sendable: {error}") from error
        except BaseException:
            connection.close()
            raise
        bounded = _is_bounded(event) or request.method == "HEAD"
        return HttpBackendResponse(
            backend=self,
            connection=connection,
            response=event,
            bounded=bounded or self._allow_close_delimited,
        )

    def release(self, connection: BackendConnection) -> None:
        """Take back a connection whose answer is whole."""
        self._open.discard(connection)
        now = asyncio.get_running_loop().time()
        if self._idle_timeout_s <= 0 or self._closed:
            connection.close()
        elif connection.finish(now):
            self._kept.append(connection)

    async def probe(self, timeout_s: float) -> bool:
        """Say whether the health path answers in time, by no server error."""
        request = BackendRequest(method="GET", path=self._health_path)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self.send(request)
        except (IncompleteResponseError, BackendUnreachableError, TimeoutError):
            return False
        answer.close()
        return answer.status < 500

    async def is_listening(self) -> bool:
        """Say whether the backend server accepts connections at present.

        The port of a process that is ending may still take a connection and
        reset it a moment later, so a connection has to last for a while.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._address)
        except (OSError, TimeoutError):
            return False
        try:
            async with asyncio.timeout(LISTENING_CHECK_S):
                await reader.read(1)
        except TimeoutError:
            return True
        except OSError:
            return False
        finally:
            writer.close()
        return False

    async def close(self) -> None:
        """Close every connection."""
        self._closed = True
        for connection in (*self._kept, *self._open):
            connection.close()
        self._kept.clear()
        self._open.clear()

    def _take_kept(self) -> BackendConnection | None:
        now = asyncio.get_running_loop().time()
        while self._kept:
            connection = self._kept.pop()
            longest_s = self._idle_timeout_s
            if connection.kept_s is not None:
                longest_s = min(
                    longest_s, connection.kept_s * SERVER_IDLE_TIMEOUT_FRACTION
                )
            if connection.is_lost:
                continue
            if now - connection.idle_since < longest_s:
                self._open.add(connection)
                return connection
            connection.close("idle for too long")
        return None

    async def _connect(self) -> BackendConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    BackendConnection, *self._address
                )
        except (OSError, TimeoutError) as error:
            reason = f"Cannot connect: {type(error).__name__} {error}"
            raise BackendUnreachableError(reason=reason) from error
        self.opened_connections += 1
        self._open.add(connection)
        return connection

    async def _outlast_accepting(self, connection: BackendConnection) -> None:
        """Wait until a server that is full would have reset a connection.

        A request that may run once could not go elsewhere after a reset that
        comes when it is on its way.
        """
        await asyncio.sleep(RESET_WAIT_S)
        if connection.is_lost:
            connection.close()
            raise BackendUnreachableError(reason="reset before anything was sent")

    def _build_headers(self, request: BackendRequest) -> list[tuple[str, str]]:
        host = f"{self._address[0]}:{self._address[1]}"
        if self._preserve_host:
            named = [v for k, v in request.headers if k.lower() == "host"]
            host = named[0] if named else host
        headers = [("Host", host), *remove_hop_by_hop_headers(request.headers)]
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append(("Content-Length", str(len(request.body))))
        return headers


def _is_bounded(response: Any) -> bool:
    """Say whether an answer's end is marked by more than the connection's."""
    names = {name: value.lower() for name, value in response.headers}
    chunked = b"chunked" in names.get(b"transfer-encoding", b"")
    bodiless = response.status_code in (204, 304)
    return bodiless or chunked or b"content-length" in names


__all__ = ["HttpBackend", "HttpBackendResponse", "remove_hop_by_hop_headers"]
