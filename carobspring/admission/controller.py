"""Admission control of the prompts that one engine reads.

Long prompts may arrive faster than the engine reads them. An engine reads all
prompts that it has at the same time, so that all of them would become late
together. The controller admits only as many as keep the engine busy, ordered
by rank and due time, and rejects at once those that can't be served in time.
The RPC service, metrics and log fields call it a gate.
"""

from dataclasses import dataclass

from carobspring.admission.limits import AdmissionLimits
from carobspring.admission.rate import ArrivalRate, ReadingRate
from carobspring.protocol import AdmissionDecision, AdmissionRequest, EngineLoad

#: An entry's name and a request's identifier.
RequestKey = tuple[str, str]


@dataclass(kw_only=True)
class WaitingRequest:
    """A request that waits to be admitted."""

    key: RequestKey
    rank: int
    tokens: int
    queued_at: float
    #: Monotonic time after which its first event is late.
    due_at: float
    #: Monotonic time after which its caller no longer waits.
    deadline: float
    #: True once its first event can no longer be in time.
    is_late: bool = False

    @property
    def sort_key(self) -> tuple[int, bool, float]:
        """Rank first, then requests in time, then the earliest due time."""
        return self.rank, self.is_late, self.due_at


@dataclass(frozen=True, kw_only=True)
class AdmittedRequest:
    """A request that was admitted and whose prompt is not read yet."""

    tokens: int
    admitted_at: float


@dataclass(frozen=True, kw_only=True)
class EntryDecision:
    """A decision and the entry that it is for."""

    entry: str
    decision: AdmissionDecision
    #: Rank and prompt tokens of the request, for the log.
    rank: int = 0
    tokens: int = 0


