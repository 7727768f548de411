"""Adaptive concurrency limit driven by observed latencies."""

#: Fraction of a first-token target that the backend server itself may use.
FIRST_TOKEN_FRACTION = 0.5
#: Latency ratio below which the limit may grow.
INCREASE_THRESHOLD = 0.7
#: Lowest weight of a new sample in the smoothed latency ratio.
SMOOTHING_WEIGHT = 0.2
INCREASE_INTERVAL_S = 1.0
DECREASE_INTERVAL_S = 2.0
DECREASE_FACTOR = 0.85
#: Fraction by which a decrease must lower the latency ratio to be effective.
MIN_IMPROVEMENT = 0.02
#: Seconds without decreases after several of them had no effect.
DECREASE_PAUSE_S = 30.0


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, by observed latencies.

    The latency ratio is an observed time divided by the time that the class
    allows for it. The limit is decreased while the smoothed ratio is above 1.
    It is increased while the ratio is well below 1 and the limit is used up,
    at most to the configured slots of the backend server: a call beyond them
    would queue in the engine, ahead of any higher-priority call that arrives
    later. When decreases don't lower the ratio, the backend server is slow by
    itself, and running fewer calls would only waste capacity. The limit is
    then reset to the slots and not decreased for a while.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._latency_ratio = 0.0
        self._samples = 0
        self._changed_at = float("-inf")
        self._decreases_paused_until = float("-inf")
        self._ratio_at_decrease: float | None = None
        self._ineffective_decreases = 0

    @property
    def value(self) -> int:
        """The current limit, at least one."""
        return max(1, int(self._limit))

    @property
    def latency_ratio(self) -> float:
        """The smoothed ratio of observed to allowed times."""
        return self._latency_ratio

    def add_sample(self, observed_s: float, allowed_s: float, *, now: float) -> None:
        """Add an observed time and the time that the call's class allows."""
        if allowed_s <= 0:
            return
        ratio = min(observed_s / allowed_s, 10.0)
        self._samples += 1
        weight = max(SMOOTHING_WEIGHT, 1 / self._samples)
        self._latency_ratio += weight * (ratio - self._latency_ratio)
        if self._latency_ratio > 1 and now >= self._decreases_paused_until:
            self._decrease(now)

    def record_saturation(self, *, now: float) -> None:
        """Increase the limit if a call waits for it and latencies allow it."""
        can_grow = self._samples > 0 and self._latency_ratio < INCREASE_THRESHOLD
        if can_grow and now - self._changed_at >= INCREASE_INTERVAL_S:
            self._limit = min(self._limit + 1, float(self._slots))
            self._changed_at = now
            self._ratio_at_decrease = None
            self._ineffective_decreases = 0

    def _decrease(self, now: float) -> None:
        if now - self._changed_at < DECREASE_INTERVAL_S:
            return
        before = self._ratio_at_decrease
        if before is not None and self._latency_ratio > before * (1 - MIN_IMPROVEMENT):
            self._ineffective_decreases += 1
        if self._ineffective_decreases >= 3:
            self._limit = float(max(self._slots, 1))
            self._decreases_paused_until = now + DECREASE_PAUSE_S
            self._ratio_at_decrease = None
            self._ineffective_decreases = 0
        else:
            self._ratio_at_decrease = self._latency_ratio
            self._limit = max(1.0, self._limit * DECREASE_FACTOR)
        self._changed_at = now
