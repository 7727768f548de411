"""The share of a service's retry budget that one entry may use."""

from collections import deque
from typing import Final

from carobspring.gateway.entry_count import COUNT_DELAY_S, EntryCount

#: Fraction of the budget that is used.
USED_FRACTION: Final = 0.8
#: Fraction of the slack for entries that have just started. Together with what
#: the processes before them may have used it is the whole slack.
STARTING_FRACTION: Final = 0.2


class RetryBudget:
    """Limits retries to one service by its requests in a sliding window.

    In any window, all entries together may retry the fraction ``share`` of
    their requests and ``slack`` more. Each entry gets an equal part of the
    slack, but none of it while it can't know how many share it, and little in
    the first window after its start: the process before it may have used the
    part, and the others do not know of it yet.

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
        entry_count: EntryCount,
        started_at: float,
    ) -> None:
        self._share = share
        self._slack = slack
        self._window_s = window_s
        self._entry_count = entry_count
        self._slack_from = started_at + window_s + COUNT_DELAY_S
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._drop_expired(now)

    def try_spend(self, now: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        self._drop_expired(now)
        shared = USED_FRACTION * self._share * len(self._requests)
        if len(self._retries) + 1 > shared + self._compute_slack(now):
            return False
        self._retries.append(now)
        return True

    def _compute_slack(self, now: float) -> float:
        """Return this entry's part of the slack, as far as it is known."""
        if not self._entry_count.is_current(now):
            return 0.0
        fraction = USED_FRACTION if now >= self._slack_from else STARTING_FRACTION
        return fraction * self._slack / self._entry_count.find_largest(now)

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window_s:
                times.popleft()
