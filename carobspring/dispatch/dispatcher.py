"""Chooses backend servers for requests, by the expected time."""

from collections.abc import Set

from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.queries import (
    AttemptOutcome,
    DispatchQuery,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.dispatch.servers import InFlight, ServerRecord
from carobspring.domain import BackendServer
from carobspring.ports import RandomSource
from carobspring.routing import BreakerState, CircuitBreaker, RoutingLimits


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
            draining=draining,
        )
        self._records[server.server_id] = record
        self._by_service.setdefault(server.service, {})[server.server_id] = record

    def has(self, server: BackendServer) -> bool:
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
        open_ones = [
            record
            for record in present
            if record.server.server_id not in excluded and self._is_open(record, now)
        ]
        if not open_ones:
            return self._refuse(RefusalReason.ALL_TRIED)
        costs = [(self._weigh(record, query, now), record) for record in open_ones]
        cost, best = min(costs, key=lambda pair: pair[0])
        return Placement(
            server=best.server,
            reason=f"cost={cost:.3f} running={best.estimate_running(now)} "
            f"unread={best.count_unread_tokens(query, now)} of={len(open_ones)}",
        )

    def note_sent(self, server_id: str, query: DispatchQuery, now: float) -> None:
        """Note that a request goes to a server."""
        record = self._records.get(server_id)
        if record is None:
            return
        unread = record.count_unread_tokens(query, now)
        record.in_flight[query.request_id] = InFlight(
            query=query, sent_at=now, unread_tokens=unread
        )
        record.note_parts(query.parts, now)

    def note_begun(self, server_id: str, request_id: str, now: float) -> None:
        """Note that a request's answer has begun to come."""
        record = self._records.get(server_id)
        call = record.in_flight.get(request_id) if record else None
        if call is not None:
            call.has_begun = True

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
        record.in_flight.pop(request_id, None)
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

    def _weigh(self, record: ServerRecord, query: DispatchQuery, now: float) -> float:
        limits = self._limits
        unread = record.count_unread_tokens(query, now) + record.count_backlog_tokens()
        cost = unread / limits.prefill_tokens_per_s
        cost += record.estimate_running(now) * limits.sharing_cost_s
        if record.server.zone != self._zone:
            cost += limits.far_zone_cost_s
        return cost + self._random.draw_uniform() * 0.001

    def _refuse(self, reason: RefusalReason) -> Refusal:
        spread = 0.5 + self._random.draw_uniform()
        return Refusal(
            reason=reason, retry_after_s=self._limits.default_retry_s * spread
        )
