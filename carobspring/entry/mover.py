"""Moves a call that waits at one agent to a server that is free."""

import asyncio
from collections.abc import Set
from typing import Final

from carobspring.domain import ServiceKind
from carobspring.entry.agent_client import withdraw_call
from carobspring.entry.dependencies import DriverDependencies
from carobspring.entry.requests import CallerRequest
from carobspring.routing import Choice, RouteQuery

#: Part of its first-token target that a call waits where it was sent first.
PATIENCE_SHARE: Final = 0.25
CHECK_INTERVAL_S: Final = 0.05
#: Reason of the end of a call that was withdrawn to be moved.
MOVED: Final = "moved"


class CallMover:
    """Withdraws one call, once, while it waits and another server is free.

    A call is sent by reports that lag, so its agent may have no slot for it
    while another has. The agent that takes the withdrawal ends the call as
    not run, which its driver then follows like any refusal.
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
        self._moved = False

    async def watch(self, choice: Choice, call_id: str, excluded: Set[str]) -> None:
        """Move the call if it comes to that; run beside its attempt."""
        call = self._call
        target_s = call.service_class.target.first_token_ms / 1000
        is_sticky = bool(call.idempotency_key) or call.kind is not ServiceKind.MODEL
        if self._moved or is_sticky or not call.stream or not target_s:
            return
        await asyncio.sleep(self._find_left(target_s * PATIENCE_SHARE))
        while self._find_left(target_s) > 0:
            if self._finds_free(choice, excluded):
                self._moved = True
                pool = self._dependencies.pool
                await withdraw_call(pool, choice.server, call_id, target_s)
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _find_left(self, limit_s: float) -> float:
        now = self._dependencies.clock.read_monotonic()
        return max(0.0, self._call.received_at + limit_s - now)

    def _finds_free(self, choice: Choice, excluded: Set[str]) -> bool:
        now = self._dependencies.clock.read_monotonic()
        others = excluded | {choice.server.server_id}
        other = self._dependencies.router.choose(self._query, others, now)
        return other is not None and other.wait_ms <= 0
