"""Bytes that a process may hold for clients, shared by all of its servers.

Without a bound, a few clients that send large bodies and never end them take
the memory of a small instance. Bodies of ordinary size have a pool of their
own, so that large ones can't keep them out.
"""

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from carobspring.adapters.client_memory import STALL_S, ClientMemory
from carobspring.adapters.memory_plan import MemoryPlan, plan_memory

#: Bodies up to this size use the pool of small bodies.
SMALL_BODY_BYTES: Final = 64 * 1024
#: Mean rate below which a body counts as stalled too, after STALL_S. Callers
#: send faster even if a hundred share the 3.5 Mbit/s of an entry.
MIN_RECEIVE_BYTES_PER_S: Final = 4 * 1024


@dataclass(kw_only=True, eq=False)
class Hold:
    """Room for one body, or the wait for it."""

    size: int
    #: Called once there is room.
    handle_room: Callable[[], None]
    #: Called to refuse the body while it is received.
    refuse: Callable[[], None]
    has_room: bool = False
    #: False once the body is complete: its request runs.
    is_receiving: bool = True
    #: Monotonic time of the last byte received.
    progress_at: float = 0.0
    #: Monotonic time since which the rate counts.
    room_at: float = math.inf
    #: Bytes that were received since it was created.
    received_bytes: int = 0

    def record_received(self, size: int, now: float) -> None:
        """Record bytes of the body."""
        self.progress_at = now
        self.received_bytes += size

    def is_stalled(self, now: float) -> bool:
        """Return whether the body arrives too slowly, or not at all."""
        if not self.is_receiving:
            return False
        if now - self.progress_at >= STALL_S:
            return True
        expected_bytes = (now - self.room_at - STALL_S) * MIN_RECEIVE_BYTES_PER_S
        return self.received_bytes < expected_bytes


class BytePool:
    """Gives room in the order of the requests for it.

    A body larger than the pool takes all of it.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self._holds: OrderedDict[int, Hold] = OrderedDict()
        self._waiting: OrderedDict[int, Hold] = OrderedDict()

    @property
    def waiting_count(self) -> int:
        """How many bodies wait for room."""
        return len(self._waiting)

    def add(self, hold: Hold) -> None:
        """Give a hold room at once if no other waits, or queue it."""
        hold.size = min(hold.size, self.max_bytes)
        self._waiting[id(hold)] = hold
        self._fill(new=hold)

    def remove(self, hold: Hold) -> None:
        """Return the room of a hold, or end its wait."""
        self._waiting.pop(id(hold), None)
        if self._holds.pop(id(hold), None) is not None:
            self.held_bytes -= hold.size
        self._fill()

    def shrink(self, hold: Hold, size: int) -> None:
        """Return the part of a hold's room that is over ``size``."""
        if id(hold) in self._holds and size < hold.size:
            self.held_bytes -= hold.size - size
            hold.size = size
            self._fill()

    def find_stalled(self, now: float) -> Hold | None:
        """Return the body that has stalled longest while others wait."""
        if not self._waiting:
            return None
        stalled = (hold for hold in self._holds.values() if hold.is_stalled(now))
        return min(stalled, key=lambda hold: hold.progress_at, default=None)

    def _fill(self, new: Hold | None = None) -> None:
        while self._waiting:
            hold = next(iter(self._waiting.values()))
            if self.held_bytes + hold.size > self.max_bytes:
                return
            del self._waiting[id(hold)]
            self._holds[id(hold)] = hold
            self.held_bytes += hold.size
            hold.has_room = True
            if hold is not new:
                hold.handle_room()


class ByteBudget:
    """What a process may hold for clients: pools for bodies, and the rest.

    Example:
        ``budget.add(hold)`` when a head announces a body. The body is read
        once ``hold.has_room``; then ``budget.remove(hold)`` when its request
        has ended.
    """

    def __init__(
        self, *, max_bytes: int | None = None, plan: MemoryPlan | None = None
    ) -> None:
        """Create the pools.

        Args:
            max_bytes: Bytes of bodies, which the pools share equally, instead
                of those of the plan.
            plan: Division of the memory, or None for the default memory.
        """
        plan = plan or plan_memory()
        max_bytes = plan.body_bytes if max_bytes is None else max_bytes
        #: What connections hold beside bodies.
        self.memory = ClientMemory(max_bytes=plan.held_bytes)
        #: Connections of callers that may be open.
        self.max_connections = plan.max_connections
        self.small = BytePool(max_bytes=max_bytes // 2)
        self.large = BytePool(max_bytes=max_bytes // 2)
        #: Bodies that were refused to make room, since the start.
        self.refused_count = 0

    def add(self, hold: Hold) -> None:
        """Queue a hold for room, in the pool of its size."""
        self._find_pool(hold).add(hold)

    def remove(self, hold: Hold) -> None:
        """Return the room of a hold."""
        # Only one of them knows the hold.
        self.small.remove(hold)
        self.large.remove(hold)

    def shrink(self, hold: Hold, size: int) -> None:
        """Return the part of a hold's room that is over ``size``."""
        self.small.shrink(hold, size)
        self.large.shrink(hold, size)

    def refuse_stalled(self, now: float) -> None:
        """Refuse bodies and requests that stall while others wait for room."""
        for pool in (self.small, self.large):
            while (hold := pool.find_stalled(now)) is not None:
                self.refused_count += 1
                pool.remove(hold)
                hold.refuse()
        self.memory.release_stalled(now)

    def _find_pool(self, hold: Hold) -> BytePool:
        return self.small if hold.size <= SMALL_BODY_BYTES else self.large
