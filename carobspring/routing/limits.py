"""The constants of routing, in one place with their reasons."""

from dataclasses import dataclass

from carobspring.routing.errors import RoutingLimitError


@dataclass(frozen=True, kw_only=True)
class RoutingLimits:
    """How routing samples, trusts and retries."""

    #: Candidates drawn from the entry's own zone, and from all zones.
    near_samples: int = 2
    far_samples: int = 2
    #: Part of the time to the first token that a cached prefix saves.
    prefix_saving_share: float = 0.6
    #: Load, as a part of the limit, above which affinity counts for nothing.
    affinity_max_load: float = 1.25
    #: Wait that a keyed call accepts to be found again by a resend, in ms.
    max_sticky_wait_ms: float = 2000.0
    #: What a call to another zone costs beside its round trip, in ms.
    cross_zone_cost_ms: float = 1.0
    #: Round trip assumed for a zone that none is known of, in ms.
    default_round_trip_ms: float = 5.0
    #: Weight of a new observation in a smoothed one.
    smoothing: float = 0.2
    #: A report may miss the sends of its last moments, in seconds.
    report_lag_s: float = 0.05
    #: Times the usual duration after which an open call is a bad sign.
    overdue_factor: float = 3.0
    #: Retries allowed for each call that comes in, and kept in store.
    retry_share: float = 0.2
    retry_burst: float = 10.0
    #: Failures in a row that open a circuit breaker.
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
