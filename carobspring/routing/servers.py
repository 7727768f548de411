"""The routing state of one backend server."""

from dataclasses import dataclass, field

from carobspring.domain import BackendServer, LoadReport
from carobspring.routing.breaker import CircuitBreaker
from carobspring.routing.limits import RoutingLimits
from carobspring.routing.queries import PoolKey
from carobspring.routing.smoothing import SmoothedValue

#: Bounds of one observed duration, relative to the mean of its class.
MAX_SLOWNESS = 5.0
MIN_SLOWNESS = 0.2
SLOWNESS_SMOOTHING = 0.07
#: Observations needed before the average slowness of a server is used.
MIN_OBSERVATIONS = 4
#: Slowness up to which a server counts as normal. Calls differ in length, so
#: a smaller difference is not significant.
SLOWNESS_TOLERANCE = 1.3
#: Service time assumed for a pool that has not reported one.
DEFAULT_SERVICE_MS = 100.0


@dataclass(kw_only=True)
class OpenCall:
    """A call that this entry has sent to a server and that has not ended."""

    service_class: str
    priority: int
    sent_at: float
    #: The expected wait at the time the server was chosen.
    wait_ms: float
    has_data: bool = False


@dataclass(kw_only=True)
class ServerRecord:
    """A backend server, its last load report and this entry's own calls."""

    server: BackendServer
    limits: RoutingLimits
    breaker: CircuitBreaker
    pools: tuple[PoolKey, ...]
    load: LoadReport = field(default_factory=LoadReport)
    #: When the load report was received; zero before the first.
    load_received_at: float = 0.0
    #: Send times of open calls of this entry that the load report may not
    #: include, by call identifier.
    unreported: dict[str, float] = field(default_factory=dict)
    calls: dict[str, OpenCall] = field(default_factory=dict)
    open_by_priority: dict[int, int] = field(default_factory=dict)
    #: Durations observed by this entry, relative to the mean of the class.
    slowness: SmoothedValue = field(
        default_factory=lambda: SmoothedValue(SLOWNESS_SMOOTHING)
    )

    def record_load(self, load: LoadReport, now: float) -> bool:
        """Store a load report; return False if it is older than the last."""
        if self.load_received_at and load.sequence < self.load.sequence:
            return False
        self.load = load
        self.load_received_at = now
        reported_before = now - self.limits.report_lag_s
        reported = [
            name
            for name, sent_at in self.unreported.items()
            if sent_at < reported_before
        ]
        for name in reported:
            del self.unreported[name]
        return True

    def add_call(self, call_id: str, call: OpenCall) -> None:
        """Add a call that is sent to this server."""
        self.calls[call_id] = call
        count = self.open_by_priority.get(call.priority, 0)
        self.open_by_priority[call.priority] = count + 1
        self.unreported[call_id] = call.sent_at

    def remove_call(self, call_id: str) -> OpenCall | None:
        """Remove a call that ended and return it, or None if unknown."""
        self.unreported.pop(call_id, None)
        call = self.calls.pop(call_id, None)
        if call is not None:
            self.open_by_priority[call.priority] -= 1
        return call

    def record_duration(self, ratio: float) -> None:
        """Record a call's duration as a ratio to the mean of its class."""
        self.slowness.observe(min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio)))

    def estimate_slowness(self, mean_ms: float, now: float) -> float:
        """Return how many times slower than average the server appears.

        An open call that is long overdue counts before it ends, so that a
        straggler is detected earlier than through any load report.
        """
        slowness = 1.0
        if self.slowness.count >= MIN_OBSERVATIONS:
            slowness = self.slowness.value
        if mean_ms and self.calls:
            oldest = next(iter(self.calls.values()))
            open_ms = (now - oldest.sent_at) * 1000 - oldest.wait_ms
            if not oldest.has_data:
                overdue = open_ms / (mean_ms * self.limits.overdue_factor)
                slowness = max(slowness, min(MAX_SLOWNESS, overdue))
        return slowness if slowness > SLOWNESS_TOLERANCE else 1.0

    def estimate_calls_ahead(self, priority: int, now: float) -> float:
        """Return the number of calls ahead of a new one of this priority.

        Only calls of the same or a higher priority count. The reported queue
        is reduced by the calls that must have started since the report and
        increased by calls sent since. The result is never below this entry's
        own open calls, since a frozen server may keep reporting an old load.
        """
        load = self.load
        waiting = 0.0
        if load.waiting_by_priority:
            waiting = sum(
                count
                for level, count in load.waiting_by_priority.items()
                if level >= priority
            )
            if waiting and load.service_ms:
                age_ms = (now - self.load_received_at) * 1000
                waiting -= min(waiting, age_ms * load.limit / load.service_ms)
        own = sum(
            count for level, count in self.open_by_priority.items() if level >= priority
        )
        return max(load.running + waiting + len(self.unreported), float(own))

    def estimate_wait_ms(self, priority: int, service_ms: float, now: float) -> float:
        """Return the expected time until a new call would start."""
        limit = max(1, self.load.limit)
        ahead = self.estimate_calls_ahead(priority, now) - limit + 1
        return max(0.0, ahead) * service_ms / limit

    def find_lowest_priority(self) -> int | None:
        """Return the lowest priority waiting or running, per the report."""
        priorities = [
            level
            for counts in (self.load.waiting_by_priority, self.load.running_by_priority)
            for level, count in (counts or {}).items()
            if count
        ]
        return min(priorities, default=None)
