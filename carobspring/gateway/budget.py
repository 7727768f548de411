"""The share of a service's retry budget that one entry may use."""

from collections import deque
from collections.abc import Callable
from typing import Final

#: Fraction of the budget that is used. The rest allows for entries that learn
#: late that other entries were added.
USED_FRACTION: Final = 0.8


class RetryBudget:
    """Limits retries to one service by its requests in a sliding window.

    In any window, all entries together may retry the fraction ``share`` of
    their requests and ``slack`` more. Each entry gets an equal part of the
    slack.

    Example:
        ``budget.record_request(now)`` for each request, and
        ``budget.try_spend(now)`` before each retry.
    """

    def __init__(
        self,
        *,
        share: float,
        slack: float,
        window_s: float,
        count_entries: Callable[[], int],
    ) -> None:
        self._share = share
        self._slack = slack
        self._window_s = window_s
        self._count_entries = count_entries
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._drop_expired(now)

    def try_spend(self, now: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        self._drop_expired(now)
        slack = self._slack / max(1, self._count_entries())
        allowed = USED_FRACTION * (self._share * len(self._requests) + slack)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window_s:
                times.popleft()
