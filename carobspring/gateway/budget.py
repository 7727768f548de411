"""This entry's share of the repeated sends that a service may get."""

from collections import deque
from collections.abc import Callable
from typing import Final

#: Part of the allowance that is used; the rest covers entries that count
#: each other late.
SAFE_SHARE: Final = 0.8


class RetryBudget:
    """Counts first and repeated sends to one service in a sliding window.

    All entries together may repeat ``share`` of requests and ``slack`` more
    in any window; each takes its part of the slack by their number.

    Example:
        ``budget.note_request(now)`` for each request, ``budget.spend(now)``
        before a repeated send.
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
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._forget(now)

    def try_spend(self, now: float) -> bool:
        """Count a repeated send if it may be made, and say whether it may."""
        self._forget(now)
        slack = self._slack / max(1, self._count_entries())
        allowed = SAFE_SHARE * (self._share * len(self._requests) + slack)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window_s:
                times.popleft()
