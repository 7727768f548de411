"""Applying control's view of servers, settings and strikes."""

import asyncio
from collections.abc import Callable

from carobspring.entry.channels import ChannelPool
from carobspring.entry.state import EntryState
from carobspring.ports import Clock
from carobspring.protocol import ViewUpdate
from carobspring.routing import Router

#: How long a server is kept if the first view of a new stream omits it.
UNLISTED_GRACE_S = 3.0


class ViewUpdateHandler:
    """Applies view updates to the entry's state and to routing.

    A server that an update lists as removed gets no new work from then on. A
    server missing from the first view of a new stream is kept for the length
    of a lease: a control replica that has just started may not have received
    reports from all agents yet, and the entry must not lose its servers
    because of that. While no replica is connected, no server is dropped.
    """

    def __init__(
        self,
        *,
        state: EntryState,
        router: Router,
        pool: ChannelPool,
        clock: Clock,
        is_connected: Callable[[], bool],
        grace_s: float = UNLISTED_GRACE_S,
    ) -> None:
        self._state = state
        self._router = router
        self._pool = pool
        self._clock = clock
        self._is_connected = is_connected
        self._grace_s = grace_s
        #: End of the grace period of each server missing from the view.
        self._unlisted: dict[str, float] = {}

    def apply(self, update: ViewUpdate) -> None:
        """Apply an update."""
        now = self._clock.read_monotonic()
        if update.settings is not None:
            self._state.apply_settings(update.settings)
        for name in update.removed:
            self._remove(name)
        for server in update.servers:
            self._unlisted.pop(server.server_id, None)
            self._router.add_server(server)
        if update.complete:
            self._apply_complete_view(update, now)
        for name, load in (update.loads or {}).items():
            self._router.record_load(name, load, now)
        for strike in update.strikes:
            self._state.strikes.record_reported(strike)
        for strike in update.released:
            self._state.strikes.release(strike.workspace, strike.request_hash)

    def _apply_complete_view(self, update: ViewUpdate, now: float) -> None:
        self._state.has_view = True
        listed = {server.server_id for server in update.servers}
        for server in self._router.list_servers():
            if server.server_id not in listed:
                self._unlisted.setdefault(server.server_id, now + self._grace_s)
        if self._unlisted:
            loop = asyncio.get_running_loop()
            loop.call_later(self._grace_s, self._remove_unlisted)

    def _remove_unlisted(self) -> None:
        if not self._is_connected():
            return
        now = self._clock.read_monotonic()
        # Event loop timers may fire slightly early.
        expired = [
            name for name, deadline in self._unlisted.items() if deadline <= now + 0.05
        ]
        for name in expired:
            self._remove(name)

    def _remove(self, name: str) -> None:
        self._unlisted.pop(name, None)
        server = self._router.find_server(name)
        if server is not None:
            self._router.remove_server(name)
            self._pool.retire_server(server)
