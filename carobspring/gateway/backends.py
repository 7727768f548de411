"""Connections to backend servers, one client for each server."""

import asyncio

from carobspring.adapters.backend_http import HttpBackend
from carobspring.domain import BackendServer

#: Seconds that a connection without a request is kept.
KEEP_S = 4.0
#: Seconds that exchanges with a server may go on after it left the list.
LONGEST_EXCHANGE_S = 60.0


class BackendConnections:
    """Keeps an HTTP client for each backend server that is listed."""

    def __init__(self) -> None:
        self._clients: dict[str, HttpBackend] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def add(self, server: BackendServer) -> None:
        """Open a client for a server, at its present address."""
        self.remove(server.server_id)
        self._clients[server.server_id] = HttpBackend(
            url=f"http://{server.host}:{server.port}",
            health_path="/",
            relays_host=True,
            takes_unmarked_end=True,
            keep_s=KEEP_S,
        )

    def remove(self, server_id: str) -> None:
        """Use a client no more; exchanges under way go on."""
        client = self._clients.pop(server_id, None)
        if client is not None:
            task = asyncio.create_task(self._close_later(client))
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    def find(self, server_id: str) -> HttpBackend | None:
        """Return the client of a server."""
        return self._clients.get(server_id)

    async def _close_later(self, client: HttpBackend) -> None:
        await asyncio.sleep(LONGEST_EXCHANGE_S)
        await client.close()

    async def close(self) -> None:
        """Close every connection."""
        for client in self._clients.values():
            await client.close()
        self._clients.clear()
