"""An HTTP client for the duties that are called at the provider."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Final

import h11

from carobspring.adapters.backend_connection import BackendConnection
from carobspring.domain import Address, CallHeaders
from carobspring.ports import IncompleteResponseError

#: SO_LINGER that resets the connection when it is closed.
_RESET_LINGER: Final = struct.pack("ii", 1, 0)


class ProviderError(Exception):
    """A call did not get a response, or was not sent.

    Args:
        reason: What went wrong, for the log.
    """

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the call to the provider failed: {reason}")
        self.reason = reason


class ProviderClient:
    """Sends each call on a connection of its own.

    A call that has not ended in time is reset, so that no bytes of it are
    retransmitted once another daemon may hold the duty.
    """

    def __init__(self, *, address: Address, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s

    async def post(
        self,
        path: str,
        headers: CallHeaders,
        body: bytes,
        *,
        may_send: Callable[[], bool],
    ) -> int:
        """Send a call and return the status of the response.

        ``may_send`` is asked once the connection is open.

        Raises:
            ProviderError: There was no response in time, or the call was not
                to be sent any more.
        """
        connection: BackendConnection | None = None
        try:
            async with asyncio.timeout(self._timeout_s):
                connection = await self._connect()
                if not may_send():
                    raise ProviderError(reason="the duty is no longer held")
                connection.send(
                    method="POST",
                    target=path,
                    headers=(
                        ("Host", str(self._address)),
                        *headers,
                        ("Content-Length", str(len(body))),
                        ("Connection", "close"),
                    ),
                    body=body,
                )
                event = await connection.read_event()
                if not isinstance(event, h11.Response):
                    raise ProviderError(reason="no response in HTTP")
                return event.status_code
        except TimeoutError as error:
            raise ProviderError(reason="no response in time") from error
        except OSError as error:
            raise ProviderError(reason=error.strerror or str(error)) from error
        except IncompleteResponseError as error:
            raise ProviderError(reason=error.reason) from error
        finally:
            if connection is not None:
                connection.close()

    async def _connect(self) -> BackendConnection:
        loop = asyncio.get_running_loop()
        transport, connection = await loop.create_connection(
            BackendConnection, self._address.host, self._address.port
        )
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
        return connection
