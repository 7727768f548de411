"""Slots that lower tiers leave free for bursts of higher ones."""

from collections import deque

#: A burst is what arrives within this time.
BURST_S = 0.25
HALF_LIFE_S = 30.0
MAX_SHARE = 0.5


class ArrivalPeak:
    """The largest burst of one tier of late, fading with time."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._peak = 0.0
        self._peak_at = 0.0

    def add(self, now: float) -> None:
        """Take in an arrival."""
        self._recent.append(now)
        while now - self._recent[0] > BURST_S:
            self._recent.popleft()
        self._peak = max(self.read(now), float(len(self._recent)))
        self._peak_at = now

    def read(self, now: float) -> float:
        """Return the peak as faded until now."""
        return self._peak * float(0.5 ** ((now - self._peak_at) / HALF_LIFE_S))


class Headroom:
    """Learns from arrivals how many slots each tier should find free.

    What the tiers above need is their largest recent burst, less the slots
    that come free by themselves while a burst can wait. So nothing is held
    back when calls are short, or when no higher call has come of late.
    """

    def __init__(self) -> None:
        self._peaks: dict[int, ArrivalPeak] = {}

    def note_arrival(self, priority: int, *, now: float) -> None:
        """Take in a call of a tier that has a target."""
        self._peaks.setdefault(priority, ArrivalPeak()).add(now)

    def find_reserve(
        self, priority: int, *, limit: int, service_s: float, now: float
    ) -> int:
        """Return the slots that calls of this priority have to leave free."""
        peak = max(
            (peak.read(now) for tier, peak in self._peaks.items() if tier > priority),
            default=0.0,
        )
        if peak < 0.5 or service_s <= 0:
            return 0
        freed = limit / service_s * BURST_S
        return max(0, min(round(peak - freed), int(limit * MAX_SHARE)))
