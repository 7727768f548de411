"""Chooses backend servers for requests, by the expected time."""

from collections.abc import Mapping, Sequence, Set
from typing import Final

from carobspring.dispatch.costs import estimate_cost
from carobspring.dispatch.homes import find_home, find_shared_parts
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.queries import (
    AttemptOutcome,
    DispatchQuery,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.dispatch.servers import ServerRecord
from carobspring.dispatch.specialization import Specialization, is_prefill_heavy
from carobspring.domain import BackendServer
from carobspring.ports import RandomSource
from carobspring.protocol import EngineLoad
from carobspring.routing import BreakerState, CircuitBreaker, RoutingLimits

#: Seconds within which costs count as equal and chance decides.
COST_JITTER_S: Final = 0.001


class Dispatcher:
    """Decides for the requests of one entry; see docs/design/machines.md."""

    def __init__(
        self, *, zone: str, random: RandomSource, limits: DispatchLimits | None = None
    ) -> None:
        self._zone = zone
        self._random = random
        self._limits = limits or DispatchLimits()
        self._records: dict[str, ServerRecord] = {}
        self._by_service: dict[str, dict[str, ServerRecord]] = {}
        self._specializations: dict[str, Specialization] = {}

    def add_server(self, server: BackendServer, *, draining: bool) -> None:
        """Take a server up, or take over its new state."""
        known = self._records.get(server.server_id)
        if known is not None and known.server == server:
            known.draining = draining
            return
        self.remove_server(server.server_id)
        record = ServerRecord(
            server=server,
            limits=self._limits,
            breaker=CircuitBreaker(RoutingLimits()),
        )
        record.draining = draining
        self._records[server.server_id] = record
        self._by_service.setdefault(server.service, {})[server.server_id] = record

    def has_server(self, server: BackendServer) -> bool:
        """Say whether this very start of a server is taken up."""
        record = self._records.get(server.server_id)
        return record is not None and record.server == server

    def remove_server(self, server_id: str) -> None:
        """Send nothing more to a server."""
        record = self._records.pop(server_id, None)
        if record is not None:
            del self._by_service[record.server.service][server_id]

    def place(
        self, query: DispatchQuery, excluded: Set[str], now: float
    ) -> Placement | Refusal:
        """Return where a request goes now, or why it goes nowhere."""
        records = self._by_service.get(query.service, {}).values()
        present = [record for record in records if not record.draining]
        if not present:
            return self._refuse(RefusalReason.NO_SERVERS)
        sound = [record for record in present if self._is_open(record, now)]
        open_ones = [
            record for record in sound if record.server.server_id not in excluded
        ]
        if not open_ones:
            return self._refuse(RefusalReason.ALL_TRIED)
        generating = self._find_generating(query, present, now)
        generating_rank = 0
        if present[0].is_engine:
            specialization = self._find_specialization(query.service)
            generating_rank = specialization.generating_rank
        # The home stays the home while its gate turns requests away.
        fitting = self._choose_fitting(query, sound, generating)
        home = self._find_home(query, fitting)
        best, estimate, best_cost = open_ones[0], None, 0.0
        for record in open_ones:
            found = estimate_cost(
                record,
                query,
                zone=self._zone,
                home=home,
                generating=generating,
                generating_rank=generating_rank,
                limits=self._limits,
                now=now,
            )
            cost = found.cost_s + self._random.draw_uniform() * COST_JITTER_S
            if estimate is None or cost < best_cost:
                best, estimate, best_cost = record, found, cost
        assert estimate is not None
        return Placement(
            server=best.server,
            unread_tokens=estimate.unread_tokens,
            prompt_source=self._find_source(query, fitting, best, home),
            reason=f"wait={estimate.wait_s:.3f} read={estimate.read_s:.3f} "
            f"far={estimate.cross_zone_s:.3f} pause={estimate.pause_s:.3f} "
            f"mixing={estimate.mixing_s:.3f} "
            f"running={best.estimate_running(now)} home={best is home} "
            f"of={len(open_ones)} generating={len(generating)}",
        )

    def note_sent(self, placed: Placement, query: DispatchQuery, now: float) -> None:
        """Note that a request goes to the server that was chosen."""
        record = self._records.get(placed.server.server_id)
        if record is None:
            return
        record.note_sent(query, placed.unread_tokens, now)
        if record.is_engine:
            specialization = self._find_specialization(query.service)
            specialization.note(query, placed.unread_tokens, now)

    def needs_admission(self, query: DispatchQuery, placed: Placement) -> bool:
        """Say whether a request needs the word of its engine's gate."""
        is_long = placed.unread_tokens >= self._limits.min_admission_tokens
        return is_long and query.is_stream and is_prefill_heavy(query)

    def can_ask_another(self, turned_away: int) -> bool:
        """Say whether a request asks one more gate after so many refusals."""
        return turned_away < self._limits.max_admission_asks

    def refuse_overload(self, wait_s: float) -> Refusal:
        """Return the refusal of a request that gates have turned away.

        Callers come back once the shortest queue has drained, spread so that
        they don't come together.
        """
        spread = 0.75 + 0.5 * self._random.draw_uniform()
        return Refusal(reason=RefusalReason.OVERLOAD, retry_after_s=wait_s * spread)

    def note_admission_asked(
        self, server_id: str, request_id: str, tokens: int
    ) -> None:
        """Note that an engine's gate was asked for room."""
        record = self._records.get(server_id)
        if record is not None:
            record.asked[request_id] = tokens

    def note_admission_answered(self, server_id: str, request_id: str) -> None:
        """Note that the gate has answered, or that nobody waits for it."""
        record = self._records.get(server_id)
        if record is not None:
            record.asked.pop(request_id, None)

    def note_backlog(self, server_id: str, load: EngineLoad, now: float) -> None:
        """Take over what a gate says of its engine's work."""
        record = self._records.get(server_id)
        if record is not None:
            record.note_backlog(load, now)

    def note_first_event(self, server_id: str, request_id: str, now: float) -> None:
        """Note that a request's answer has begun to come."""
        record = self._records.get(server_id)
        call = record.in_flight.get(request_id) if record else None
        if record is not None and call is not None:
            record.note_first_event(call, now)

    def note_event(
        self, server_id: str, request_id: str, pause_s: float, now: float
    ) -> None:
        """Note a further event of a stream and the pause before it."""
        record = self._records.get(server_id)
        if record is None:
            return
        record.pauses.observe(pause_s)
        call = record.in_flight.get(request_id)
        if call is not None:
            call.last_event_at = now

    def should_move(
        self, query: DispatchQuery, server_id: str, excluded: Set[str], now: float
    ) -> bool:
        """Say whether a stream that waits at a server should go elsewhere.

        It should when its events have stopped, or when its first one does not
        come although first events don't come late there. A server that is
        merely busy is not left: that would only add to the load.
        """
        if not self._has_other(query, excluded | {server_id}, now):
            return False
        record = self._records.get(server_id)
        call = record.in_flight.get(query.request_id) if record else None
        if record is None or call is None:
            return True
        limits = self._limits
        waited_s = now - call.last_event_at
        if call.has_first_event:
            return waited_s >= limits.stream_stall_timeout_s
        is_late = waited_s >= max(limits.first_event_timeout_s, 2 * query.target_s)
        return is_late and record.estimate_observed_wait_s(now) < waited_s / 2

    def _has_other(self, query: DispatchQuery, excluded: Set[str], now: float) -> bool:
        """Say whether a server is left to which a request could move."""
        return any(
            record.server.server_id not in excluded
            and not record.draining
            and record.breaker.state is BreakerState.CLOSED
            and record.estimate_silence_s(now) <= 0
            for record in self._by_service.get(query.service, {}).values()
        )

    def note_load(self, server_id: str, load: tuple[int, int, int], now: float) -> None:
        """Take over the load that a response told: running, waiting, slots."""
        record = self._records.get(server_id)
        if record is not None:
            record.note_load(load[0], load[1], now)

    def note_end(
        self, server_id: str, request_id: str, outcome: AttemptOutcome, now: float
    ) -> None:
        """Note how an attempt ended."""
        record = self._records.get(server_id)
        if record is None:
            return
        call = record.in_flight.pop(request_id, None)
        if call is not None and outcome is AttemptOutcome.ANSWERED:
            record.service_time_s.observe(now - call.sent_at)
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR):
            record.breaker.record_success()
        elif outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.MISDIRECTED):
            record.breaker.record_failure(now, self._random.draw_uniform(), True)
        elif outcome is AttemptOutcome.CUT:
            record.breaker.record_failure(now, self._random.draw_uniform(), False)

    def _is_open(self, record: ServerRecord, now: float) -> bool:
        breaker = record.breaker
        if breaker.state is BreakerState.OPEN and now >= breaker.probe_at:
            breaker.start_probing()
        if breaker.state is BreakerState.PROBING:
            return not record.in_flight
        return breaker.state is BreakerState.CLOSED

    def compute_generating_demand(self, now: float) -> dict[str, float]:
        """Return the engine time a second that generating asks for here.

        By service; control replicas add it up over all entries.
        """
        return {
            service: round(specialization.compute_generating_demand(now), 4)
            for service, specialization in self._specializations.items()
        }

    def update_generating_demand(self, told: Mapping[str, float], now: float) -> None:
        """Take over what all entries together ask for, by service."""
        for service, seconds in told.items():
            self._find_specialization(service).update_demand(seconds, now)

    def _find_specialization(self, service: str) -> Specialization:
        if service not in self._specializations:
            self._specializations[service] = Specialization(limits=self._limits)
        return self._specializations[service]

    def _find_generating(
        self, query: DispatchQuery, records: Sequence[ServerRecord], now: float
    ) -> frozenset[str]:
        if not records[0].is_engine:
            return frozenset()
        specialization = self._find_specialization(query.service)
        return specialization.select_generating(records, now)

    def _choose_fitting(
        self,
        query: DispatchQuery,
        records: Sequence[ServerRecord],
        generating: Set[str],
    ) -> Sequence[ServerRecord]:
        """Return the engines kept for this kind of request."""
        if not generating:
            return records
        reads = is_prefill_heavy(query)
        return [
            record
            for record in records
            if reads is not (record.server.server_id in generating)
        ]

    def _find_home(
        self, query: DispatchQuery, fitting: Sequence[ServerRecord]
    ) -> ServerRecord | None:
        """Return the home of a prompt, a short one's in the own zone."""
        shared = sum(tokens for _, tokens in find_shared_parts(query))
        if shared >= self._limits.global_home_tokens:
            return find_home(query, fitting)
        near = [record for record in fitting if record.server.zone == self._zone]
        return find_home(query, near)

    def _find_source(
        self,
        query: DispatchQuery,
        fitting: Sequence[ServerRecord],
        chosen: ServerRecord,
        home: ServerRecord | None,
    ) -> BackendServer | None:
        """Return the server to copy the prompt's shared start from.

        Away from its home that is the home; at the home of a zone it is the
        one that is home for all zones. A server that keeps nothing of it
        costs nothing to ask.
        """
        shared = sum(tokens for _, tokens in find_shared_parts(query))
        if shared < self._limits.min_copied_tokens:
            return None
        if home is None or home is chosen:
            home = find_home(query, fitting)
        if home is None or home is chosen:
            return None
        return home.server

    def _refuse(self, reason: RefusalReason) -> Refusal:
        spread = 0.5 + self._random.draw_uniform()
        return Refusal(
            reason=reason, retry_after_s=self._limits.default_retry_s * spread
        )
