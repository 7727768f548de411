"""Moving a call that is queued at one agent to an idle server."""

import asyncio
from collections.abc import Set
from typing import Final

from carobspring.domain import ServiceKind
from carobspring.entry.agent_client import withdraw_call
from carobspring.entry.dependencies import DriverDependencies
from carobspring.entry.requests import CallerRequest
from carobspring.routing import Choice, RouteQuery

#: Fraction of its first-token target that a call waits before it is moved.
INITIAL_WAIT_FRACTION: Final = 0.25
CHECK_INTERVAL_S: Final = 0.05
#: End reason of a call that was withdrawn in order to be moved.
MOVED: Final = "moved"


class CallMover:
    """Withdraws a queued call, at most once, if another server is free.

    Servers are chosen by load reports that lag behind, so a call may be
    queued at one agent while another has a free slot. The agent ends a
    withdrawn call as not run, and the driver tries the next server.
    """

    def __init__(
        self,
        *,
        dependencies: DriverDependencies,
        call: CallerRequest,
        query: RouteQuery,
    ) -> None:
        self._dependencies = dependencies
        self._call = call
        self._query = query
        self._has_moved = False

    async def watch(self, choice: Choice, call_id: str, excluded: Set[str]) -> None:
        """Withdraw the call when it can move; run concurrently to it."""
        call = self._call
        target_s = call.service_class.target.first_token_ms / 1000
        is_sticky = bool(call.idempotency_key) or call.kind is not ServiceKind.MODEL
        if self._has_moved or is_sticky or not call.stream or not target_s:
            return
        await asyncio.sleep(self._get_remaining_s(target_s * INITIAL_WAIT_FRACTION))
        while self._get_remaining_s(target_s) > 0:
            if self._has_free_server(choice, excluded):
                self._has_moved = True
                pool = self._dependencies.pool
                await withdraw_call(pool, choice.server, call_id, target_s)
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _get_remaining_s(self, limit_s: float) -> float:
        now = self._dependencies.clock.read_monotonic()
        return max(0.0, self._call.received_at + limit_s - now)

    def _has_free_server(self, choice: Choice, excluded: Set[str]) -> bool:
        now = self._dependencies.clock.read_monotonic()
        tried = excluded | {choice.server.server_id}
        alternative = self._dependencies.router.choose(self._query, tried, now)
        return alternative is not None and alternative.wait_ms <= 0
