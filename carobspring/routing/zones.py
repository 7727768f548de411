"""Round-trip times to each availability zone, measured on connections."""

from carobspring.routing.limits import RoutingLimits
from carobspring.routing.smoothing import SmoothedValue


class ZoneLatencies:
    """Estimates the cost of reaching each zone from the entry's own."""

    def __init__(self, *, zone: str, limits: RoutingLimits) -> None:
        self.zone = zone
        self._limits = limits
        self._round_trips: dict[str, SmoothedValue] = {}

    def record_round_trip(self, zone: str, round_trip_ms: float) -> None:
        """Record a measured round trip to a server in a zone."""
        if zone not in self._round_trips:
            self._round_trips[zone] = SmoothedValue(self._limits.smoothing)
        self._round_trips[zone].observe(round_trip_ms)

    def estimate_cost_ms(self, zone: str) -> float:
        """Return the network time that a call to a zone costs.

        A call needs one round trip to start. Another zone costs a little
        extra, so that servers in the entry's zone are preferred among equals.
        """
        smoothed = self._round_trips.get(zone)
        if zone == self.zone:
            return smoothed.value if smoothed else 0.0
        round_trip_ms = (
            smoothed.value if smoothed else self._limits.default_round_trip_ms
        )
        return round_trip_ms + self._limits.cross_zone_cost_ms
