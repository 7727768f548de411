"""The list of backend servers, merged from several control replicas."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from carobspring.domain import BackendServer, LoadReport
from carobspring.protocol import ViewUpdate

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class ListedServer:
    """A backend server and its latest state."""

    server: BackendServer
    draining: bool


@dataclass(kw_only=True)
class _View:
    """The servers and loads that one control replica reports."""

    servers: dict[str, BackendServer]
    loads: dict[str, LoadReport]


class BackendDirectory:
    """Merges the views of all followed control replicas.

    A server is listed while any replica lists it. If replicas differ about a
    server, the report with the highest boot and sequence is used; if several
    servers have the same address, the one with the highest boot is listed. A
    server that drains stays draining until its next boot. While no replica is
    connected, the last list is kept.

    ``on_change`` gets a server's name, and its listing or None if it was
    removed.
    """

    def __init__(
        self, *, on_change: Callable[[str, ListedServer | None], None]
    ) -> None:
        self._on_change = on_change
        self._views: dict[str, _View] = {}
        #: Replicas whose view is kept although they are no longer followed.
        self._unfollowed: set[str] = set()
        self._listed: dict[str, ListedServer] = {}
        self._by_address: dict[tuple[str, int], str] = {}
        self._draining_boots: dict[str, int] = {}

    def find(self, server_id: str) -> ListedServer | None:
        """Return a listed server, or None."""
        return self._listed.get(server_id)

    def list_all(self) -> list[ListedServer]:
        """Return every listed server."""
        return list(self._listed.values())

    def apply_update(self, replica: str, update: ViewUpdate) -> None:
        """Apply an update to one replica's view."""
        view = self._views.get(replica)
        affected: set[str] = set()
        if view is None or update.complete:
            affected |= set(view.servers) if view else set()
            view = self._views[replica] = _View(servers={}, loads={})
            affected |= set(self._listed)
        for server in update.servers:
            view.servers[server.server_id] = server
            affected.add(server.server_id)
        for name, load in (update.loads or {}).items():
            view.loads[name] = load
            affected.add(name)
        for name in update.removed:
            view.servers.pop(name, None)
            view.loads.pop(name, None)
            affected.add(name)
        self._unfollowed.discard(replica)
        if update.confirmed or update.servers:
            for unfollowed in sorted(self._unfollowed):
                affected |= set(self._views.pop(unfollowed).servers)
            self._unfollowed.clear()
        for name in sorted(affected):
            self._merge(name)

    def remove_replica(self, replica: str) -> None:
        """Drop the view of a replica that is no longer followed.

        The last remaining view is kept until another replica sends one, since
        no other list is known.
        """
        if replica not in self._views:
            return
        if len(self._views) == 1:
            self._unfollowed.add(replica)
            return
        view = self._views.pop(replica)
        for name in sorted(view.servers):
            self._merge(name)

    def _merge(self, name: str) -> None:
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
            self._draining_boots[name] = best.boot
        listed = ListedServer(
            server=best, draining=self._draining_boots.get(name) == best.boot
        )
        if not self._assign_address(best):
            self._remove(name)
        elif self._listed.get(name) != listed:
            self._listed[name] = listed
            self._report_change(name, listed)

    def _assign_address(self, server: BackendServer) -> bool:
        """Assign an address to a server unless a newer one has it."""
        address = (server.host, server.port)
        owner = self._by_address.get(address)
        if owner is not None and owner != server.server_id:
            other = self._listed.get(owner)
            if other is not None:
                if other.server.boot > server.boot:
                    return False
                self._remove(owner)
        self._by_address[address] = server.server_id
        return True

    def _remove(self, name: str) -> None:
        listed = self._listed.pop(name, None)
        if listed is None:
            return
        address = (listed.server.host, listed.server.port)
        if self._by_address.get(address) == name:
            del self._by_address[address]
        self._report_change(name, None)

    def _report_change(self, name: str, listed: ListedServer | None) -> None:
        """Report a change; a server that can't be used hides no other one."""
        try:
            self._on_change(name, listed)
        except Exception as error:
            extra = {"server": name, "reason": repr(error)}
            logger.exception("change of a server not applied", extra=extra)
