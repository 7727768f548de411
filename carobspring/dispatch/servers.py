"""What the dispatcher knows about one backend server."""

from collections import OrderedDict
from dataclasses import dataclass

from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.memory import MemoryAccount
from carobspring.dispatch.notices import ServerNotice
from carobspring.dispatch.pacing import LocalPace
from carobspring.dispatch.queries import DispatchQuery
from carobspring.dispatch.speed import SmoothedSlowdown
from carobspring.domain import BackendServer, ServerLoad, ServiceKind
from carobspring.ports import RandomSource
from carobspring.protocol import EngineLoad
from carobspring.routing import CircuitBreaker, SmoothedValue


@dataclass(kw_only=True)
class InFlightRequest:
    """A request that this entry has sent and that has not ended."""

    query: DispatchQuery
    sent_at: float
    #: Prompt tokens that the server probably has to read.
    unread_tokens: float
    has_first_event: bool = False
    #: Time of the last event, or of sending while none has come.
    last_event_at: float = 0.0


class EventGapQuantile:
    """Estimates a high quantile of the gaps between a server's events."""

    def __init__(self, *, quantile: float, step_s: float) -> None:
        self._quantile = quantile
        self._step_s = step_s
        self.value_s = 0.0

    def observe(self, event_gap_s: float) -> None:
        """Move the estimate up after a longer gap, else down."""
        if event_gap_s > self.value_s:
            self.value_s += self._step_s * self._quantile
        else:
            decrease_s = self._step_s * (1.0 - self._quantile)
            self.value_s = max(0.0, self.value_s - decrease_s)


