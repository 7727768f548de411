"""What the connections of a process hold in memory, as one sum.

A limit for each connection does not bound a process: a crowd of clients, each
within its limit, takes as much as it has connections. So the connections of
all servers of a process share one account. It covers heads and bytes that were
sent ahead, requests that run, and responses that callers have not read. Bodies
have pools of their own.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

#: Seconds without a byte received or sent after which a connection counts as
#: stalled.
STALL_S: Final = 1.0
#: Memory of a running request beside its fields and its body, with what its
#: connection to a backend server may hold.
REQUEST_BYTES: Final = 40 * 1024
#: Memory that a header field takes once it is parsed.
HEADER_FIELD_BYTES: Final = 512
#: Fields that callers send at most, and the memory of each further one on top.
#: A long head is in memory several times while it is parsed and sent on.
USUAL_FIELDS: Final = 64
FURTHER_FIELD_BYTES: Final = 2 * 1024


#: Largest request that is not a large one: with the usual fields, and with
#: any head of 16 KiB that has no more of them.
USUAL_REQUEST_BYTES: Final = REQUEST_BYTES + 48 * 1024


def estimate_request_bytes(head_bytes: int, fields: int) -> int:
    """Return the memory that a request takes beside its body.

    Example:
        ``estimate_request_bytes(800, 16)`` returns 49,952.
    """
    further_fields = max(0, fields - USUAL_FIELDS)
    return (
        REQUEST_BYTES
        + head_bytes
        + fields * HEADER_FIELD_BYTES
        + further_fields * FURTHER_FIELD_BYTES
    )


@dataclass(kw_only=True, eq=False)
class ConnectionUsage:
    """What one connection holds beside the body that it has room for."""

    #: Called to close the connection, or to refuse the request on it.
    release: Callable[[], None]
    #: Called once there is room for the request that waits to begin.
    handle_room: Callable[[], None]
    #: Bytes received that are not handled yet.
    received_bytes: int = 0
    #: Bytes of responses that the caller has not read.
    unsent_bytes: int = 0
    #: Estimated bytes of the request that is read or runs.
    request_bytes: int = 0
    #: Bytes of a response that are held back until more of it is there.
    response_bytes: int = 0
    #: Whether the handler of a request runs.
    is_running: bool = False
    #: Monotonic time of the last byte received or sent.
    progress_at: float = 0.0
    #: Bytes that the account has counted, and those of them that are of a
    #: large request.
    counted_bytes: int = 0
    counted_large_bytes: int = 0

    @property
    def size(self) -> int:
        """All bytes that the connection holds."""
        return (
            self.received_bytes
            + self.unsent_bytes
            + self.request_bytes
            + self.response_bytes
        )

    def is_stalled(self, now: float) -> bool:
        """Return whether nothing was received or sent for a while."""
        return now - self.progress_at >= STALL_S

    def is_releasable(self, now: float) -> bool:
        """Return whether the connection may be closed to make room.

        A request that runs is cut only if its caller reads nothing.
        """
        if self.is_running:
            return bool(self.unsent_bytes) and self.is_stalled(now)
        return self.size > 0

    def rank_for_release(self, now: float) -> tuple[float, int]:
        """Return how much is held for how long without progress."""
        return self.size * max(0.0, now - self.progress_at), self.size


_WaitingRequests = OrderedDict[int, tuple[ConnectionUsage, int]]


class ClientMemory:
    """The account of a process for its connections.

    A connection reports each change of its usage. Past the limit, those that
    hold most for longest are released at once. A request begins only once
    there is room for it; those that wait are served in order. Large requests,
    with heads that few callers send, have half of the room and a queue of
    their own, so that others don't wait for them.

    Example:
        ``memory.add(usage)`` for a new connection. ``memory.reserve(usage,
        30_000, now)`` returns True if its request may begin. Then
        ``memory.update(usage, now)`` after each change of the usage, and
        ``memory.remove(usage)`` when the connection is closed.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        #: Connections that were released to make room, since the start.
        self.released_count = 0
        self._usages: dict[int, ConnectionUsage] = {}
        self._large_bytes = 0
        #: Requests that wait to begin, with the bytes that they need.
        self._waiting: _WaitingRequests = OrderedDict()
        self._waiting_large: _WaitingRequests = OrderedDict()
        self._is_releasing = False

    @property
    def waiting_count(self) -> int:
        """How many requests wait to begin."""
        return len(self._waiting) + len(self._waiting_large)

    @property
    def is_tight(self) -> bool:
        """Whether over half of the room is taken."""
        return self.held_bytes * 2 > self.max_bytes

    def add(self, usage: ConnectionUsage) -> None:
        """Count a new connection."""
        self._usages[id(usage)] = usage
        self._count(usage)

    def remove(self, usage: ConnectionUsage) -> None:
        """Return all room of a closed connection."""
        is_waiting = self._end_wait(usage)
        if self._usages.pop(id(usage), None) is not None:
            self.held_bytes -= usage.counted_bytes
            self._large_bytes -= usage.counted_large_bytes
            usage.counted_bytes = usage.counted_large_bytes = 0
            self._begin_waiting()
        elif is_waiting:
            self._begin_waiting()

    def reserve(self, usage: ConnectionUsage, size: int, now: float) -> bool:
        """Return whether a request of a size may begin; else let it wait."""
        if id(usage) not in self._usages:
            return False
        # A request larger than its part of the room would never begin.
        size = min(size, self._max_large_bytes)
        queue = self._waiting_large if size > USUAL_REQUEST_BYTES else self._waiting
        is_first = next(iter(queue), id(usage)) == id(usage)
        if not is_first or not self._has_room(size):
            queue.setdefault(id(usage), (usage, size))
            return False
        queue.pop(id(usage), None)
        usage.request_bytes = size
        self.update(usage, now)
        self._begin_waiting()
        return True

    def cancel(self, usage: ConnectionUsage) -> None:
        """End the wait of a request that was refused."""
        if self._end_wait(usage):
            self._begin_waiting()

    def update(self, usage: ConnectionUsage, now: float) -> None:
        """Count what a connection holds now, and make room if it is short."""
        if id(usage) not in self._usages:
            return
        before = usage.counted_bytes
        self._count(usage)
        if usage.counted_bytes < before:
            self._begin_waiting()
        if self.held_bytes > self.max_bytes:
            self._release_until_within(now)

    def release_stalled(self, now: float) -> None:
        """Release connections that stall while requests wait to begin."""
        while self.waiting_count:
            stalled = [
                each
                for each in self._usages.values()
                if each.is_releasable(now) and each.is_stalled(now)
                # Those that wait make no progress by no fault of their own.
                and id(each) not in self._waiting
                and id(each) not in self._waiting_large
            ]
            if not stalled:
                return
            self._release(max(stalled, key=lambda each: each.rank_for_release(now)))

    @property
    def _max_large_bytes(self) -> int:
        return self.max_bytes // 2

    def _has_room(self, size: int) -> bool:
        if self.held_bytes + size > self.max_bytes:
            return False
        is_large = size > USUAL_REQUEST_BYTES
        return not is_large or self._large_bytes + size <= self._max_large_bytes

    def _count(self, usage: ConnectionUsage) -> None:
        self.held_bytes += usage.size - usage.counted_bytes
        usage.counted_bytes = usage.size
        is_large = usage.request_bytes > USUAL_REQUEST_BYTES
        large_bytes = usage.request_bytes if is_large else 0
        self._large_bytes += large_bytes - usage.counted_large_bytes
        usage.counted_large_bytes = large_bytes

    def _end_wait(self, usage: ConnectionUsage) -> bool:
        """Remove a request from those that wait; return whether it did."""
        queues = (self._waiting, self._waiting_large)
        return any([queue.pop(id(usage), None) is not None for queue in queues])

    def _release_until_within(self, now: float) -> None:
        if self._is_releasing:
            return
        self._is_releasing = True
        try:
            while self.held_bytes > self.max_bytes:
                candidates = [
                    each for each in self._usages.values() if each.is_releasable(now)
                ]
                if not candidates:
                    return
                self._release(
                    max(candidates, key=lambda each: each.rank_for_release(now))
                )
        finally:
            self._is_releasing = False

    def _release(self, usage: ConnectionUsage) -> None:
        self.released_count += 1
        self.remove(usage)
        usage.release()

    def _begin_waiting(self) -> None:
        """Tell the first request of each queue if there is room for it now."""
        for queue in (self._waiting, self._waiting_large):
            if queue:
                usage, size = next(iter(queue.values()))
                if self._has_room(size):
                    usage.handle_room()
