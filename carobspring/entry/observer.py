"""Forwarding observations about agent connections to routing."""

from carobspring.domain import BackendServer
from carobspring.entry.call_stream import ConnectionObserver
from carobspring.ports import Clock
from carobspring.routing import Router


class RouterObserver(ConnectionObserver):
    """Records round trips and broken streams in the router."""

    def __init__(self, *, router: Router, clock: Clock) -> None:
        self._router = router
        self._clock = clock

    def record_round_trip(self, server: BackendServer, round_trip_ms: float) -> None:
        """Record the round trip measured when a connection is opened."""
        self._router.zones.record_round_trip(server.zone, round_trip_ms)

    def record_broken_stream(self, server: BackendServer) -> None:
        """Record a stream that broke or timed out."""
        now = self._clock.read_monotonic()
        self._router.record_broken_stream(server.server_id, now)
