"""HTTP clients of the backend servers, one for each server."""

import asyncio
from collections.abc import Callable
from functools import partial

from carobspring import platform
from carobspring.adapters.backend_http import HttpBackend
from carobspring.adapters.tasks import start_task
from carobspring.domain import BackendServer

#: Seconds after which an idle connection is closed.
IDLE_TIMEOUT_S = 4.0
#: Share of a server's connections that all entries together keep idle. The
#: others are free for requests that open one of their own.
IDLE_SHARE = 0.5
#: Idle connections that one entry keeps to a server at most.
MAX_IDLE = 64
#: Seconds for which requests to a removed server may still run.
CLOSE_DELAY_S = 60.0


def compute_max_idle(max_connections: int, entry_count: int) -> int:
    """Return how many idle connections one entry keeps to a server.

    Args:
        max_connections: What the server takes from all; 0 if unknown.
        entry_count: How many entries there are.
    """
    if not max_connections:
        return MAX_IDLE
    part = int(max_connections * IDLE_SHARE / max(1, entry_count))
    return max(1, min(MAX_IDLE, part))


class BackendConnections:
    """Keeps an HTTP client for each backend server that is listed."""

    def __init__(self, *, find_max_idle: Callable[[str], int]) -> None:
        """Create the clients' keeper.

        ``find_max_idle`` returns how many idle connections to keep to each
        server of a service.
        """
        self._find_max_idle = find_max_idle
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
            compute_max_idle=partial(self._find_max_idle, server.service),
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