class ServerRecord:
    """A backend server, this entry's requests there and observations."""

    def __init__(
        self,
        *,
        server: BackendServer,
        limits: DispatchLimits,
        breaker: CircuitBreaker,
        notice: ServerNotice,
        random: RandomSource,
    ) -> None:
        self.server = server
        self.breaker = breaker
        self.notice = notice
        self.draining = False
        #: Whether it ever responded under its identifier.
        self.is_proven = False
        #: When it last answered, unless it failed since.
        self.answered_at = float("-inf")
        #: Requests a second that the server takes from all entries together,
        #: as its last response announced, or None.
        self.rate_limit: float | None = None
        #: Time before which the server takes no further request by its limit.
        self.blocked_until = float("-inf")
        self.local_pace = LocalPace(random=random)
        self.in_flight: dict[str, InFlightRequest] = {}
        self.event_gaps = EventGapQuantile(
            quantile=limits.event_gap_quantile, step_s=limits.event_gap_step_s
        )
        #: Service time at the usual speed of the server's host.
        self.service_time_s = SmoothedValue(limits.smoothing)
        self.slowdown = SmoothedSlowdown(limits=limits)
        self.memory = MemoryAccount()
        self._limits = limits
        self._reported_running = 0
        self._reported_waiting = 0
        self._reported_at = float("-inf")
        self._observed_wait_s = 0.0
        self._observed_at = float("-inf")
        self._engine_load: EngineLoad | None = None
        self._engine_load_at = float("-inf")
        #: This entry's requests that wait for admission, and their tokens.
        self.awaiting_admission: dict[str, int] = {}
        self._cached_parts: OrderedDict[str, float] = OrderedDict()

    @property
    def is_closing(self) -> bool:
        """Whether it takes no new requests for the rest of its start."""
        return self.draining or self.notice.is_leaving

    def is_blocked(self, now: float) -> bool:
        """Return whether the announced limit allows no request for now."""
        return self.rate_limit is not None and now < self.blocked_until

    @property
    def is_engine(self) -> bool:
        """Whether the server is a model engine."""
        return self.server.kind is ServiceKind.MODEL

    def record_load(self, load: ServerLoad, now: float) -> None:
        """Record the load that a response reported."""
        self._reported_running = load.running
        self._reported_waiting = load.waiting
        if load.slowdown is not None:
            self.slowdown.record(load.slowdown, now)
        self._reported_at = now

    def record_sent(self, query: DispatchQuery, unread: float, now: float) -> None:
        """Record a request that was sent, and the prompt parts it caches."""
        self.in_flight[query.request_id] = InFlightRequest(
            query=query, sent_at=now, unread_tokens=unread, last_event_at=now
        )
        if self.is_engine:
            self.memory.add(query)
        for part, _ in query.parts:
            self._cached_parts[part] = now
            self._cached_parts.move_to_end(part)
        while len(self._cached_parts) > self._limits.max_cached_parts:
            self._cached_parts.popitem(last=False)

    def remove_call(self, request_id: str) -> InFlightRequest | None:
        """Remove a request that has ended, and return it if it is known."""
        self.memory.remove(request_id)
        return self.in_flight.pop(request_id, None)

    def record_first_event(self, call: InFlightRequest, now: float) -> None:
        """Update the observed wait when a first event comes."""
        if call.has_first_event:
            return
        call.has_first_event = True
        call.last_event_at = now
        expected_s = self._limits.first_event_s
        expected_s += call.unread_tokens / self._limits.prefill_tokens_per_s
        wait_s = max(0.0, now - call.sent_at - expected_s)
        weight = self._limits.smoothing
        self._observed_wait_s = (
            self.estimate_observed_wait_s(now) * (1 - weight) + wait_s * weight
        )
        self._observed_at = now

    def record_service_time(self, duration_s: float, now: float) -> None:
        """Record how long an answered request took.

        The current slowdown is divided out, since predictions multiply by it.
        """
        self.service_time_s.observe(duration_s / self.slowdown.estimate(now))

    def record_engine_load(self, load: EngineLoad, now: float) -> None:
        """Record the load that the admission controller reported."""
        self._engine_load = load
        self._engine_load_at = now

    def estimate_backlog_s(self, rank: int, now: float) -> float | None:
        """Return the wait behind the reported load; None if it is too old."""
        load = self._engine_load
        if (
            load is None
            or now - self._engine_load_at > self._limits.max_engine_load_age_s
        ):
            return None
        waiting = load.waiting_tokens or {}
        tokens = load.reading_tokens
        tokens += sum(count for key, count in waiting.items() if key <= rank)
        tokens += sum(self.awaiting_admission.values())
        rate = max(1.0, load.tokens_per_s)
        return max(0.0, tokens / rate - (now - self._engine_load_at))

    def estimate_silence_s(self, now: float) -> float:
        """Return how long the most overdue request of this entry is silent.

        Zero while every request is within its allowed time. This shows that a
        server hangs or is cut off before any of its connections ends.
        """
        limits = self._limits
        longest = 0.0
        for call in self.in_flight.values():
            allowed_s = limits.allowed_silence_s
            if not call.has_first_event:
                allowed_s += call.unread_tokens / limits.prefill_tokens_per_s
            longest = max(longest, now - call.last_event_at - allowed_s)
        return longest

    def estimate_observed_wait_s(self, now: float) -> float:
        """Return the wait that first events showed, less the time since."""
        return max(0.0, self._observed_wait_s - (now - self._observed_at))

    def count_unread_tokens(self, query: DispatchQuery, now: float) -> int:
        """Return the prompt tokens that the server would have to read.

        A part counts as cached only if all parts before it are cached too.
        """
        cached = 0
        for part, tokens in query.parts:
            cached_at = self._cached_parts.get(part)
            if cached_at is None or now - cached_at > self._limits.cached_part_ttl_s:
                break
            cached += tokens
        return max(0, query.prompt_tokens - cached)

    def has_cached_shared_parts(self, query: DispatchQuery, now: float) -> bool:
        """Return whether this entry recently sent the last shared part."""
        last = query.parts[-2:-1] or query.parts
        return all(
            now - self._cached_parts.get(part, float("-inf"))
            <= self._limits.cached_part_ttl_s
            for part, _ in last
        )

    def estimate_running(self, now: float) -> int:
        """Return how many requests of all entries run or wait there."""
        own = len(self.in_flight)
        if now - self._reported_at > self._limits.max_load_age_s:
            return own
        sent_since_report = sum(
            call.sent_at > self._reported_at for call in self.in_flight.values()
        )
        return max(
            own, self._reported_running + self._reported_waiting + sent_since_report
        )

    def count_unanswered(self) -> int:
        """Return this entry's requests that have got no event or response."""
        return sum(not call.has_first_event for call in self.in_flight.values())

    def count_backlog_tokens(self) -> float:
        """Return the unread tokens of requests without a first event."""
        calls = self.in_flight.values()
        return sum(call.unread_tokens for call in calls if not call.has_first_event)
