"""Telling routing what following calls shows of the way to agents."""

from carobspring.domain import BackendServer
from carobspring.entry.call_stream import ConnectionObserver
from carobspring.ports import Clock
from carobspring.routing import Router


class RouterObserver(ConnectionObserver):
    """Passes on round trips and silences."""

    def __init__(self, *, router: Router, clock: Clock) -> None:
        self._router = router
        self._clock = clock

    def record_round_trip(self, server: BackendServer, round_trip_ms: float) -> None:
        """Take a measured round trip; called for each new connection."""
        self._router.zones.record_round_trip(server.zone, round_trip_ms)

    def record_broken_stream(self, server: BackendServer) -> None:
        """Take a stream that broke or went silent; called for each."""
        now = self._clock.read_monotonic()
        self._router.record_broken_stream(server.server_id, now)
