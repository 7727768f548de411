"""The scheduler: which waiting call starts next."""

from collections import deque

from carobspring.domain import LoadReport
from carobspring.scheduling.events import (
    CallArrived,
    CallEnded,
    CallWithdrawn,
    RefuseCall,
    SchedulerAction,
    SchedulerEvent,
    StartCall,
)

QUEUE_LIMIT = 256


class Scheduler:
    """First come, first served within a fixed limit."""

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._waiting: deque[CallArrived] = deque()
        self._running: dict[str, CallArrived] = {}

    def handle(self, event: SchedulerEvent, now: float) -> list[SchedulerAction]:
        """Take in an event and return what the gate has to do."""
        match event:
            case CallArrived():
                if len(self._waiting) >= QUEUE_LIMIT:
                    call_id = event.call_id
                    return [
                        RefuseCall(
                            call_id=call_id, reason="queue_full", retry_after_ms=1000
                        )
                    ]
                self._waiting.append(event)
            case CallWithdrawn():
                self._waiting = deque(
                    call for call in self._waiting if call.call_id != event.call_id
                )
            case CallEnded():
                self._running.pop(event.call_id, None)
        actions: list[SchedulerAction] = []
        while self._waiting and len(self._running) < self._slots:
            call = self._waiting.popleft()
            self._running[call.call_id] = call
            actions.append(
                StartCall(call_id=call.call_id, engine_priority=100 - call.priority)
            )
        return actions

    def advise_retry(self, priority: int, now: float) -> int:
        """Return when it is worth asking again, in milliseconds."""
        return 1000

    def predict_service_s(self, service_class: str, workspace: str) -> float:
        """Return the time that such a call is expected to take in a slot."""
        return 0.0

    def count_running(self) -> int:
        """Return how many calls run now."""
        return len(self._running)

    def build_report(
        self, *, sequence: int, draining: bool, unhealthy: bool, now: float
    ) -> LoadReport:
        """Return the load as entries see it."""
        return LoadReport(
            sequence=sequence,
            running=len(self._running),
            limit=self._slots,
            draining=draining,
            unhealthy=unhealthy,
        )
