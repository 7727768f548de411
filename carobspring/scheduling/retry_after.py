"""When it is worth asking again: the measured drain, spread out."""

import math

from carobspring.ports import RandomSource

MEMORY_S = 10.0
MIN_RETRY_S = 0.25
MAX_RETRY_S = 60.0
#: Part by which an advice is drawn later at random.
SPREAD = 0.25


class CompletionRate:
    """Calls that end each second, with older ones fading."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._at: float | None = None
        self._began = 0.0

    def add(self, now: float) -> None:
        """Take in that a call ended."""
        if self._at is None:
            self._began = now
        self._weight = self._fade(now) + 1.0
        self._at = now

    def read(self, now: float) -> float:
        """Return calls a second; zero when too little was seen."""
        span = MEMORY_S * (1 - math.exp(-(now - self._began) / MEMORY_S))
        if self._at is None or span < 0.5:
            return 0.0
        return self._fade(now) / span

    def _fade(self, now: float) -> float:
        if self._at is None:
            return 0.0
        return self._weight * math.exp(-(now - self._at) / MEMORY_S)


class RetryAdvisor:
    """Tells refused callers when to come back, one after the other.

    Each advice takes the next place behind the calls that wait and the
    callers that were sent away before, at the rate at which calls end; so the
    callers come back about as fast as the agent can take them. A random part
    keeps those of several agents apart.
    """

    def __init__(self, *, random: RandomSource) -> None:
        self._random = random
        self._places: dict[int, float] = {}

    def advise(self, priority: int, *, ahead: int, rate: float, now: float) -> int:
        """Return milliseconds until it is worth asking again.

        Args:
            priority: The tier of the refused call.
            ahead: Calls of this tier and those above that wait.
            rate: Calls that end each second.
            now: The time.
        """
        rate = max(rate, 1 / MAX_RETRY_S)
        place = max(now + ahead / rate, self._places.get(priority, 0.0)) + 1 / rate
        place = min(place, now + MAX_RETRY_S)
        self._places[priority] = place
        wait_s = max(place - now, MIN_RETRY_S)
        wait_s *= 1 + SPREAD * self._random.draw_uniform()
        return round(wait_s * 1000)
