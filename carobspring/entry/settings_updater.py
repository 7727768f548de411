"""Catching up with a settings revision that has not been received yet."""

import asyncio

from carobspring.adapters.tasks import start_task
from carobspring.entry.agent_client import fetch_settings
from carobspring.entry.dependencies import DriverDependencies

#: Time within which control sends a change if it is reachable.
STREAM_TIMEOUT_S = 0.3
FETCH_TIMEOUT_S = 1.0
MAX_AGENTS_QUERIED = 3


class SettingsUpdater:
    """Brings the settings up to a revision that a message or caller named.

    Concurrent calls share one update. It first waits briefly for the stream
    from control and then requests the settings from a few agents, which have
    their own streams from control.
    """

    def __init__(self, dependencies: DriverDependencies) -> None:
        self._dependencies = dependencies
        self._task: asyncio.Task[None] | None = None

    async def catch_up(self, revision: int) -> bool:
        """Wait briefly for a revision; return whether it is in force."""
        if self._task is None or self._task.done():
            fetch = self._fetch(revision)
            self._task = start_task(fetch, name="fetch settings")
        await asyncio.wait({self._task})
        return self._dependencies.state.settings.revision >= revision

    async def _fetch(self, needed: int) -> None:
        state = self._dependencies.state
        if await state.wait_for_revision(needed, STREAM_TIMEOUT_S):
            return
        servers = self._dependencies.router.list_servers()
        count = min(MAX_AGENTS_QUERIED, len(servers))
        start = self._dependencies.random.draw_index(len(servers)) if servers else 0
        selected = [servers[(start + step) % len(servers)] for step in range(count)]
        pool = self._dependencies.pool
        revision = state.settings.revision
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                replies = (fetch_settings(pool, s, revision) for s in selected)
                for pending in asyncio.as_completed(list(replies)):
                    reply = await pending
                    if reply is not None and reply.settings is not None:
                        state.apply_settings(reply.settings)
                    if state.settings.revision >= needed:
                        return
        except TimeoutError:
            return
