"""A circuit breaker with probes, one for each backend server."""

from enum import Enum

from carobspring.routing.limits import RoutingLimits


class BreakerState(Enum):
    """Whether a backend server receives calls."""

    CLOSED = "closed"
    OPEN = "open"
    #: Half-open: one call at a time is let through as a probe.
    PROBING = "probing"


class CircuitBreaker:
    """Stops calls to a failing server and probes it again after a pause.

    Several consecutive failures open the breaker, and so does a single
    failure that shows the server to be unreachable. Each failed probe doubles
    the pause, up to a maximum.
    """

    def __init__(self, limits: RoutingLimits) -> None:
        self._limits = limits
        self._failures = 0
        self._pause_s = limits.breaker_first_s
        self.state = BreakerState.CLOSED
        self.probe_at = 0.0

    def record_success(self) -> None:
        """Record that the server responded."""
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._pause_s = self._limits.breaker_first_s

    def record_failure(self, now: float, jitter: float, open_immediately: bool) -> None:
        """Record that the server failed.

        Args:
            now: The current time, in monotonic seconds.
            jitter: A random number from [0, 1) that lengthens the pause, so
                that several entries don't probe at the same time.
            open_immediately: Whether this failure opens the breaker by
                itself, as when nothing responds at the address.
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
        """Let one call at a time through, if the breaker is open."""
        if self.state is BreakerState.OPEN:
            self.state = BreakerState.PROBING
