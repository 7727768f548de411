"""Catching up with settings that were heard of and have not come yet."""

import asyncio

from carobspring.entry.agent_client import fetch_settings
from carobspring.entry.dependencies import DriverDependencies

#: Control sends a change within this time, unless it is cut off.
STREAM_TIMEOUT_S = 0.3
FETCH_TIMEOUT_S = 1.0
MAX_AGENTS_ASKED = 3


class SettingsUpdater:
    """Brings the settings up to the highest revision that was named.

    Calls that find the settings behind share one attempt. First the stream
    from control is given a moment; then a few agents are asked, since they
    have streams of their own.
    """

    def __init__(self, dependencies: DriverDependencies) -> None:
        self._dependencies = dependencies
        self._attempt: asyncio.Task[None] | None = None

    async def catch_up(self, revision: int) -> bool:
        """Wait a short time for a revision; say if it or a later one came."""
        if self._attempt is None or self._attempt.done():
            fetch = self._fetch(revision)
            self._attempt = asyncio.get_running_loop().create_task(fetch)
        await asyncio.wait({self._attempt})
        return self._dependencies.state.settings.revision >= revision

    async def _fetch(self, wanted: int) -> None:
        state = self._dependencies.state
        if await state.wait_for_revision(wanted, STREAM_TIMEOUT_S):
            return
        servers = self._dependencies.router.list_servers()
        count = min(MAX_AGENTS_ASKED, len(servers))
        start = self._dependencies.random.draw_index(len(servers)) if servers else 0
        asked = [servers[(start + step) % len(servers)] for step in range(count)]
        pool = self._dependencies.pool
        revision = state.settings.revision
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                answers = (fetch_settings(pool, s, revision) for s in asked)
                for reply in asyncio.as_completed(list(answers)):
                    answer = await reply
                    if answer is not None and answer.settings is not None:
                        state.apply_settings(answer.settings)
                    if state.settings.revision >= wanted:
                        return
        except TimeoutError:
            return
