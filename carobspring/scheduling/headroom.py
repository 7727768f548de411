"""Slots that lower tiers leave free for bursts of higher ones."""

from collections import deque

#: A burst is what arrives within this time.
BURST_S = 0.25
HALF_LIFE_S = 30.0
#: Part of its target that a burst may wait for slots that come free.
WAIT_SHARE = 0.5


class ArrivalPeak:
    """The largest burst of one tier of late, fading with time."""

    def __init__(self) -> None:
        #: Seconds of the class's target, as last seen.
        self.target_s = 0.0
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
    back when calls are short, or when no higher call has come of late. At
    most ``max_share`` of the limit is kept free.
    """

    def __init__(self, *, max_share: float) -> None:
        self._max_share = max_share
        self._peaks: dict[int, ArrivalPeak] = {}

    def note_arrival(self, priority: int, *, target_s: float, now: float) -> None:
        """Take in a call of a tier that has a target."""
        peak = self._peaks.setdefault(priority, ArrivalPeak())
        peak.target_s = target_s
        peak.add(now)

    def find_reserve(
        self, priority: int, *, limit: int, service_s: float, now: float
    ) -> int:
        """Return the slots that calls of this priority have to leave free."""
        if service_s <= 0:
            return 0
        freed_a_second = limit / service_s
        needs = (
            peak.read(now) - freed_a_second * peak.target_s * WAIT_SHARE
            for tier, peak in self._peaks.items()
            if tier > priority
        )
        need = max(needs, default=0.0)
        return max(0, min(round(need), int(limit * self._max_share)))
