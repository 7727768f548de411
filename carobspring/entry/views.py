"""Following the view of servers, settings and strikes that control sends."""

import asyncio
from collections.abc import Callable

from carobspring.entry.channels import ChannelPool
from carobspring.entry.state import EntryState
from carobspring.ports import Clock
from carobspring.protocol import ViewUpdate
from carobspring.routing import Router

#: How long a server is kept that a new stream's first view doesn't name.
UNLISTED_GRACE_S = 3.0


class ViewUpdateHandler:
    """Applies updates to the state and to routing.

    A server that an update calls removed gets no new work at once. One that
    the first view of a new stream doesn't name is kept for the length of a
    lease: a control replica that has just started has not heard of all agents
    yet, and an entry must not lose its servers by that. While no replica is
    there, nothing is dropped.
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
        #: Servers that wait for being named, by the time their grace ends.
        self._unnamed: dict[str, float] = {}

    def apply(self, update: ViewUpdate) -> None:
        """Put an update in force."""
        now = self._clock.read_monotonic()
        if update.settings is not None:
            self._state.apply_settings(update.settings)
        for name in update.removed:
            self._remove(name)
        for server in update.servers:
            self._unnamed.pop(server.server_id, None)
            self._router.add_server(server)
        if update.complete:
            self._note_complete(update, now)
        for name, load in (update.loads or {}).items():
            self._router.record_load(name, load, now)
        for strike in update.strikes:
            self._state.strikes.record_reported(strike)
        for strike in update.released:
            self._state.strikes.release(strike.workspace, strike.request_hash)

    def _note_complete(self, update: ViewUpdate, now: float) -> None:
        self._state.has_view = True
        named = {server.server_id for server in update.servers}
        for server in self._router.list_servers():
            if server.server_id not in named:
                self._unnamed.setdefault(server.server_id, now + self._grace_s)
        if self._unnamed:
            loop = asyncio.get_running_loop()
            loop.call_later(self._grace_s, self._drop_unnamed)

    def _drop_unnamed(self) -> None:
        if not self._is_connected():
            return
        now = self._clock.read_monotonic()
        # The loop's timers may come a little before their time.
        ended = [name for name, end in self._unnamed.items() if end <= now + 0.05]
        for name in ended:
            self._remove(name)

    def _remove(self, name: str) -> None:
        self._unnamed.pop(name, None)
        server = self._router.find_server(name)
        if server is not None:
            self._router.remove_server(name)
            self._pool.retire_server(server)
