"""Drives a scheduler with calls named by the test."""

from carobspring.ports import RandomSource
from carobspring.scheduling import (
    CallArrived,
    CallEnded,
    RefuseCall,
    Scheduler,
    SchedulerLimits,
    StartCall,
)


class FixedRandom(RandomSource):
    def draw_uniform(self) -> float:
        return 0.0

    def draw_index(self, count: int) -> int:
        return 0


class Driver:
    """Sends events to a scheduler and records its starts and refusals."""

    def __init__(self, *, slots=1, queue_calls=256, overcommit=0, headroom_share=0.25):
        limits = SchedulerLimits(
            slots=slots,
            queue_calls=queue_calls,
            overcommit=overcommit,
            headroom_share=headroom_share,
        )
        self.scheduler = Scheduler(limits=limits, random=FixedRandom())
        self.now = 0.0
        self.calls = {}
        self.waiting = set()
        self.running = set()
        self.starts = []
        self.refused = []
        self.retry_after_ms_by_call = {}

    def send(self, event):
        actions = self.scheduler.handle(event, self.now)
        for action in actions:
            self.waiting.discard(action.call_id)
            match action:
                case StartCall():
                    self.running.add(action.call_id)
                    self.starts.append(action.call_id)
                case RefuseCall():
                    self.refused.append(action.call_id)
                    self.retry_after_ms_by_call[action.call_id] = action.retry_after_ms
        return actions

    def arrive(self, call_id, priority=0, service_class="", workspace="w", **fields):
        call = CallArrived(
            call_id=call_id,
            workspace=workspace,
            service_class=service_class or f"class-{priority}",
            priority=priority,
            **fields,
        )
        self.calls[call_id] = call
        self.waiting.add(call_id)
        return self.send(call)

    def end(self, call_id, *, after=0.0, complete=True):
        self.now += after
        self.running.discard(call_id)
        return self.send(CallEnded(call_id=call_id, complete=complete))

    def run_all(self, *, after=1.0):
        """End all calls in the order they started, and return the starts."""
        while self.running:
            self.end(min(self.running, key=self.starts.index), after=after)
        return self.starts
