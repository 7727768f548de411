"""The constants of routing and the reasons for them."""

from dataclasses import dataclass

from carobspring.routing.errors import RoutingLimitError


@dataclass(frozen=True, kw_only=True)
class RoutingLimits:
    """Limits for sampling servers, estimating load and retrying."""

    #: Number of candidates sampled from the entry's own availability zone
    #: (near) and from all zones (far).
    near_samples: int = 2
    far_samples: int = 2
    #: Fraction of the time to first token that a cached prefix saves.
    prefix_saving_share: float = 0.6
    #: Load above which prefix affinity is ignored, as a fraction of the
    #: server's concurrency limit.
    affinity_max_load: float = 1.25
    #: Longest expected wait at which a call with an idempotency key still
    #: goes to its preferred server, where a resend finds it again.
    max_sticky_wait_ms: float = 2000.0
    #: Cost of a call to another zone in addition to its round trip.
    cross_zone_cost_ms: float = 1.0
    #: Round trip assumed for another zone before one is measured.
    default_round_trip_ms: float = 5.0
    #: Weight of a new observation in a moving average.
    smoothing: float = 0.2
    #: Age below which a sent call may be missing from a load report.
    report_lag_s: float = 0.05
    #: Multiple of the mean duration after which an open call without data
    #: marks its server as slow.
    overdue_factor: float = 3.0
    #: Retries earned by each new call, and the most that can accumulate.
    retry_share: float = 0.2
    retry_burst: float = 10.0
    #: Consecutive failures that open a circuit breaker, and its shortest and
    #: longest pause before a probe.
    breaker_failures: int = 2
    breaker_first_s: float = 0.5
    breaker_max_s: float = 8.0

    def __post_init__(self) -> None:
        self._check("near_samples", self.near_samples, 1, 16)
        self._check("far_samples", self.far_samples, 0, 16)
        self._check("smoothing", self.smoothing, 0.001, 1)
        self._check("retry_share", self.retry_share, 0, 1)
        self._check("breaker_failures", self.breaker_failures, 1, 100)
        self._check("breaker_first_s", self.breaker_first_s, 0.001, 60)

    def _check(self, name: str, value: float, low: float, high: float) -> None:
        if not low <= value <= high:
            expected = f"{low} to {high}"
            raise RoutingLimitError(name=name, value=value, expected=expected)
