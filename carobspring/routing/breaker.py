"""A circuit breaker with probing, one for each backend server."""

from enum import Enum

from carobspring.routing.limits import RoutingLimits


class BreakerState(Enum):
    """Whether a backend server is given calls."""

    CLOSED = "closed"
    OPEN = "open"
    #: One call at a time is let through, to see how it fares.
    PROBING = "probing"


class CircuitBreaker:
    """Keeps calls from a server that fails, and tries it again later.

    Failures in a row open it; so does a single one when nothing answers at
    the address. Each failed probe doubles the pause, up to a bound.
    """

    def __init__(self, limits: RoutingLimits) -> None:
        self._limits = limits
        self._failures = 0
        self._pause_s = limits.breaker_first_s
        self.state = BreakerState.CLOSED
        self.probe_at = 0.0

    def record_success(self) -> None:
        """Note that the server answered."""
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._pause_s = self._limits.breaker_first_s

    def record_failure(self, now: float, jitter: float, open_immediately: bool) -> None:
        """Note that the server failed.

        Args:
            now: The time.
            spread: From [0, 1): keeps entries from probing all at once.
            certain: True when nothing answers at the address.
        """
        self._failures += 1
        enough = open_immediately or self._failures >= self._limits.breaker_failures
        if self.state is BreakerState.OPEN:
            return
        if self.state is BreakerState.PROBING or enough:
            self.state = BreakerState.OPEN
            self.probe_at = now + self._pause_s * (1.0 + 0.5 * jitter)
            longest = self._limits.breaker_max_s
            self._pause_s = min(longest, self._pause_s * 2)

    def start_probing(self) -> None:
        """Let single calls through."""
        if self.state is BreakerState.OPEN:
            self.state = BreakerState.PROBING
