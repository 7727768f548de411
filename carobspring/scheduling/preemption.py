"""Selection of a running call to stop for a higher-priority one."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from carobspring.scheduling.queues import WaitingCall

#: Fraction of its first-token target after which a waiting call may preempt.
PREEMPTION_WAIT_FRACTION: Final = 0.5
#: Fraction of all slot time that preempted runs may waste.
WASTED_TIME_FRACTION: Final = 0.01
#: Seconds of fully used slots over which unused budget accumulates.
BUDGET_WINDOW_S: Final = 60.0


@dataclass(kw_only=True, eq=False)
class RunningCall:
    """A call that occupies a slot."""

    item: WaitingCall
    priority: int
    started_at: float
    #: True when it was started above the concurrency limit. Its first-token
    #: time then includes waiting in the engine and is not a sample.
    over_limit: bool

    @property
    def expected_s(self) -> float:
        """Slot time in seconds that was expected when the call started."""
        return self.item.expected_s


class PreemptionPolicy:
    """Selects the run to stop for a call that would miss its target.

    A call may preempt once it has waited for half of its first-token target
    and while it can still meet it. The victim has a lower priority, can be
    restarted without the caller noticing, and was not preempted before. The
    youngest such run is chosen, because stopping it wastes the least work.
    The wasted time is charged to a budget that is a small fraction of the
    slot time of all runs.
    """

    def __init__(self, *, slots: int) -> None:
        self._max_budget_s = WASTED_TIME_FRACTION * BUDGET_WINDOW_S * slots
        self._budget_s = self._max_budget_s
        #: Number of preempted runs, and the slot time in seconds they wasted.
        self.preempted_runs = 0
        self.wasted_s = 0.0

    def record_run(self, duration_s: float) -> None:
        """Credit the budget for a run that ended."""
        self._budget_s = min(
            self._max_budget_s, self._budget_s + WASTED_TIME_FRACTION * duration_s
        )

    def find_victim(
        self, waiting: WaitingCall, running: Iterable[RunningCall], now: float
    ) -> RunningCall | None:
        """Return the run to preempt for a waiting call, or None."""
        call = waiting.call
        if not call.streamed or call.target_s <= 0 or call.exclusive:
            return None
        min_wait_s = call.target_s * PREEMPTION_WAIT_FRACTION
        if not waiting.latest_start - min_wait_s <= now <= waiting.latest_start:
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
        """Charge the time that a preempted run wasted to the budget."""
        wasted_s = now - run.started_at
        self._budget_s -= wasted_s
        self.wasted_s += wasted_s
        self.preempted_runs += 1
