"""A retry budget that limits retries to a share of calls."""

from carobspring.routing.limits import RoutingLimits


class RetryBudget:
    """A token bucket that new calls fill and retries drain.

    With a share of 0.2, agents receive at most 1.2 times the calls that
    callers make, plus a burst for isolated faults, however many calls fail.
    """

    def __init__(self, limits: RoutingLimits) -> None:
        self._share = limits.retry_share
        self._capacity = limits.retry_burst
        self.tokens = limits.retry_burst

    def record_call(self) -> None:
        """Add the tokens for a new call."""
        self.tokens = min(self._capacity, self.tokens + self._share)

    def spend(self) -> bool:
        """Take the token for one retry; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
