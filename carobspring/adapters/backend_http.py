"""An HTTP client for backend servers, with h11 on the asyncio event loop.

The client of circuits.web returns a response only when it is complete, so it
can't stream. h11 is a well-maintained parser that leaves connections to its
user. An idle connection that the server just closed can't be distinguished
from a crash, so only requests that may be repeated reuse a connection.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Set
from typing import Any, Final
from urllib.parse import urlsplit

import h11

from carobspring.adapters.backend_connection import BackendConnection
from carobspring.adapters.sockets import connect_with_small_buffers
from carobspring.domain import CallHeaders
from carobspring.ports import (
    Backend,
    BackendRequest,
    BackendResponse,
    BackendUnreachableError,
    IncompleteResponseError,
    RequestWithheldError,
)

CONNECT_TIMEOUT_S: Final = 2.0
#: Seconds that a connection must stay open to show that the server is alive.
LISTENING_CHECK_S: Final = 0.25
#: Seconds within which a server with too many connections resets a new one;
#: accepting a connection takes about a millisecond.
RESET_WAIT_S: Final = 0.003
#: Fraction of the server's idle timeout during which a connection is reused,
#: so that none is reused while the server closes it.
SERVER_IDLE_TIMEOUT_FRACTION: Final = 0.5
#: Bounds of the responses to other requests that are skipped before the one
#: to a request, in bytes, number and seconds: servers send a few late ones.
MAX_SKIPPED_BYTES: Final = 1024 * 1024
MAX_SKIPPED_RESPONSES: Final = 16
SKIP_TIMEOUT_S: Final = 1.0
#: Seconds within which a server ends a connection that it says it closes.
CLOSE_TIMEOUT_S: Final = 1.0
#: Headers that apply to a single connection and are not forwarded.
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


def remove_hop_by_hop_headers(
    headers: CallHeaders, *, end_to_end: Set[str] = frozenset()
) -> CallHeaders:
    """Return the headers without the hop-by-hop ones.

    A ``Connection`` header may name additional hop-by-hop headers, except
    those in ``end_to_end``, which has names in lower case.
    """
    named = {
        item.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for item in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | (named - end_to_end)
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


class HttpBackendResponse(BackendResponse):
    """A response that is read from its connection as it arrives."""

    def __init__(
        self,
        *,
        backend: "HttpBackend",
        connection: BackendConnection,
        response: h11.Response,
        accepts_close_delimited: bool,
    ) -> None:
        self._backend = backend
        self._connection = connection
        self._complete = False
        self._must_close = False
        self._skipped_bytes = 0
        self._skipped_responses = 0
        self._skip_deadline: float | None = None
        self._accepts_close_delimited = accepts_close_delimited
        self._read_head(response)

    async def read(self) -> bytes:
        """Return the next chunk, or empty bytes at the end of the response."""
        while not self._complete:
            event = await self._connection.read_event()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
                continue
            self._complete = isinstance(event, h11.EndOfMessage)
            if not self._complete:
                # May reach callers and a metric label: keep the text.
                raise IncompleteResponseError(reason="the answer has no end in HTTP")
            if not self.is_end_marked and not self._accepts_close_delimited:
                # May reach callers and a metric label: keep the text.
                raise IncompleteResponseError(
                    reason="the answer's length is not marked"
                )
            if not self.is_end_marked and self._connection.ended_while_sending:
                # A server that breaks off with bytes of the request unread may
                # end its data before it resets the connection.
                raise IncompleteResponseError(
                    reason="the answer ended before the request was sent"
                )
        return b""

    async def read_next_response(self) -> bool:
        """Skip this response and read the next one to the same request.

        A server may send a second response to an earlier request, which
        arrives in place of the current one. Returns False if the connection
        can't carry another response.

        Raises:
            IncompleteResponseError: There is too much to skip.
        """
        now = asyncio.get_running_loop().time()
        if self._skip_deadline is None:
            self._skip_deadline = now + SKIP_TIMEOUT_S
        self._skipped_responses += 1
        try:
            async with asyncio.timeout(max(0.0, self._skip_deadline - now)):
                return await self._skip_response()
        except TimeoutError as error:
            reason = "other requests' answers take too long"
            raise IncompleteResponseError(reason=reason) from error

    async def _skip_response(self) -> bool:
        while data := await self.read():
            self._skipped_bytes += len(data)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                reason = "other requests' answers are too long"
                raise IncompleteResponseError(reason=reason)
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            raise IncompleteResponseError(reason="too many answers to other requests")
        if not self._connection.prepare_next_response():
            return False
        event = await self._connection.read_event()
        if not isinstance(event, h11.Response):
            return False
        self._complete = False
        self._read_head(event)
        return True

    async def read_follow_up(self) -> bool:
        """Send a check behind the request and read what comes next."""
        while data := await self.read():
            self._skipped_bytes += len(data)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise IncompleteResponseError(reason="the answer is too long")
        connection = self._connection
        if self._connection_closes:
            return not await self._is_last_response()
        if not connection.has_trailing_data:
            request_method = connection.request_method
            if not connection.finish(asyncio.get_running_loop().time()):
                raise IncompleteResponseError(reason="the connection ended")
            self._backend.send_check(connection, request_method)
            # Its response may still come when the request's own is complete.
            self._must_close = True
        elif not connection.prepare_next_response():
            raise IncompleteResponseError(reason="bytes behind a response")
        event = await connection.read_event()
        self._complete = False
        # The response to the check comes next on the same connection.
        self._accepts_close_delimited = False
        self._read_head(event)
        return True

    async def _is_last_response(self) -> bool:
        """Return True if the server ends the connection without more data.

        Raises:
            IncompleteResponseError: It does not.
        """
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                if await self._connection.is_ended_by_server():
                    return True
        except TimeoutError:
            pass
        raise IncompleteResponseError(reason="the server goes on after a close")

    def close(self) -> None:
        """Release the connection after a complete response, or close it."""
        is_reusable = not self._connection_closes and not self._must_close
        if self._complete and is_reusable:
            self._backend.release(self._connection)
        else:
            self._backend.drop(self._connection)

    def _read_head(self, response: h11.Response) -> None:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers.raw_items()
        )
        values = {name.lower(): value for name, value in headers}
        self.status = response.status_code
        self.headers = remove_hop_by_hop_headers(
            headers, end_to_end=self._backend.end_to_end_headers
        )
        self.is_end_marked = (
            self._connection.request_method == "HEAD" or _is_self_delimited(response)
        )
        self._connection_closes = "close" in values.get("connection", "").lower()
        timeout = values.get("keep-alive", "").lower().partition("timeout=")[2]
        digits = timeout.partition(",")[0].strip()
        if digits.isascii() and digits.isdigit():
            self._connection.server_idle_timeout_s = float(digits)


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
        compute_max_idle: Callable[[], int] | None = None,
        end_to_end_headers: Set[str] = frozenset(),
    ) -> None:
        """Create a client.

        ``compute_max_idle`` returns how many idle connections to keep; None
        keeps them all until they time out.
        """
        parts = urlsplit(url)
        self._address = (parts.hostname or "127.0.0.1", parts.port or 80)
        self._base_path = parts.path.rstrip("/")
        self._health_path = health_path
        self._preserve_host = preserve_host
        self._allow_close_delimited = allow_close_delimited
        self._idle_timeout_s = idle_timeout_s
        self._compute_max_idle = compute_max_idle
        #: Headers that no ``Connection`` header removes, in lower case.
        self.end_to_end_headers = end_to_end_headers
        self._idle: deque[BackendConnection] = deque()
        self._active: set[BackendConnection] = set()
        self._closed = False
        self._expiry: asyncio.TimerHandle | None = None
        #: Number of connections opened so far, for metrics.
        self.opened_connections = 0

    @property
    def has_connections(self) -> bool:
        """Whether any connection is open, in use or kept."""
        return bool(self._active or self._idle)

    async def send(self, request: BackendRequest) -> BackendResponse:
        """Send a request; return once the status and headers are received."""
        connection = self._get_idle_connection() if request.repeatable else None
        if connection is None:
            connection = await self._connect()
            if not request.repeatable:
                await self._wait_for_reset(connection)
        if request.may_send is not None and not request.may_send():
            self.drop(connection)
            raise RequestWithheldError(reason="withheld")
        try:
            connection.send(
                method=request.method,
                target=self._base_path + request.path,
                headers=self._build_headers(request),
                body=request.body,
            )
            event = await connection.read_event()
        except h11.LocalProtocolError as error:
            self.drop(connection)
            # Logged as the detail of a failed attempt: keep the text.
            raise BackendUnreachableError(reason=f"not sendable: {error}") from error
        except BaseException:
            self.drop(connection)
            raise
        return HttpBackendResponse(
            backend=self,
            connection=connection,
            response=event,
            accepts_close_delimited=self._allow_close_delimited,
        )

    def send_check(self, connection: BackendConnection, request_method: str) -> None:
        """Request the health path on a connection that has responded.

        The response to the request before may still come, so the method must
        not say that it has a body if that one has none.
        """
        connection.send(
            method="HEAD" if request_method == "HEAD" else "GET",
            target=self._health_path,
            headers=[("Host", f"{self._address[0]}:{self._address[1]}")],
            body=b"",
        )

    def drop(self, connection: BackendConnection) -> None:
        """Close a connection, and forget it."""
        self._active.discard(connection)
        connection.close()

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection for reuse once its response is complete."""
        self._active.discard(connection)
        now = asyncio.get_running_loop().time()
        if self._idle_timeout_s <= 0 or self._closed:
            connection.close()
        elif connection.finish(now):
            self._idle.append(connection)
            self._close_surplus()
            self._schedule_expiry()

    async def probe(self, timeout_s: float) -> bool:
        """Return whether the health path responds in time, with no 5xx."""
        request = BackendRequest(method="GET", path=self._health_path)
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.send(request)
        except (IncompleteResponseError, BackendUnreachableError, TimeoutError):
            return False
        response.close()
        return response.status < 500

    async def is_listening(self) -> bool:
        """Return whether the backend server accepts connections.

        The port of an exiting process may still accept a connection and reset
        it a moment later, so a connection must stay open for a while.
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

    async def is_refusing(self, timeout_s: float) -> bool:
        """Return whether nothing listens at the server's address.

        A timeout says nothing, and neither does a reset after the connection
        was accepted: servers with too many connections do that.
        """
        try:
            async with asyncio.timeout(timeout_s):
                _, writer = await asyncio.open_connection(*self._address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    async def close(self) -> None:
        """Close every connection."""
        self._closed = True
        if self._expiry is not None:
            self._expiry.cancel()
        for connection in (*self._idle, *self._active):
            connection.close()
        self._idle.clear()
        self._active.clear()

    def _close_surplus(self) -> None:
        """Close the oldest idle connections beyond the number to keep."""
        if self._compute_max_idle is None:
            return
        max_idle = self._compute_max_idle()
        while len(self._idle) > max_idle:
            self._idle.popleft().close("too many idle connections")

    def _schedule_expiry(self) -> None:
        """Close idle connections in time, also if no request takes one."""
        if self._expiry is None and self._idle and not self._closed:
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(self._idle_timeout_s, self._expire_idle)

    def _expire_idle(self) -> None:
        self._expiry = None
        now = asyncio.get_running_loop().time()
        # The one that was used last is taken first, so the first is oldest.
        while self._idle and now - self._idle[0].idle_since >= self._idle_timeout_s:
            self._idle.popleft().close("idle for too long")
        self._schedule_expiry()

    def _get_idle_connection(self) -> BackendConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            max_idle_s = self._idle_timeout_s
            if connection.server_idle_timeout_s is not None:
                max_idle_s = min(
                    max_idle_s,
                    connection.server_idle_timeout_s * SERVER_IDLE_TIMEOUT_FRACTION,
                )
            if connection.is_lost:
                continue
            if now - connection.idle_since < max_idle_s:
                self._active.add(connection)
                return connection
            # Close reasons keep their texts; see BackendConnection.
            connection.close("idle for too long")
        return None

    async def _connect(self) -> BackendConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                sock = await connect_with_small_buffers(self._address)
                _, connection = await loop.create_connection(
                    BackendConnection, sock=sock
                )
        except (OSError, TimeoutError) as error:
            reason = f"Cannot connect: {type(error).__name__} {error}"
            raise BackendUnreachableError(reason=reason) from error
        self.opened_connections += 1
        self._active.add(connection)
        return connection

    async def _wait_for_reset(self, connection: BackendConnection) -> None:
        """Wait until a server with too many connections would have reset one.

        If the reset came while a request that may run only once was in
        flight, the request could not be sent to another server.
        """
        await asyncio.sleep(RESET_WAIT_S)
        if connection.is_lost:
            self.drop(connection)
            # Logged as the detail of a failed attempt: keep the text.
            raise BackendUnreachableError(reason="reset before anything was sent")

    def _build_headers(self, request: BackendRequest) -> list[tuple[str, str]]:
        host = f"{self._address[0]}:{self._address[1]}"
        if self._preserve_host:
            host_values = [
                value for name, value in request.headers if name.lower() == "host"
            ]
            host = host_values[0] if host_values else host
        forwarded = remove_hop_by_hop_headers(
            request.headers, end_to_end=self.end_to_end_headers
        )
        headers = [("Host", host), *forwarded]
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append(("Content-Length", str(len(request.body))))
        return headers


def _is_self_delimited(response: Any) -> bool:
    """Return whether the end of a response is marked in the response itself.

    Otherwise it is close-delimited: it ends with its connection.
    """
    names = {name: value.lower() for name, value in response.headers}
    chunked = b"chunked" in names.get(b"transfer-encoding", b"")
    bodiless = response.status_code in (204, 304)
    return bodiless or chunked or b"content-length" in names


__all__ = ["HttpBackend", "HttpBackendResponse", "remove_hop_by_hop_headers"]
