"""Backend servers over HTTP, by the aiohttp client.

The client of circuits.web hands an answer over only when it is complete, so it
can't stream; aiohttp is its nearest kin that can. Each call gets a connection
of its own: a kept one that the server has just closed can't be told from a
crash, and aiohttp would send some requests a second time on it.
"""

import asyncio
from urllib.parse import urlsplit

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from carobspring.domain import CallHeaders
from carobspring.ports import (
    Backend,
    BackendAnswer,
    BackendCutError,
    BackendRequest,
    BackendUnreachableError,
)

READ_BUFFER_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0
#: A connection that lasts this long was taken by a living server.
LASTING_S = 0.25
#: Headers that belong to one connection and are not relayed.
HOP_HEADERS = frozenset(
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


def relay_headers(headers: CallHeaders) -> CallHeaders:
    """Return the headers without those of one connection.

    A ``Connection`` header may name further ones.
    """
    dropped = set(HOP_HEADERS)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(item.strip().lower() for item in value.split(","))
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


def describe(error: Exception) -> str:
    """Return an error's kind and message; aiohttp's message may be empty."""
    kind = type(error).__name__
    return f"{kind}: {error}"


class HttpBackendAnswer(BackendAnswer):
    """An answer of aiohttp's client, read as it comes."""

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        method: str,
        takes_unmarked_end: bool = False,
    ) -> None:
        self._response = response
        self.status = response.status
        # Names come as a subclass of str that no codec takes.
        received = tuple((str(name), value) for name, value in response.headers.items())
        self.headers = relay_headers(received)
        self.length = response.content_length
        self._bounded = (
            takes_unmarked_end
            or "Content-Length" in response.headers
            or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
            or method == "HEAD"
            or response.status in (204, 304)
        )

    async def read(self) -> bytes:
        """Return the next piece, or nothing once the answer is whole."""
        try:
            data, _ = await self._response.content.readchunk()
            while not data and not self._response.content.at_eof():
                data, _ = await self._response.content.readchunk()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise BackendCutError(reason=describe(error)) from error
        if not data and not self._bounded:
            raise BackendCutError(reason="the answer's length is not marked")
        return data

    def close(self) -> None:
        """Close the connection, which cancels work that goes on."""
        self._response.close()


class HttpBackend(Backend):
    """A backend server at a base URL.

    Build it inside a running loop.
    """

    def __init__(
        self,
        *,
        url: str,
        health_path: str,
        relays_host: bool = False,
        takes_unmarked_end: bool = False,
    ) -> None:
        self._relays_host = relays_host
        self._takes_unmarked_end = takes_unmarked_end
        self._url = url.rstrip("/")
        self._health_path = health_path
        parts = urlsplit(self._url)
        self._address = (parts.hostname or "127.0.0.1", parts.port or 80)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def send(self, request: BackendRequest) -> BackendAnswer:
        """Send a request and return once status and headers are there."""
        try:
            headers = CIMultiDict(relay_headers(request.headers))
            if self._relays_host:
                hosts = [v for k, v in request.headers if k.lower() == "host"]
                if hosts:
                    headers["Host"] = hosts[0]
            response = await self._session.request(
                request.method,
                URL(self._url + request.path, encoded=True),
                headers=headers,
                data=request.body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise BackendUnreachableError(reason=describe(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise BackendCutError(reason=describe(error)) from error
        return HttpBackendAnswer(
            response=response,
            method=request.method,
            takes_unmarked_end=self._takes_unmarked_end,
        )

    async def probe(self, timeout_s: float) -> bool:
        """Say whether the health path answers in time, by no server error."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                self._url + self._health_path, timeout=timeout
            ) as response:
                return response.status < 500
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

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
            async with asyncio.timeout(LASTING_S):
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
        await self._session.close()
