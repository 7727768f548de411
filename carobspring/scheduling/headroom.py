"""Slots that lower priorities leave free for bursts of higher ones."""

from collections import deque

#: Arrivals within this time count as one burst.
BURST_WINDOW_S = 0.25
PEAK_HALF_LIFE_S = 30.0
#: Fraction of its target that a burst may wait for slots to become free.
BURST_WAIT_FRACTION = 0.5


class ArrivalPeak:
    """The largest recent burst of one priority, decaying over time."""

    def __init__(self) -> None:
        #: Target in seconds of the priority's most recent call.
        self.target_s = 0.0
        self._recent: deque[float] = deque()
        self._peak = 0.0
        self._peak_at = 0.0

    def add(self, now: float) -> None:
        """Record an arrival."""
        self._recent.append(now)
        while now - self._recent[0] > BURST_WINDOW_S:
            self._recent.popleft()
        self._peak = max(self.read(now), float(len(self._recent)))
        self._peak_at = now

    def read(self, now: float) -> float:
        """Return the decayed peak, in calls."""
        return self._peak * float(0.5 ** ((now - self._peak_at) / PEAK_HALF_LIFE_S))


class Headroom:
    """Learns from arrivals how many slots to keep free for each priority.

    Higher priorities need their largest recent burst, less the slots that
    become free by themselves while a burst can wait. Nothing is reserved when
    calls are short or when no higher-priority call arrived recently. At most
    ``max_share`` of the limit is kept free.
    """

    def __init__(self, *, max_share: float) -> None:
        self._max_share = max_share
        self._peaks: dict[int, ArrivalPeak] = {}

    def record_arrival(self, priority: int, *, target_s: float, now: float) -> None:
        """Record the arrival of a call that has a target."""
        peak = self._peaks.setdefault(priority, ArrivalPeak())
        peak.target_s = target_s
        peak.add(now)

    def compute_reserve(
        self, priority: int, *, limit: int, service_s: float, now: float
    ) -> int:
        """Return the slots that calls of this priority have to leave free."""
        if service_s <= 0:
            return 0
        freed_per_second = limit / service_s
        needs = (
            peak.read(now) - freed_per_second * peak.target_s * BURST_WAIT_FRACTION
            for peak_priority, peak in self._peaks.items()
            if peak_priority > priority
        )
        need = max(needs, default=0.0)
        return max(0, min(round(need), int(limit * self._max_share)))
