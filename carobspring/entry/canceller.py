"""Telling agents that nobody waits for a call any more."""

import asyncio

from carobspring.domain import BackendServer
from carobspring.entry.agent_client import cancel_call
from carobspring.entry.channels import ChannelPool

MAX_CANCEL_ATTEMPTS = 4
#: An attempt on a silent connection must leave time for one on another.
CANCEL_TIMEOUT_S = 0.4


class CallCanceller:
    """Sends cancels in the background, again on a new connection if lost."""

    def __init__(self, pool: ChannelPool) -> None:
        self._pool = pool
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel(self, server: BackendServer, call_id: str) -> None:
        """Cancel a call at a server's agent, without waiting for it."""
        task = asyncio.get_running_loop().create_task(self._cancel(server, call_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for the cancels under way."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _cancel(self, server: BackendServer, call_id: str) -> None:
        for _ in range(MAX_CANCEL_ATTEMPTS):
            if await cancel_call(self._pool, server, call_id, CANCEL_TIMEOUT_S):
                return