class AdmissionController:
    """Decides on the requests to one engine; does no input or output.

    Every call that may admit or reject requests returns those decisions. A
    request without a decision waits.

    Example:
        ``controller.submit("entry-1", admission_request, now)``, later
        ``controller.release("entry-1", "request-1", now)``.
    """

    def __init__(self, *, limits: AdmissionLimits | None = None) -> None:
        self._limits = limits or AdmissionLimits()
        self._waiting: dict[RequestKey, WaitingRequest] = {}
        self._admitted: dict[RequestKey, AdmittedRequest] = {}
        self._rate = ReadingRate(limits=self._limits)
        self._arrivals = ArrivalRate(limits=self._limits)
        self._updated_at: float | None = None

    @property
    def waiting_count(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def find_waiting_entries(self) -> set[str]:
        """Return the entries whose requests wait."""
        return {entry for entry, _ in self._waiting}

    @property
    def tokens_per_s(self) -> float:
        """Estimated prompt tokens that the engine reads in a second."""
        return self._rate.tokens_per_s

    @property
    def reading_tokens(self) -> int:
        """Prompt tokens admitted and not known to be read."""
        return sum(admitted.tokens for admitted in self._admitted.values())

    @property
    def max_reading_tokens(self) -> float:
        """Limit of the prompt tokens admitted and not known to be read.

        It covers what the engine reads before that is reported, and a short
        queue that keeps it busy.
        """
        limits = self._limits
        unreported = self._rate.tokens_per_s * limits.report_delay_s
        return limits.engine_queue_tokens + unreported

    def submit(
        self, entry: str, admission_request: AdmissionRequest, now: float
    ) -> list[EntryDecision]:
        """Queue or admit a request, or reject it at once."""
        self._advance_time(now)
        key = (entry, admission_request.request_id)
        request = WaitingRequest(
            key=key,
            rank=admission_request.rank,
            tokens=max(1, admission_request.unread_tokens),
            queued_at=now,
            due_at=now + admission_request.target_left_ms / 1000,
            deadline=now + admission_request.deadline_left_ms / 1000,
        )
        wait_s = self._predict_first_event_s(request, now)
        if now + wait_s > request.due_at:
            request.is_late = True
            wait_s = self._predict_first_event_s(request, now)
            if not self._can_wait_late(request, wait_s, now):
                return [build_decision(request, admitted=False, wait_s=wait_s)]
        self._waiting[key] = request
        self._arrivals.add_tokens(request.rank, request.tokens, now)
        return self._admit(now)

    def release(self, entry: str, request_id: str, now: float) -> list[EntryDecision]:
        """Remove a request whose prompt is read or that has ended."""
        self._advance_time(now)
        key = (entry, request_id)
        self._waiting.pop(key, None)
        is_busy = self._is_busy
        admitted = self._admitted.pop(key, None)
        if admitted is not None and is_busy:
            self._rate.add_tokens(admitted.tokens)
        return self._admit(now)

    def remove_entry(self, entry: str, now: float) -> list[EntryDecision]:
        """Remove all requests of an entry that has disconnected."""
        self._advance_time(now)
        for requests in (self._waiting, self._admitted):
            for key in [key for key in requests if key[0] == entry]:
                del requests[key]
        return self._admit(now)

    def tick(self, now: float) -> list[EntryDecision]:
        """Reject requests that can't be served in time any more.

        Admitted requests without a report expire, and what then fits is
        admitted.
        """
        self._advance_time(now)
        for key, admitted in list(self._admitted.items()):
            if now - admitted.admitted_at > self._limits.admitted_expiry_s:
                del self._admitted[key]
        rejected = []
        for request in sorted(self._waiting.values(), key=lambda r: r.sort_key):
            read_s = self._limits.first_event_s
            read_s += request.tokens / self._rate.tokens_per_s
            if not request.is_late and now + read_s > request.due_at:
                request.is_late = True
            if not request.is_late:
                continue
            wait_s = self._predict_first_event_s(request, now)
            if not self._can_wait_late(request, wait_s, now):
                del self._waiting[request.key]
                rejected.append(build_decision(request, admitted=False, wait_s=wait_s))
        return rejected + self._admit(now)

    def build_engine_load(self) -> EngineLoad:
        """Return the tokens queued for the engine, for entries' placement."""
        by_rank: dict[int, int] = {}
        for request in self._waiting.values():
            by_rank[request.rank] = by_rank.get(request.rank, 0) + request.tokens
        return EngineLoad(
            reading_tokens=self.reading_tokens,
            waiting_tokens=by_rank,
            tokens_per_s=self._rate.tokens_per_s,
        )

    def _predict_first_event_s(self, request: WaitingRequest, now: float) -> float:
        """Return the seconds to the first event of a request that waits.

        The engine reads what it holds before the request or at the same time.
        Requests of higher rank that arrive meanwhile go before it, and before
        a late one all of its own rank as well.
        """
        ahead = sum(
            other.tokens
            for other in self._waiting.values()
            if other.key != request.key and other.sort_key <= request.sort_key
        )
        rate = self._rate.tokens_per_s
        if request.is_late:
            arriving = self._arrivals.compute_rate_from(request.rank, now)
        else:
            arriving = self._arrivals.compute_rate_above(request.rank, now)
        free_rate = max(rate * self._limits.min_free_share, rate - arriving)
        backlog = self.reading_tokens + request.tokens
        return self._limits.first_event_s + backlog / rate + ahead / free_rate

    def _can_wait_late(
        self, request: WaitingRequest, wait_s: float, now: float
    ) -> bool:
        return wait_s <= (request.deadline - now) * self._limits.late_wait_share

    def _admit(self, now: float) -> list[EntryDecision]:
        """Admit waiting requests in order, up to the reading limit."""
        decisions = []
        reading = self.reading_tokens
        for request in sorted(self._waiting.values(), key=lambda r: r.sort_key):
            # A prompt longer than the limit is admitted when it is alone.
            limit = self._compute_reading_limit(request.rank, now)
            if reading and reading + request.tokens > limit:
                break
            del self._waiting[request.key]
            self._admitted[request.key] = AdmittedRequest(
                tokens=request.tokens, admitted_at=now
            )
            reading += request.tokens
            waited_s = now - request.queued_at
            decisions.append(build_decision(request, admitted=True, wait_s=waited_s))
        return decisions

    def _compute_reading_limit(self, rank: int, now: float) -> float:
        """Return the reading limit of a rank, less what is reserved."""
        higher = self._arrivals.compute_rate_above(rank, now)
        if higher < self._limits.reservation_tokens_per_s:
            return self.max_reading_tokens
        return self.max_reading_tokens - self._limits.reserved_tokens

    def _advance_time(self, now: float) -> None:
        if self._updated_at is not None and self._is_busy:
            self._rate.add_busy_time(max(0.0, now - self._updated_at))
        self._updated_at = now

    @property
    def _is_busy(self) -> bool:
        """Whether the engine has enough to read to show its reading rate."""
        return self.reading_tokens >= self.max_reading_tokens / 2


def build_decision(
    request: WaitingRequest, *, admitted: bool, wait_s: float
) -> EntryDecision:
    """Return the decision on a request, for its entry and for the log."""
    entry, request_id = request.key
    decision = AdmissionDecision(
        request_id=request_id, admitted=admitted, wait_ms=round(wait_s * 1000)
    )
    return EntryDecision(
        entry=entry, decision=decision, rank=request.rank, tokens=request.tokens
    )
