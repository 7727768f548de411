"""Retry-after times for refused calls, from the completion rate."""

import math

from carobspring.ports import RandomSource

#: Time constant of the exponential decay of the completion rate.
RATE_TIME_CONSTANT_S = 10.0
MIN_RETRY_S = 0.25
MAX_RETRY_S = 60.0
#: Largest random delay, as a fraction of the retry time.
JITTER_FRACTION = 0.25


class CompletionRate:
    """Exponentially decaying rate of calls that end, per second."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._updated_at: float | None = None
        self._first_at = 0.0

    def add(self, now: float) -> None:
        """Record the end of a call."""
        if self._updated_at is None:
            self._first_at = now
        self._weight = self._decay(now) + 1.0
        self._updated_at = now

    def read(self, now: float) -> float:
        """Return calls per second, or zero when data is insufficient."""
        weight_span_s = RATE_TIME_CONSTANT_S * (
            1 - math.exp(-(now - self._first_at) / RATE_TIME_CONSTANT_S)
        )
        if self._updated_at is None or weight_span_s < 0.5:
            return 0.0
        return self._decay(now) / weight_span_s

    def _decay(self, now: float) -> float:
        if self._updated_at is None:
            return 0.0
        return self._weight * math.exp(-(now - self._updated_at) / RATE_TIME_CONSTANT_S)


class RetryAdvisor:
    """Assigns refused callers successive times at which to retry.

    Each caller gets the next position behind the waiting calls and the
    callers refused before it, spaced by the completion rate, so that retries
    arrive about as fast as the agent can accept them. Random jitter keeps the
    callers of different agents from retrying together.
    """

    def __init__(self, *, random: RandomSource) -> None:
        self._random = random
        #: Time of the last assigned retry, by priority.
        self._last_retry_at: dict[int, float] = {}

    def advise(self, priority: int, *, ahead: int, rate: float, now: float) -> int:
        """Return the milliseconds after which the caller should retry.

        Args:
            priority: Priority of the refused call.
            ahead: Number of waiting calls of this priority or a higher one.
            rate: Calls that end per second.
            now: The current time.
        """
        rate = max(rate, 1 / MAX_RETRY_S)
        retry_at = (
            max(now + ahead / rate, self._last_retry_at.get(priority, 0.0)) + 1 / rate
        )
        retry_at = min(retry_at, now + MAX_RETRY_S)
        self._last_retry_at[priority] = retry_at
        wait_s = max(retry_at - now, MIN_RETRY_S)
        wait_s *= 1 + JITTER_FRACTION * self._random.draw_uniform()
        return round(wait_s * 1000)
