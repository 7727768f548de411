"""How many entries share what is limited for all of them together."""

from collections import deque
from typing import Final

#: Seconds after which a replica's count is out of date: two heartbeats.
COUNT_LIFETIME_S: Final = 2.0
#: Seconds until all entries know of one that has started: its first report,
#: gossip between replicas, and a heartbeat to the others.
COUNT_DELAY_S: Final = 3.0


class EntryCount:
    """The number of entries, as control replicas report it.

    What an entry used until it left, and what the others used while they knew
    of fewer, still counts for ``window_s``. Therefore the largest number of
    that time is the one to divide by.

    Example:
        ``entry_count.record(8, now)`` with each report of a replica, and
        ``entry_count.find_largest(now)``.
    """

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        #: Counts and since when, each followed by smaller ones only.
        self._counts: deque[tuple[float, int]] = deque()
        self._recorded_at = float("-inf")

    def record(self, count: int, now: float) -> None:
        """Record a count that a replica confirmed with the quorum."""
        self._recorded_at = now
        while self._counts and self._counts[-1][1] < count:
            self._counts.pop()
        if not self._counts or self._counts[-1][1] > count:
            self._counts.append((now, count))

    def is_current(self, now: float) -> bool:
        """Return whether a replica has lately confirmed the count."""
        return now - self._recorded_at <= COUNT_LIFETIME_S

    def find_largest(self, now: float) -> int:
        """Return the largest count of the window, this entry at least."""
        expiry = now - self.window_s - COUNT_DELAY_S
        while len(self._counts) > 1 and self._counts[1][0] < expiry:
            self._counts.popleft()
        return max(1, self._counts[0][1]) if self._counts else 1
