"""HTTP clients of the backend servers, one for each server."""

import asyncio

from carobspring import platform
from carobspring.adapters.backend_http import HttpBackend
from carobspring.adapters.tasks import start_task
from carobspring.domain import BackendServer

#: Seconds after which an idle connection is closed.
IDLE_TIMEOUT_S = 4.0
#: Seconds for which requests to a removed server may still run.
CLOSE_DELAY_S = 60.0


class BackendConnections:
    """Keeps an HTTP client for each backend server that is listed."""

    def __init__(self) -> None:
        self._clients: dict[str, HttpBackend] = {}

    def add(self, server: BackendServer) -> None:
        """Create a client for a server, in place of an earlier one."""
        self.remove(server.server_id)
        self._clients[server.server_id] = HttpBackend(
            url=f"http://{server.host}:{server.port}",
            health_path="/",
            preserve_host=True,
            allow_close_delimited=True,
            idle_timeout_s=IDLE_TIMEOUT_S,
            end_to_end_headers=platform.END_TO_END_HEADERS,
        )

    def remove(self, server_id: str) -> None:
        """Stop using a client; requests in flight continue.

        A client without connections has nothing to close later.
        """
        client = self._clients.pop(server_id, None)
        if client is not None and client.has_connections:
            start_task(self._close_after_requests(client), name="close client")

    def find(self, server_id: str) -> HttpBackend | None:
        """Return the client of a server, or None."""
        return self._clients.get(server_id)

    async def _close_after_requests(self, client: HttpBackend) -> None:
        await asyncio.sleep(CLOSE_DELAY_S)
        await client.close()

    async def close(self) -> None:
        """Close every connection."""
        for client in self._clients.values():
            await client.close()
        self._clients.clear()
