"""Cancelling calls at agents in the background."""

import asyncio

from carobspring.adapters.tasks import start_task
from carobspring.domain import BackendServer
from carobspring.entry.agent_client import cancel_call
from carobspring.entry.channels import ChannelPool

MAX_CANCEL_ATTEMPTS = 4
#: Timeout of one attempt. It is short because an attempt on a silent
#: connection must leave time for another one on a new connection.
CANCEL_TIMEOUT_S = 0.4


class CallCanceller:
    """Sends cancels in the background and resends lost ones.

    Each resend uses a new connection.
    """

    def __init__(self, pool: ChannelPool) -> None:
        self._pool = pool
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel(self, server: BackendServer, call_id: str) -> None:
        """Cancel a call at a server's agent without waiting for the reply."""
        task = start_task(self._cancel(server, call_id), name="cancel call")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for the pending cancels."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _cancel(self, server: BackendServer, call_id: str) -> None:
        for _ in range(MAX_CANCEL_ATTEMPTS):
            if await cancel_call(self._pool, server, call_id, CANCEL_TIMEOUT_S):
                return
