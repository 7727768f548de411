"""The scheduler: selects the next call to start and calls to refuse."""

from collections import Counter
from dataclasses import dataclass
from typing import Final

from carobspring.domain import LoadReport
from carobspring.ports import RandomSource
from carobspring.scheduling.events import (
    CallArrived,
    CallEnded,
    CallPreempted,
    CallWithdrawn,
    ClassPriorityChanged,
    FirstTokenReceived,
    PreemptCall,
    RefuseCall,
    SchedulerAction,
    SchedulerEvent,
    StartCall,
    TokenGapMeasured,
)
from carobspring.scheduling.headroom import Headroom
from carobspring.scheduling.limit import FIRST_TOKEN_FRACTION, ConcurrencyLimit
from carobspring.scheduling.predictor import MovingAverage, ServiceTimePredictor
from carobspring.scheduling.preemption import PreemptionPolicy, RunningCall
from carobspring.scheduling.queues import ClassQueue, WaitingCall
from carobspring.scheduling.retry_after import CompletionRate, RetryAdvisor
from carobspring.scheduling.starvation import StarvationGuard, compute_start_window

#: Engine priority of priority 0; engines serve a lower value first.
ENGINE_PRIORITY_BASE: Final = 100


@dataclass(frozen=True, kw_only=True)
class SchedulerLimits:
    """Bounds of an agent's queues, and the slots of its backend server."""

    slots: int
    #: Number of calls of all classes that may wait.
    queue_calls: int = 256
    #: Total size in bytes of the calls that may wait.
    queue_bytes: int = 16 * 1024 * 1024
    #: Calls that may be started above the concurrency limit when the engine
    #: orders by priority. Each has a higher priority than a running call, so
    #: that the engine serves it next when a slot becomes free.
    overcommit: int = 0
    #: Largest fraction of the limit to keep free for bursts of higher
    #: priorities.
    headroom_share: float = 0.25


