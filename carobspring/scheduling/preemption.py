"""Which running call gives its slot to a higher one, within a budget."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from carobspring.scheduling.queues import WaitingCall

#: Part of a first-token target after which a waiting call may preempt.
PREEMPTION_WAIT_FRACTION: Final = 0.5
#: Part of all time in slots that preempted runs may throw away.
WASTE_SHARE: Final = 0.01
#: Seconds of full slots whose share may be saved up.
SAVING_S: Final = 60.0


@dataclass(kw_only=True, eq=False)
class RunningCall:
    """A call in a slot."""

    item: WaitingCall
    priority: int
    started_at: float
    #: True when it was started above the limit, so its times say nothing.
    over_limit: bool

    @property
    def expected_s(self) -> float:
        """Seconds in the slot that were expected at its start."""
        return self.item.work_s


class PreemptionPolicy:
    """Finds the run to stop for a call that would miss its target.

    A call may preempt when it has waited for half of its first-token target
    and has not missed it yet. The run that gives way is of a lower tier, can
    be started again without anybody noticing, and was not stopped before; of
    those it is the youngest, whose stop wastes least. What is wasted comes out
    of a small share of the time that all runs took.
    """

    def __init__(self, *, slots: int) -> None:
        self._most_s = WASTE_SHARE * SAVING_S * slots
        self._budget_s = self._most_s
        #: Runs stopped, and seconds in slots that they had had.
        self.preempted_runs = 0
        self.wasted_s = 0.0

    def record_run(self, took_s: float) -> None:
        """Take in the time of a run that came to its end."""
        self._budget_s = min(self._most_s, self._budget_s + WASTE_SHARE * took_s)

    def find_victim(
        self, waiting: WaitingCall, running: Iterable[RunningCall], now: float
    ) -> RunningCall | None:
        """Return the run that gives way to a waiting call, or None."""
        call = waiting.call
        if not call.streamed or call.target_s <= 0 or call.exclusive:
            return None
        patience_s = call.target_s * PREEMPTION_WAIT_FRACTION
        if not waiting.due - patience_s <= now <= waiting.due:
            return None
        victims = [
            run
            for run in running
            if run.priority < call.priority
            and run.item.call.restartable
            and not run.item.preempted
            and now - run.started_at <= self._budget_s
        ]
        return max(victims, key=lambda run: run.started_at, default=None)

    def charge(self, run: RunningCall, now: float) -> None:
        """Pay for a stop out of the budget."""
        wasted_s = now - run.started_at
        self._budget_s -= wasted_s
        self.wasted_s += wasted_s
        self.preempted_runs += 1
