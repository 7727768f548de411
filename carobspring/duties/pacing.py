"""The rate of calls to the provider, and the delay after failed ones."""

from typing import Final

from carobspring.ports import RandomSource

#: Part of the calls that the provider accepts from all daemons together. The
#: rest is for calls of an earlier holder that still arrive.
RATE_SHARE: Final = 0.5
FIRST_DELAY_S: Final = 0.25
MAX_DELAY_S: Final = 2.0


class CallPacing:
    """Decides when the next call may begin.

    It answers a provider that refuses or does not respond: each failure
    doubles the delay, with jitter.
    """

    def __init__(self, *, calls_per_s: float, random: RandomSource) -> None:
        self._interval_s = 1.0 / max(calls_per_s * RATE_SHARE, 0.1)
        self._random = random
        self._delay_s = 0.0
        self._next_at = float("-inf")

    def may_call(self, now: float) -> bool:
        """Return whether a call may begin now."""
        return now >= self._next_at

    def record_call(self, now: float, *, accepted: bool) -> None:
        """Record a call that has ended."""
        if accepted:
            self._delay_s = 0.0
            self._next_at = now + self._interval_s
            return
        self._delay_s = min(max(self._delay_s * 2, FIRST_DELAY_S), MAX_DELAY_S)
        jitter = 0.75 + 0.5 * self._random.draw_uniform()
        self._next_at = now + max(self._interval_s, self._delay_s * jitter)
