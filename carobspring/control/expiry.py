"""Expiry of old records of unique calls, proposed by the leader."""

import contextlib
from collections.abc import Callable

from carobspring.adapters.tasks import start_task
from carobspring.control.commands import Command
from carobspring.control.errors import ControlError
from carobspring.control.proposals import CommandProposer
from carobspring.control.state import ControlState
from carobspring.ledger import ExpireCommand

CHECK_INTERVAL_S = 30.0


class ClaimExpiry:
    """Proposes an expiry command when records have expired.

    The command carries the time, so that every replica expires the same
    records at the same position of the log.
    """

    def __init__(
        self,
        *,
        state: ControlState,
        proposer: CommandProposer,
        is_leader: Callable[[], bool],
    ) -> None:
        self._state = state
        self._proposer = proposer
        self._is_leader = is_leader
        self._checked_at = float("-inf")

    def tick(self, now: float) -> None:
        """Propose an expiry when a check is due and this replica leads.

        The proposal runs in the background, since a commit may take long and
        leases have to be checked in the meantime.
        """
        if now - self._checked_at < CHECK_INTERVAL_S or not self._is_leader():
            return
        self._checked_at = now
        at_ms = self._state.clock.read_wall_ms()
        if self._state.machine.ledger.needs_expiry(at_ms):
            start_task(self._propose(at_ms), name="expire claims")

    async def _propose(self, at_ms: int) -> None:
        with contextlib.suppress(ControlError):
            await self._proposer.propose(Command(expire=ExpireCommand(at_ms=at_ms)))
