"""The backend servers, as several control replicas tell of them."""

from collections.abc import Callable
from dataclasses import dataclass

from carobspring.domain import BackendServer, LoadReport
from carobspring.protocol import ViewUpdate


@dataclass(frozen=True, kw_only=True)
class ListedServer:
    """A backend server with its newest state."""

    server: BackendServer
    draining: bool


@dataclass(kw_only=True)
class _View:
    """What one control replica lists."""

    servers: dict[str, BackendServer]
    loads: dict[str, LoadReport]


class BackendDirectory:
    """Unites the views of all control replicas that are followed.

    A server is listed while any replica lists it; of several words on it the
    one with the largest boot and sequence counts, and of several servers at
    one address the one with the largest boot. A server that drains in a boot
    never takes work again in that boot. While no replica is connected the
    last list stays.

    ``on_change`` gets a server's name, and its entry or None once it is gone.
    """

    def __init__(
        self, *, on_change: Callable[[str, ListedServer | None], None]
    ) -> None:
        self._on_change = on_change
        self._views: dict[str, _View] = {}
        self._listed: dict[str, ListedServer] = {}
        self._by_address: dict[tuple[str, int], str] = {}
        self._drained: dict[str, int] = {}

    def find(self, server_id: str) -> ListedServer | None:
        """Return a listed server."""
        return self._listed.get(server_id)

    def list_all(self) -> list[ListedServer]:
        """Return every listed server."""
        return list(self._listed.values())

    def apply_update(self, replica: str, update: ViewUpdate) -> None:
        """Take an update of one replica's view."""
        view = self._views.get(replica)
        touched: set[str] = set()
        if view is None or update.complete:
            touched |= set(view.servers) if view else set()
            view = self._views[replica] = _View(servers={}, loads={})
            touched |= set(self._listed)
        for server in update.servers:
            view.servers[server.server_id] = server
            touched.add(server.server_id)
        for name, load in (update.loads or {}).items():
            view.loads[name] = load
            touched.add(name)
        for name in update.removed:
            view.servers.pop(name, None)
            view.loads.pop(name, None)
            touched.add(name)
        for name in sorted(touched):
            self._unite(name)

    def forget_replica(self, replica: str) -> None:
        """Drop the view of a replica that is followed no more.

        The last view is kept, since it is all that is known.
        """
        if replica in self._views and len(self._views) > 1:
            view = self._views.pop(replica)
            for name in sorted(view.servers):
                self._unite(name)

    def _unite(self, name: str) -> None:
        best: BackendServer | None = None
        best_order = (-1, -1)
        draining = False
        for view in self._views.values():
            server = view.servers.get(name)
            if server is None:
                continue
            load = view.loads.get(name)
            order = (server.boot, load.sequence if load else 0)
            if order > best_order:
                best, best_order = server, order
                draining = bool(load and load.draining)
        if best is None:
            self._remove(name)
            return
        if draining:
            self._drained[name] = best.boot
        listed = ListedServer(
            server=best, draining=self._drained.get(name) == best.boot
        )
        if not self._claim_address(best):
            self._remove(name)
        elif self._listed.get(name) != listed:
            self._listed[name] = listed
            self._on_change(name, listed)

    def _claim_address(self, server: BackendServer) -> bool:
        """Say whether a server is the newest at its address, and take it."""
        address = (server.host, server.port)
        holder = self._by_address.get(address)
        if holder is not None and holder != server.server_id:
            other = self._listed.get(holder)
            if other is not None:
                if other.server.boot > server.boot:
                    return False
                self._remove(holder)
        self._by_address[address] = server.server_id
        return True

    def _remove(self, name: str) -> None:
        listed = self._listed.pop(name, None)
        if listed is None:
            return
        address = (listed.server.host, listed.server.port)
        if self._by_address.get(address) == name:
            del self._by_address[address]
        self._on_change(name, None)
