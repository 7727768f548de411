"""Which prompts an engine reads next, and which are turned away.

Answers long prompts that come faster than the engine reads them. Sent at
once, they share the engine and all become late together; the gate lets only
so many in that the engine is kept busy, in the order of rank and time left,
and turns away at once what can't be served in time.
"""

from dataclasses import dataclass

from carobspring.admission.limits import AdmissionLimits
from carobspring.admission.rate import ArrivalRate, ReadingRate
from carobspring.protocol import AdmissionAsk, AdmissionDecision, EngineLoad

#: An entry's name and a request's identifier.
RequestKey = tuple[str, str]


@dataclass(kw_only=True)
class Waiting:
    """A request that waits for room."""

    key: RequestKey
    rank: int
    tokens: int
    asked_at: float
    #: Monotonic times after which it is late, and has no caller any more.
    due_at: float
    ends_at: float
    #: True once its first event can't be in time.
    late: bool = False

    @property
    def order(self) -> tuple[int, bool, float]:
        """Rank first, then those in time, then the ones due soonest."""
        return self.rank, self.late, self.due_at


@dataclass(frozen=True, kw_only=True)
class Admitted:
    """A request that was let in and whose prompt is not read yet."""

    tokens: int
    at: float


@dataclass(frozen=True, kw_only=True)
class EntryDecision:
    """A decision and the entry that it is for."""

    entry: str
    decision: AdmissionDecision
    #: Rank and prompt tokens of the request, for the log.
    rank: int = 0
    tokens: int = 0


