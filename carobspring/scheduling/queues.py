"""The waiting calls of one class, shared fairly among its workspaces."""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field, replace

from carobspring.scheduling.events import CallArrived

#: A class without a target is ranked as if it had this one.
NO_TARGET_S = 60.0
#: Of so many starts of a class, one goes to a call that missed its target.
LATE_TURN = 8


@dataclass(kw_only=True, eq=False)
class WaitingCall:
    """A call in a queue."""

    call: CallArrived
    order: int
    #: When it has to start to meet its target.
    due: float
    #: Seconds in a slot that it is expected to take.
    work_s: float
    late: bool = False
    removed: bool = False
    #: True once it was stopped in a slot and put back.
    preempted: bool = False


@dataclass(kw_only=True, eq=False)
class WorkspaceQueue:
    """The waiting calls of one workspace in one class."""

    #: Virtual time at which the workspace's next call would begin.
    finish: float = 0.0
    on_time: deque[WaitingCall] = field(default_factory=deque)
    late: deque[WaitingCall] = field(default_factory=deque)

    def find_first(self, *, late: bool) -> WaitingCall | None:
        """Return the first call that waits, on time or late."""
        calls = self.late if late else self.on_time
        while calls and (calls[0].removed or calls[0].late is not late):
            calls.popleft()
        return calls[0] if calls else None

    def find_last(self) -> WaitingCall | None:
        """Return the call that came last."""
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

    Each start charges its workspace the work that is expected of the call;
    the workspace with the smallest virtual time is next. When the true work
    is known, ``settle`` corrects the charge. Calls that can still meet the
    target go before those that can't; each ``LATE_TURN``-th start goes to a
    late one, so that none is passed over for ever.
    """

    def __init__(self, *, service_class: str, priority: int) -> None:
        self.service_class = service_class
        self.priority = priority
        self.count = 0
        self._virtual = 0.0
        self._starts = 0
        self._order = itertools.count()
        self._workspaces: dict[str, WorkspaceQueue] = {}
        self._counts: dict[str, int] = {}
        self._due: list[tuple[float, int, WaitingCall]] = []
        self._late: deque[WaitingCall] = deque()

    def add(self, call: CallArrived, *, work_s: float, now: float) -> WaitingCall:
        """Queue a call."""
        lead_s = 0.0 if call.streamed else work_s
        received = now - call.age_s
        due = received + (call.target_s or NO_TARGET_S) - lead_s
        item = WaitingCall(call=call, order=next(self._order), due=due, work_s=work_s)
        queue = self._workspaces.get(call.workspace)
        if queue is None:
            queue = self._workspaces[call.workspace] = WorkspaceQueue()
        queue.on_time.append(item)
        heapq.heappush(self._due, (due, item.order, item))
        self.count += 1
        self._counts[call.workspace] = self._counts.get(call.workspace, 0) + 1
        return item

    def remove(self, item: WaitingCall) -> None:
        """Take a call out without a charge."""
        item.removed = True
        self.count -= 1
        workspace = item.call.workspace
        self._counts[workspace] -= 1
        if not self._counts[workspace]:
            del self._counts[workspace]
            self._forget_idle()

    def start(self, item: WaitingCall) -> None:
        """Take a call out and charge its workspace."""
        queue = self._workspaces[item.call.workspace]
        begin = max(self._virtual, queue.finish)
        self._virtual = begin
        queue.finish = begin + max(item.work_s, 0.001)
        self._starts += 1
        self.remove(item)

    def requeue(self, item: WaitingCall) -> WaitingCall:
        """Queue a started call again, first of its workspace and uncharged."""
        again = replace(item, late=False, removed=False, preempted=True)
        workspace = item.call.workspace
        queue = self._workspaces.setdefault(workspace, WorkspaceQueue())
        queue.finish -= max(item.work_s, 0.001)
        queue.on_time.appendleft(again)
        heapq.heappush(self._due, (again.due, next(self._order), again))
        self.count += 1
        self._counts[workspace] = self._counts.get(workspace, 0) + 1
        return again

    def settle(self, workspace: str, *, expected_s: float, took_s: float) -> None:
        """Correct the charge of a call by the time that it took."""
        queue = self._workspaces.get(workspace)
        if queue is not None:
            queue.finish += took_s - max(expected_s, 0.001)

    def find_due(self, now: float) -> tuple[bool, float]:
        """Return whether only late calls wait, and the earliest due time."""
        self._mark_late(now)
        if self._due:
            return False, self._due[0][0]
        while self._late and self._late[0].removed:
            self._late.popleft()
        return True, self._late[0].due if self._late else 0.0

    def find_most_urgent(self, now: float) -> WaitingCall | None:
        """Return the call that is due first and not late yet."""
        self._mark_late(now)
        return self._due[0][2] if self._due else None

    def find_next(self, now: float) -> WaitingCall:
        """Return the call that the class starts next; it must have one."""
        only_late, _ = self.find_due(now)
        while self._late and self._late[0].removed:
            self._late.popleft()
        if self._late and self._starts % LATE_TURN == LATE_TURN - 1:
            return self._late[0]
        best: tuple[float, int, WaitingCall] | None = None
        for name in self._counts:
            queue = self._workspaces[name]
            item = queue.find_first(late=only_late)
            if item is not None:
                key = (max(self._virtual, queue.finish), item.order, item)
                best = key if best is None or key[:2] < best[:2] else best
        assert best is not None
        return best[2]

    def find_victim(self) -> WaitingCall:
        """Return the last call of the workspace that has most of them."""
        workspace = max(self._counts, key=lambda name: self._counts[name])
        item = self._workspaces[workspace].find_last()
        assert item is not None
        return item

    def count_of(self, workspace: str) -> int:
        """Return how many calls of a workspace wait."""
        return self._counts.get(workspace, 0)

    def _mark_late(self, now: float) -> None:
        while self._due:
            due, _, item = self._due[0]
            if not item.removed:
                if due >= now or not item.call.target_s:
                    return
                item.late = True
                self._late.append(item)
                self._workspaces[item.call.workspace].late.append(item)
            heapq.heappop(self._due)

    def _forget_idle(self) -> None:
        if len(self._workspaces) <= 2 * len(self._counts) + 16:
            return
        for name in list(self._workspaces):
            idle = name not in self._counts
            if idle and self._workspaces[name].finish <= self._virtual:
                del self._workspaces[name]
