"""The list of backend servers, merged from several control replicas."""

import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from carobspring.domain import BackendServer, LoadReport
from carobspring.gateway.claims import AddressClaims, Place, get_place
from carobspring.protocol import ViewUpdate

#: Starts of servers that drained; those that are listed are fewer.
MAX_DRAINING: Final = 10_000

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
    servers name the same address, the one that AddressClaims finds is listed.
    A server that drains stays draining until its next boot. While no replica
    is connected, the last list is kept.

    Anyone can check in a server, and a listed one takes several kilobytes, so
    only servers of services that the routes name become listed.

    ``on_change`` gets a server's name, and its listing or None if it was
    removed. ``is_serving`` returns whether a server answers at its address.
    """

    def __init__(
        self,
        *,
        on_change: Callable[[str, ListedServer | None], None],
        is_serving: Callable[[BackendServer], bool],
    ) -> None:
        self._on_change = on_change
        self._claims = AddressClaims(is_serving=is_serving)
        self._views: dict[str, _View] = {}
        #: Replicas whose view is kept although they are no longer followed.
        self._unfollowed: set[str] = set()
        #: Services that the routes name; None if any may be used.
        self._services: frozenset[str] | None = None
        #: Servers that some replica lists, those that lack their address too,
        #: but not those of services that no routes have named.
        self._known: dict[str, ListedServer] = {}
        self._listed: dict[str, ListedServer] = {}
        self._draining_boots: OrderedDict[str, int] = OrderedDict()

    def find(self, server_id: str) -> ListedServer | None:
        """Return a listed server, or None."""
        return self._listed.get(server_id)

    def list_all(self) -> list[ListedServer]:
        """Return every listed server."""
        return list(self._listed.values())

    def set_services(self, services: frozenset[str] | None) -> None:
        """Set the services that the routes name, or None if any may be used.

        Servers that are listed stay so, since requests may run there.
        """
        self._services = services
        hidden = {
            name
            for view in self._views.values()
            for name, server in view.servers.items()
            if name not in self._known and self._is_named(server)
        }
        for name in sorted(hidden):
            self._merge(name)
        self.settle_contests()

    def apply_update(self, replica: str, update: ViewUpdate) -> None:
        """Apply an update to one replica's view."""
        view = self._views.get(replica)
        affected: set[str] = set()
        if view is None or update.complete:
            affected |= set(view.servers) if view else set()
            view = self._views[replica] = _View(servers={}, loads={})
            affected |= set(self._known)
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
        self.settle_contests()

    def settle_contests(self) -> None:
        """Find anew who has an address, as what servers answer changes."""
        for place in tuple(self._claims.contested):
            self._settle(place)

    def is_contested(self, server: BackendServer) -> bool:
        """Return whether another server names a server's address too."""
        return get_place(server) in self._claims.contested

    def record_misdirected(self, server: BackendServer) -> None:
        """Record that another server answered at a server's address."""
        place = self._claims.refute(server)
        if place is not None:
            self._settle(place, refuted_now=server.server_id)

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

    def _is_named(self, server: BackendServer) -> bool:
        return self._services is None or server.service in self._services

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
        before = self._known.get(name)
        if best is not None and before is None and not self._is_named(best):
            return
        if best is None:
            if before is None:
                return
            del self._known[name]
            self._unlist(name)
            place = self._claims.withdraw(name)
        else:
            if draining:
                self._record_draining(best)
            draining = self._draining_boots.get(name) == best.boot
            self._known[name] = ListedServer(server=best, draining=draining)
            if before is not None and get_place(before.server) != get_place(best):
                left = self._claims.withdraw(name)
                if left is not None:
                    self._settle(left)
            place = self._claims.claim(best)
        if place is not None:
            self._settle(place)

    def _record_draining(self, server: BackendServer) -> None:
        """Remember that a start drains, also while it isn't listed."""
        self._draining_boots[server.server_id] = server.boot
        self._draining_boots.move_to_end(server.server_id)
        while len(self._draining_boots) > MAX_DRAINING:
            self._draining_boots.popitem(last=False)

    def _settle(self, place: Place, *, refuted_now: str = "") -> None:
        """List the server that has an address, and no other one there."""
        holder = self._claims.find_holder(place, refuted_now=refuted_now)
        for name in self._claims.list_claimants(place):
            if name != holder:
                self._unlist(name)
        if holder is None:
            return
        listed = self._known[holder]
        if self._listed.get(holder) != listed:
            self._listed[holder] = listed
            self._report_change(holder, listed)

    def _unlist(self, name: str) -> None:
        if self._listed.pop(name, None) is not None:
            self._report_change(name, None)

    def _report_change(self, name: str, listed: ListedServer | None) -> None:
        """Report a change; a server that can't be used hides no other one."""
        try:
            self._on_change(name, listed)
        except Exception as error:
            extra = {"server": name, "reason": repr(error)}
            logger.exception("change of a server not applied", extra=extra)