class AdmissionController:
    """Decides for one engine; sans-IO.

    Every call that may let requests in or turn some away returns those
    decisions. A request that is neither waits.

    Example:
        ``gate.submit("entry-1", ask, now)``, later
        ``gate.release("entry-1", ask.request_id, now)``.
    """

    def __init__(self, *, limits: AdmissionLimits | None = None) -> None:
        self._limits = limits or AdmissionLimits()
        self._waiting: dict[RequestKey, Waiting] = {}
        self._admitted: dict[RequestKey, Admitted] = {}
        self._rate = ReadingRate(limits=self._limits)
        self._arrivals = ArrivalRate(limits=self._limits)
        self._seen_at: float | None = None

    @property
    def waiting_count(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def find_waiting_entries(self) -> set[str]:
        """Return the entries whose requests wait."""
        return {entry for entry, _ in self._waiting}

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that the engine is believed to read in a second."""
        return self._rate.tokens_per_s

    @property
    def reading_tokens(self) -> int:
        """Prompt tokens admitted and not known to be read."""
        return sum(admitted.tokens for admitted in self._admitted.values())

    @property
    def max_reading_tokens(self) -> float:
        """Prompt tokens that may be at the engine and not known to be read.

        What it reads until that is told, and a little that keeps it busy.
        """
        limits = self._limits
        told_late = self._rate.tokens_per_s * limits.report_delay_s
        return limits.engine_queue_tokens + told_late

    def submit(self, entry: str, ask: AdmissionAsk, now: float) -> list[EntryDecision]:
        """Take a request in, or turn it away at once."""
        self._note_time(now)
        key = (entry, ask.request_id)
        waiting = Waiting(
            key=key,
            rank=ask.rank,
            tokens=max(1, ask.unread_tokens),
            asked_at=now,
            due_at=now + ask.target_left_ms / 1000,
            ends_at=now + ask.deadline_left_ms / 1000,
        )
        wait_s = self._predict_first(waiting, now)
        if now + wait_s > waiting.due_at:
            waiting.late = True
            wait_s = self._predict_first(waiting, now)
            if not self._may_wait_late(waiting, wait_s, now):
                return [_decide(waiting, admitted=False, wait_s=wait_s)]
        self._waiting[key] = waiting
        self._arrivals.note(waiting.rank, waiting.tokens, now)
        return self._admit(now)

    def release(self, entry: str, request_id: str, now: float) -> list[EntryDecision]:
        """Note that a prompt is read, or that its request ended."""
        self._note_time(now)
        key = (entry, request_id)
        self._waiting.pop(key, None)
        is_busy = self._is_busy
        admitted = self._admitted.pop(key, None)
        if admitted is not None and is_busy:
            self._rate.note_read(admitted.tokens)
        return self._admit(now)

    def remove_entry(self, entry: str, now: float) -> list[EntryDecision]:
        """Forget the requests of an entry that is gone."""
        self._note_time(now)
        for keyed in (self._waiting, self._admitted):
            for key in [key for key in keyed if key[0] == entry]:
                del keyed[key]
        return self._admit(now)

    def tick(self, now: float) -> list[EntryDecision]:
        """Turn away what became hopeless, and forget what nobody tells of."""
        self._note_time(now)
        for key, admitted in list(self._admitted.items()):
            if now - admitted.at > self._limits.admitted_expiry_s:
                del self._admitted[key]
        refused = []
        for waiting in sorted(self._waiting.values(), key=lambda w: w.order):
            read_s = self._limits.first_event_s
            read_s += waiting.tokens / self._rate.tokens_per_s
            if not waiting.late and now + read_s > waiting.due_at:
                waiting.late = True
            if not waiting.late:
                continue
            wait_s = self._predict_first(waiting, now)
            if not self._may_wait_late(waiting, wait_s, now):
                del self._waiting[waiting.key]
                refused.append(_decide(waiting, admitted=False, wait_s=wait_s))
        return refused + self._admit(now)

    def build_load(self) -> EngineLoad:
        """Return the tokens before the engine, for entries' placement."""
        by_rank: dict[int, int] = {}
        for waiting in self._waiting.values():
            by_rank[waiting.rank] = by_rank.get(waiting.rank, 0) + waiting.tokens
        return EngineLoad(
            reading_tokens=self.reading_tokens,
            waiting_tokens=by_rank,
            tokens_per_s=self._rate.tokens_per_s,
        )

    def _predict_first(self, asking: Waiting, now: float) -> float:
        """Return the seconds to the first event of a request that waits.

        What the engine holds is read before it, or at the same time. Requests
        of higher rank that come meanwhile go before it, and before a late one
        all of its own rank as well.
        """
        ahead = sum(
            waiting.tokens
            for waiting in self._waiting.values()
            if waiting.key != asking.key and waiting.order <= asking.order
        )
        rate = self._rate.tokens_per_s
        if asking.late:
            taken = self._arrivals.count_through(asking.rank, now)
        else:
            taken = self._arrivals.count_before(asking.rank, now)
        free = max(rate * self._limits.min_free_share, rate - taken)
        backlog = self.reading_tokens + asking.tokens
        return self._limits.first_event_s + backlog / rate + ahead / free

    def _may_wait_late(self, waiting: Waiting, wait_s: float, now: float) -> bool:
        return wait_s <= (waiting.ends_at - now) * self._limits.late_wait_share

    def _admit(self, now: float) -> list[EntryDecision]:
        """Let in what there is room for, in order."""
        decisions = []
        reading = self.reading_tokens
        for waiting in sorted(self._waiting.values(), key=lambda w: w.order):
            # One prompt always goes, however long it is.
            room = self._find_room(waiting.rank, now)
            if reading and reading + waiting.tokens > room:
                break
            del self._waiting[waiting.key]
            self._admitted[waiting.key] = Admitted(tokens=waiting.tokens, at=now)
            reading += waiting.tokens
            waited_s = now - waiting.asked_at
            decisions.append(_decide(waiting, admitted=True, wait_s=waited_s))
        return decisions

    def _find_room(self, rank: int, now: float) -> float:
        """Return the room for a rank: some stays free for higher ones."""
        higher = self._arrivals.count_before(rank, now)
        if higher < self._limits.reservation_tokens_per_s:
            return self.max_reading_tokens
        return self.max_reading_tokens - self._limits.reserved_tokens

    def _note_time(self, now: float) -> None:
        if self._seen_at is not None and self._is_busy:
            self._rate.note_busy(max(0.0, now - self._seen_at))
        self._seen_at = now

    @property
    def _is_busy(self) -> bool:
        """Say whether the engine has so much to read that its rate shows."""
        return self.reading_tokens >= self.max_reading_tokens / 2


def _decide(waiting: Waiting, *, admitted: bool, wait_s: float) -> EntryDecision:
    entry, request_id = waiting.key
    decision = AdmissionDecision(
        request_id=request_id, admitted=admitted, wait_ms=round(wait_s * 1000)
    )
    return EntryDecision(
        entry=entry, decision=decision, rank=waiting.rank, tokens=waiting.tokens
    )
