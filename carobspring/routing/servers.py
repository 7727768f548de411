"""What routing knows of one backend server."""

from dataclasses import dataclass, field

from carobspring.domain import BackendServer, LoadReport
from carobspring.routing.breaker import CircuitBreaker
from carobspring.routing.limits import RoutingLimits
from carobspring.routing.queries import PoolKey
from carobspring.routing.smoothing import SmoothedValue

#: Bounds of one observation of speed against the usual one.
MAX_SLOWNESS = 5.0
MIN_SLOWNESS = 0.2
SLOWNESS_SMOOTHING = 0.07
MIN_OBSERVATIONS = 4
#: Calls differ in length: below this the difference says nothing.
SLOWNESS_TOLERANCE = 1.3
DEFAULT_SERVICE_MS = 100.0


@dataclass(kw_only=True)
class OpenCall:
    """A call of this entry that is under way at a server."""

    service_class: str
    priority: int
    sent_at: float
    #: The wait that was expected when the server was chosen.
    wait_ms: float
    has_data: bool = False


@dataclass(kw_only=True)
class ServerRecord:
    """A backend server, its last report, and what this entry saw of it."""

    server: BackendServer
    limits: RoutingLimits
    breaker: CircuitBreaker
    pools: tuple[PoolKey, ...]
    load: LoadReport = field(default_factory=LoadReport)
    #: When the report came; zero before the first.
    load_received_at: float = 0.0
    #: Own open calls that the report may not show, and when they were sent.
    unreported: dict[str, float] = field(default_factory=dict)
    calls: dict[str, OpenCall] = field(default_factory=dict)
    open_by_priority: dict[int, int] = field(default_factory=dict)
    #: Own observed duration against the usual one of the class.
    slowness: SmoothedValue = field(
        default_factory=lambda: SmoothedValue(SLOWNESS_SMOOTHING)
    )

    def record_load(self, load: LoadReport, now: float) -> bool:
        """Take a report, unless it is older than the one that is held."""
        if self.load_received_at and load.sequence < self.load.sequence:
            return False
        self.load = load
        self.load_received_at = now
        shown_until = now - self.limits.report_lag_s
        shown = [
            name for name, sent_at in self.unreported.items() if sent_at < shown_until
        ]
        for name in shown:
            del self.unreported[name]
        return True

    def add_call(self, call_id: str, call: OpenCall) -> None:
        """Note that a call goes to this server."""
        self.calls[call_id] = call
        count = self.open_by_priority.get(call.priority, 0)
        self.open_by_priority[call.priority] = count + 1
        self.unreported[call_id] = call.sent_at

    def remove_call(self, call_id: str) -> OpenCall | None:
        """Note that a call ended and return what was known of it."""
        self.unreported.pop(call_id, None)
        call = self.calls.pop(call_id, None)
        if call is not None:
            self.open_by_priority[call.priority] -= 1
        return call

    def record_duration(self, ratio: float) -> None:
        """Note how long a call took against what is usual for its class."""
        self.slowness.observe(min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio)))

    def estimate_slowness(self, usual_ms: float, now: float) -> float:
        """Return how many times slower than usual the server seems.

        An open call that is long overdue counts before its end: a straggler
        shows here sooner than in any report.
        """
        slowness = 1.0
        if self.slowness.count >= MIN_OBSERVATIONS:
            slowness = self.slowness.value
        if usual_ms and self.calls:
            oldest = next(iter(self.calls.values()))
            open_ms = (now - oldest.sent_at) * 1000 - oldest.wait_ms
            if not oldest.has_data:
                overdue = open_ms / (usual_ms * self.limits.overdue_factor)
                slowness = max(slowness, min(MAX_SLOWNESS, overdue))
        return slowness if slowness > SLOWNESS_TOLERANCE else 1.0

    def estimate_calls_ahead(self, priority: int, now: float) -> float:
        """Return the calls that a new one of this priority is behind.

        The report is corrected by what must have drained since and by own
        sends; own open calls are a fact that no frozen report can hide.
        """
        load = self.load
        waiting = 0.0
        if load.waiting_by_priority:
            waiting = sum(
                count
                for tier, count in load.waiting_by_priority.items()
                if tier >= priority
            )
            if waiting and load.service_ms:
                age_ms = (now - self.load_received_at) * 1000
                waiting -= min(waiting, age_ms * load.limit / load.service_ms)
        own = sum(
            count for tier, count in self.open_by_priority.items() if tier >= priority
        )
        return max(load.running + waiting + len(self.unreported), float(own))

    def estimate_wait_ms(self, priority: int, service_ms: float, now: float) -> float:
        """Return the expected time until such a call would start."""
        limit = max(1, self.load.limit)
        behind = self.estimate_calls_ahead(priority, now) - limit + 1
        return max(0.0, behind) * service_ms / limit

    def find_lowest_priority(self) -> int | None:
        """Return the lowest tier that waits or runs here by the report."""
        tiers = [
            tier
            for counts in (self.load.waiting_by_priority, self.load.running_by_priority)
            for tier, count in (counts or {}).items()
            if count
        ]
        return min(tiers, default=None)
