"""The retry budget: retries are a share of calls, so they can't pile up."""

from carobspring.routing.limits import RoutingLimits


class RetryBudget:
    """A token bucket that fresh calls fill and retries empty.

    With a share of 0.2, agents see at most 1.2 times the calls that callers
    make, plus a store for single faults, however many calls fail.
    """

    def __init__(self, limits: RoutingLimits) -> None:
        self._share = limits.retry_share
        self._store = limits.retry_burst
        self.tokens = limits.retry_burst

    def record_call(self) -> None:
        """Note a fresh call."""
        self.tokens = min(self._store, self.tokens + self._share)

    def spend(self) -> bool:
        """Take one retry, if there is one to take."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
