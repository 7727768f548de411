"""The waiting calls of one class, shared fairly among workspaces."""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field, replace

from carobspring.scheduling.events import CallArrived

#: Target in seconds by which calls of a class without a target are ordered.
DEFAULT_TARGET_S = 60.0
#: One in this many starts of a class goes to a call that missed its target.
LATE_START_INTERVAL = 8


@dataclass(kw_only=True, eq=False)
class WaitingCall:
    """A call in a queue."""

    call: CallArrived
    #: Position in the order of arrival.
    sequence: int
    #: Latest start time at which the call can meet its target.
    latest_start: float
    #: Slot time in seconds that the call is expected to take.
    expected_s: float
    late: bool = False
    removed: bool = False
    #: True once it was stopped in a slot and queued again.
    preempted: bool = False


@dataclass(kw_only=True, eq=False)
class WorkspaceQueue:
    """The waiting calls of one workspace in one class."""

    #: Virtual finish time of the last started call; the next starts then.
    virtual_finish: float = 0.0
    on_time: deque[WaitingCall] = field(default_factory=deque)
    late: deque[WaitingCall] = field(default_factory=deque)

    def find_first(self, *, late: bool) -> WaitingCall | None:
        """Return the first waiting call, late or on time."""
        calls = self.late if late else self.on_time
        while calls and (calls[0].removed or calls[0].late is not late):
            calls.popleft()
        return calls[0] if calls else None

    def find_last(self) -> WaitingCall | None:
        """Return the call that arrived last."""
        for calls in (self.on_time, self.late):
            while calls and (
                calls[-1].removed or calls[-1].late is not (calls is self.late)
            ):
                calls.pop()
            if calls:
                return calls[-1]
        return None


class ClassQueue:
    """Start-time fair queuing among the workspaces of one class.

    Each start charges the expected slot time of the call to its workspace;
    the workspace with the smallest virtual time is served next. Once the
    actual time is known, ``correct_charge`` adjusts the charge. Calls that
    can still meet their target start before those that can't, except that
    each ``LATE_START_INTERVAL``-th start goes to a late call, so that late
    calls don't starve.
    """

    def __init__(self, *, service_class: str, priority: int) -> None:
        self.service_class = service_class
        self.priority = priority
        self.count = 0
        self._virtual_time = 0.0
        self._starts = 0
        self._sequence = itertools.count()
        self._workspaces: dict[str, WorkspaceQueue] = {}
        #: Number of waiting calls, by workspace.
        self._counts: dict[str, int] = {}
        #: Heap of the calls that are on time, by latest start.
        self._on_time: list[tuple[float, int, WaitingCall]] = []
        self._late: deque[WaitingCall] = deque()

    def add(self, call: CallArrived, *, expected_s: float, now: float) -> WaitingCall:
        """Queue a call."""
        run_s = 0.0 if call.streamed else expected_s
        received_at = now - call.age_s
        latest_start = received_at + (call.target_s or DEFAULT_TARGET_S) - run_s
        item = WaitingCall(
            call=call,
            sequence=next(self._sequence),
            latest_start=latest_start,
            expected_s=expected_s,
        )
        queue = self._workspaces.get(call.workspace)
        if queue is None:
            queue = self._workspaces[call.workspace] = WorkspaceQueue()
        queue.on_time.append(item)
        heapq.heappush(self._on_time, (latest_start, item.sequence, item))
        self.count += 1
        self._counts[call.workspace] = self._counts.get(call.workspace, 0) + 1
        return item

    def remove(self, item: WaitingCall) -> None:
        """Remove a call without charging its workspace."""
        item.removed = True
        self.count -= 1
        workspace = item.call.workspace
        self._counts[workspace] -= 1
        if not self._counts[workspace]:
            del self._counts[workspace]
            self._drop_idle_workspaces()

    def start(self, item: WaitingCall) -> None:
        """Remove a call and charge its workspace."""
        queue = self._workspaces[item.call.workspace]
        virtual_start = max(self._virtual_time, queue.virtual_finish)
        self._virtual_time = virtual_start
        queue.virtual_finish = virtual_start + max(item.expected_s, 0.001)
        self._starts += 1
        self.remove(item)

    def requeue(self, item: WaitingCall) -> WaitingCall:
        """Put a started call first in its workspace and undo its charge."""
        requeued = replace(item, late=False, removed=False, preempted=True)
        workspace = item.call.workspace
        queue = self._workspaces.setdefault(workspace, WorkspaceQueue())
        queue.virtual_finish -= max(item.expected_s, 0.001)
        queue.on_time.appendleft(requeued)
        heapq.heappush(
            self._on_time, (requeued.latest_start, next(self._sequence), requeued)
        )
        self.count += 1
        self._counts[workspace] = self._counts.get(workspace, 0) + 1
        return requeued

    def correct_charge(
        self, workspace: str, *, expected_s: float, duration_s: float
    ) -> None:
        """Replace the expected time that a call was charged by the actual."""
        queue = self._workspaces.get(workspace)
        if queue is not None:
            queue.virtual_finish += duration_s - max(expected_s, 0.001)

    def get_urgency(self, now: float) -> tuple[bool, float]:
        """Return a sort key: whether all calls are late, and a latest start.

        The latest start is the earliest one among the calls that are on time,
        or that of the first late call when all are late.
        """
        self._mark_late(now)
        if self._on_time:
            return False, self._on_time[0][0]
        while self._late and self._late[0].removed:
            self._late.popleft()
        return True, self._late[0].latest_start if self._late else 0.0

    def find_most_urgent(self, now: float) -> WaitingCall | None:
        """Return the call on time with the earliest latest start, if any."""
        self._mark_late(now)
        return self._on_time[0][2] if self._on_time else None

    def find_next(self, now: float) -> WaitingCall:
        """Return the next call to start; the queue must not be empty."""
        only_late, _ = self.get_urgency(now)
        while self._late and self._late[0].removed:
            self._late.popleft()
        if self._late and self._starts % LATE_START_INTERVAL == LATE_START_INTERVAL - 1:
            return self._late[0]
        best: tuple[float, int, WaitingCall] | None = None
        for name in self._counts:
            queue = self._workspaces[name]
            item = queue.find_first(late=only_late)
            if item is not None:
                key = (
                    max(self._virtual_time, queue.virtual_finish),
                    item.sequence,
                    item,
                )
                best = key if best is None or key[:2] < best[:2] else best
        assert best is not None
        return best[2]

    def find_eviction_candidate(self) -> WaitingCall:
        """Return the last call of the workspace with most waiting calls."""
        workspace = max(self._counts, key=lambda name: self._counts[name])
        item = self._workspaces[workspace].find_last()
        assert item is not None
        return item

    def count_workspace(self, workspace: str) -> int:
        """Return the number of waiting calls of a workspace."""
        return self._counts.get(workspace, 0)

    def _mark_late(self, now: float) -> None:
        while self._on_time:
            latest_start, _, item = self._on_time[0]
            if not item.removed:
                if latest_start >= now or not item.call.target_s:
                    return
                item.late = True
                self._late.append(item)
                self._workspaces[item.call.workspace].late.append(item)
            heapq.heappop(self._on_time)

    def _drop_idle_workspaces(self) -> None:
        if len(self._workspaces) <= 2 * len(self._counts) + 16:
            return
        for name in list(self._workspaces):
            is_idle = name not in self._counts
            if is_idle and self._workspaces[name].virtual_finish <= self._virtual_time:
                del self._workspaces[name]
