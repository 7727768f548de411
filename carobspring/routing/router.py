"""The choice of a backend server."""

from collections.abc import Set

from carobspring.domain import BackendServer, LoadReport, ServiceKind
from carobspring.ports import RandomSource
from carobspring.routing.queries import Choice, PoolKey, RouteQuery


def list_pools(server: BackendServer) -> tuple[PoolKey, ...]:
    """Return the pools that a backend server belongs to."""
    if server.kind is ServiceKind.MODEL:
        names = server.models
    else:
        names = (server.service,)
    return tuple(PoolKey(kind=server.kind, target=name) for name in names)


class Router:
    """Chooses backend servers for calls."""

    def __init__(self, *, random: RandomSource, zone: str) -> None:
        self._random = random
        self._zone = zone
        self._servers: dict[str, BackendServer] = {}
        self._pools: dict[PoolKey, list[str]] = {}

    def add_server(self, server: BackendServer, now: float) -> None:
        """Take new work for a backend server, or its new boot."""
        self.remove_server(server.server_id)
        self._servers[server.server_id] = server
        for key in list_pools(server):
            self._pools.setdefault(key, []).append(server.server_id)

    def remove_server(self, server_id: str) -> None:
        """Give a backend server no more work."""
        server = self._servers.pop(server_id, None)
        for key in list_pools(server) if server else ():
            self._pools[key].remove(server_id)
            if not self._pools[key]:
                del self._pools[key]

    def list_servers(self) -> list[BackendServer]:
        """Return every backend server."""
        return list(self._servers.values())

    def find_server(self, server_id: str) -> BackendServer | None:
        """Return a backend server by its name."""
        return self._servers.get(server_id)

    def list_targets(self, kind: ServiceKind) -> list[str]:
        """Return the models or plain services that some server offers."""
        return sorted(key.target for key in self._pools if key.kind is kind)

    def record_load(self, server_id: str, load: LoadReport, now: float) -> None:
        """Take a report of a backend server's load."""

    def choose(
        self, query: RouteQuery, excluded: Set[str], now: float
    ) -> Choice | None:
        """Return where a call should go, or None when nowhere is left."""
        names = [
            name for name in self._pools.get(query.pool, ()) if name not in excluded
        ]
        if not names:
            return None
        name = names[self._random.draw_index(len(names))]
        return Choice(server=self._servers[name])