class Scheduler:
    """Decides which calls start, wait or are refused.

    Decisions depend on events and the time only; see
    docs/design/scheduling.md.

    Example:
        ``actions = scheduler.handle(CallArrived(...), now)``
    """

    def __init__(self, *, limits: SchedulerLimits, random: RandomSource) -> None:
        self._limits = limits
        self._limit = ConcurrencyLimit(slots=limits.slots)
        self._headroom = Headroom(max_share=limits.headroom_share)
        self._starvation_guard = StarvationGuard()
        self._predictor = ServiceTimePredictor()
        self._completion_rate = CompletionRate()
        self._retry_advisor = RetryAdvisor(random=random)
        self._queues: dict[str, ClassQueue] = {}
        self._waiting: dict[str, WaitingCall] = {}
        self._waiting_bytes = 0
        self._running: dict[str, RunningCall] = {}
        #: Runs that are being stopped and will be queued again.
        self._preempting: dict[str, RunningCall] = {}
        self.preemption = PreemptionPolicy(slots=limits.slots)
        self._first_token = MovingAverage()
        self._token_gap = MovingAverage()

    def handle(self, event: SchedulerEvent, now: float) -> list[SchedulerAction]:
        """Handle an event and return the actions for the call manager."""
        actions: list[SchedulerAction] = []
        match event:
            case CallArrived():
                actions += self._handle_arrival(event, now)
            case CallWithdrawn():
                self._remove(event.call_id)
            case FirstTokenReceived():
                self._record_first_token(event, now)
            case TokenGapMeasured():
                self._record_token_gap(event, now)
            case CallEnded():
                self._record_end(event, now)
            case CallPreempted():
                self._requeue(event.call_id)
            case ClassPriorityChanged():
                queue = self._queues.get(event.service_class)
                if queue is not None:
                    queue.priority = event.priority
        return actions + self._start_calls(now)

    def compute_retry_after_ms(self, priority: int, now: float) -> int:
        """Return the milliseconds after which to retry a refused call."""
        ahead = sum(
            queue.count for queue in self._queues.values() if queue.priority >= priority
        )
        rate = self._completion_rate.read(now) if self._waiting else 0.0
        if not rate:
            service_s = self._predictor.predict_overall()
            rate = self._limit.value / service_s if service_s else 1.0
        return self._retry_advisor.advise(priority, ahead=ahead, rate=rate, now=now)

    def predict_service_time_s(self, service_class: str, workspace: str) -> float:
        """Return the expected slot time of a call in seconds."""
        return self._predictor.predict(service_class, workspace)

    def count_running(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    def build_load_report(
        self, *, sequence: int, draining: bool, unhealthy: bool
    ) -> LoadReport:
        """Return the load report for entries."""
        waiting: Counter[int] = Counter()
        for queue in self._queues.values():
            if queue.count:
                waiting[queue.priority] += queue.count
        running = Counter(run.item.call.priority for run in self._running.values())
        return LoadReport(
            sequence=sequence,
            running=len(self._running),
            limit=self._limit.value,
            waiting_by_priority=dict(waiting),
            running_by_priority=dict(running),
            service_ms=self._predictor.predict_overall() * 1000,
            first_token_ms=self._first_token.value * 1000,
            token_gap_ms=self._token_gap.value * 1000,
            draining=draining,
            unhealthy=unhealthy,
        )

    def _handle_arrival(self, call: CallArrived, now: float) -> list[SchedulerAction]:
        if call.target_s:
            self._headroom.record_arrival(
                call.priority, target_s=call.target_s, now=now
            )
        queue = self._queues.get(call.service_class)
        if queue is None:
            queue = ClassQueue(service_class=call.service_class, priority=call.priority)
            self._queues[call.service_class] = queue
        queue.priority = call.priority
        refused: list[SchedulerAction] = []
        while not self._has_queue_space(call):
            victim = self._find_eviction_candidate(call)
            if victim is None:
                refused.append(self._refuse(call, now))
                return refused
            self._remove(victim.call.call_id)
            refused.append(self._refuse(victim.call, now))
        expected_s = self._predictor.predict(call.service_class, call.workspace)
        self._waiting[call.call_id] = queue.add(call, expected_s=expected_s, now=now)
        self._waiting_bytes += call.size_bytes
        window = self._compute_start_window(call.service_class)
        self._starvation_guard.record_waiting(call.service_class, window=window)
        return refused

    def _has_queue_space(self, call: CallArrived) -> bool:
        if not self._waiting:
            return True
        return (
            len(self._waiting) < self._limits.queue_calls
            and self._waiting_bytes + call.size_bytes <= self._limits.queue_bytes
        )

    def _find_eviction_candidate(self, call: CallArrived) -> WaitingCall | None:
        """Return the waiting call to evict for an arrival, if any.

        The call has the lowest priority of all. If that is the priority of
        the arrival too, a call is evicted only from another workspace, and
        only if that workspace has at least two more waiting calls.
        """
        waiting = [queue for queue in self._queues.values() if queue.count]
        lowest = min(queue.priority for queue in waiting)
        if lowest > call.priority:
            return None
        candidates = [queue for queue in waiting if queue.priority == lowest]
        victim = max(
            candidates, key=lambda queue: queue.count
        ).find_eviction_candidate()
        if lowest < call.priority:
            return victim
        own = self._queues[call.service_class].count_workspace(call.workspace)
        theirs = self._queues[victim.call.service_class].count_workspace(
            victim.call.workspace
        )
        is_same = victim.call.workspace == call.workspace
        return victim if theirs > own + 1 and not is_same else None

    def _refuse(self, call: CallArrived, now: float) -> RefuseCall:
        return RefuseCall(
            call_id=call.call_id,
            reason="queue_full",
            retry_after_ms=self.compute_retry_after_ms(call.priority, now),
        )

    def _remove(self, call_id: str) -> None:
        item = self._waiting.pop(call_id, None)
        if item is None:
            return
        queue = self._queues[item.call.service_class]
        queue.remove(item)
        self._waiting_bytes -= item.call.size_bytes
        if not queue.count:
            self._starvation_guard.record_empty(queue.service_class)

    def _record_first_token(self, event: FirstTokenReceived, now: float) -> None:
        run = self._running.get(event.call_id)
        if run is None or not run.item.call.streamed:
            return
        elapsed_s = now - run.started_at
        self._first_token.add(elapsed_s)
        if not run.over_limit:
            allowed_s = run.item.call.target_s * FIRST_TOKEN_FRACTION
            self._limit.add_sample(elapsed_s, allowed_s, now=now)

    def _record_token_gap(self, event: TokenGapMeasured, now: float) -> None:
        run = self._running.get(event.call_id)
        if run is not None:
            self._token_gap.add(event.token_gap_s)
            allowed_s = run.item.call.token_gap_s
            self._limit.add_sample(event.token_gap_s, allowed_s, now=now)

    def _record_end(self, event: CallEnded, now: float) -> None:
        run = self._running.pop(event.call_id, None)
        run = run or self._preempting.pop(event.call_id, None)
        if run is None:
            return
        call = run.item.call
        duration_s = now - run.started_at
        self.preemption.record_run(duration_s)
        self._completion_rate.add(now)
        queue = self._queues[call.service_class]
        queue.correct_charge(
            call.workspace, expected_s=run.expected_s, duration_s=duration_s
        )
        if event.complete:
            self._predictor.add(call.service_class, call.workspace, duration_s)
            if not call.streamed:
                self._limit.add_sample(duration_s, call.target_s, now=now)

    def _start_calls(self, now: float) -> list[SchedulerAction]:
        actions: list[SchedulerAction] = []
        while self._waiting:
            item, priority = self._select_next(now)
            if not self._can_start(item.call, priority, now):
                urgent, victim = self._find_preemption(item, now)
                if urgent is None or victim is None:
                    break
                actions.append(self._preempt(victim, now))
                item, priority = urgent, urgent.call.priority
            actions.append(self._start(item, priority, now))
        return actions

    def _find_preemption(
        self, item: WaitingCall, now: float
    ) -> tuple[WaitingCall | None, RunningCall | None]:
        """Return the class's most urgent waiting call and the run to preempt.

        The class is that of the next call. The run is None when none can be
        preempted. Both are None while an exclusive call runs, and when every
        call of the class is late.
        """
        runs = self._running.values()
        if any(run.item.call.exclusive for run in runs):
            return None, None
        urgent = self._queues[item.call.service_class].find_most_urgent(now)
        if urgent is None:
            return None, None
        return urgent, self.preemption.find_victim(urgent, runs, now)

    def _preempt(self, run: RunningCall, now: float) -> PreemptCall:
        call_id = run.item.call.call_id
        self._preempting[call_id] = self._running.pop(call_id)
        self.preemption.charge(run, now)
        return PreemptCall(call_id=call_id)

    def _requeue(self, call_id: str) -> None:
        run = self._preempting.pop(call_id, None)
        if run is None:
            return
        call = run.item.call
        queue = self._queues[call.service_class]
        self._waiting[call_id] = queue.requeue(run.item)
        self._waiting_bytes += call.size_bytes
        window = self._compute_start_window(call.service_class)
        self._starvation_guard.record_waiting(call.service_class, window=window)

    def _select_next(self, now: float) -> tuple[WaitingCall, int]:
        """Return the next call to start and its effective priority.

        A call of a class that is overdue gets the highest priority of all
        waiting and running calls, so that neither reserved headroom nor the
        engine's own ordering delays it.
        """
        waiting = [queue for queue in self._queues.values() if queue.count]
        highest = max(queue.priority for queue in waiting)
        overdue = self._starvation_guard.find_overdue()
        if overdue is not None:
            running = (run.priority for run in self._running.values())
            return self._queues[overdue].find_next(now), max(highest, *running, 0)
        candidates = [queue for queue in waiting if queue.priority == highest]
        queue = min(candidates, key=lambda queue: queue.get_urgency(now))
        return queue.find_next(now), highest

    def _can_start(self, call: CallArrived, priority: int, now: float) -> bool:
        if call.exclusive and self._preempting:
            return False
        running = len(self._running)
        if not running:
            return True
        if call.exclusive or any(
            run.item.call.exclusive for run in self._running.values()
        ):
            return False
        limit = self._limit.value
        if running >= limit:
            self._limit.record_saturation(now=now)
            lowest = min(run.priority for run in self._running.values())
            overcommit = self._limits.overcommit if priority > lowest else 0
            return running < limit + overcommit
        expected = [run.expected_s for run in self._running.values()]
        service_s = sum(expected) / running
        reserve = self._headroom.compute_reserve(
            priority, limit=limit, service_s=service_s, now=now
        )
        return running < limit - reserve

    def _start(self, item: WaitingCall, priority: int, now: float) -> StartCall:
        call = item.call
        queue = self._queues[call.service_class]
        queue.start(item)
        del self._waiting[call.call_id]
        self._waiting_bytes -= call.size_bytes
        self._starvation_guard.record_start(
            call.service_class,
            window=self._compute_start_window(call.service_class),
            still_waiting=queue.count > 0,
        )
        self._running[call.call_id] = RunningCall(
            item=item,
            priority=priority,
            started_at=now,
            over_limit=len(self._running) >= self._limit.value,
        )
        return StartCall(
            call_id=call.call_id, engine_priority=ENGINE_PRIORITY_BASE - priority
        )

    def _compute_start_window(self, service_class: str) -> int:
        waiting = [queue for queue in self._queues.values() if queue.count]
        others = (self._predictor.predict_class(q.service_class) for q in waiting)
        expected_s = self._predictor.predict_class(service_class)
        return compute_start_window(expected_s, others, classes=len(waiting))
