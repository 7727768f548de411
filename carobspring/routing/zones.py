"""Round trips to each zone, as learned from connections."""

from carobspring.routing.limits import RoutingLimits
from carobspring.routing.smoothing import SmoothedValue


class ZoneLatencies:
    """Knows what it costs to reach a zone from the entry's own."""

    def __init__(self, *, zone: str, limits: RoutingLimits) -> None:
        self.zone = zone
        self._limits = limits
        self._round_trips: dict[str, SmoothedValue] = {}

    def record_round_trip(self, zone: str, round_trip_ms: float) -> None:
        """Take a measured round trip to a server of this zone."""
        if zone not in self._round_trips:
            self._round_trips[zone] = SmoothedValue(self._limits.smoothing)
        self._round_trips[zone].observe(round_trip_ms)

    def estimate_cost_ms(self, zone: str) -> float:
        """Return the time that a call to this zone loses on the way.

        A call needs one round trip to start; another zone's traffic costs a
        little besides, so that equal servers near by go first.
        """
        known = self._round_trips.get(zone)
        if zone == self.zone:
            return known.value if known else 0.0
        round_trip_ms = known.value if known else self._limits.default_round_trip_ms
        return round_trip_ms + self._limits.cross_zone_cost_ms
