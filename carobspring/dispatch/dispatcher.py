"""Chooses the backend server with the lowest estimated cost."""

from collections.abc import Mapping, Sequence, Set
from dataclasses import replace
from typing import Final

from carobspring.admission import compute_used_rate
from carobspring.dispatch.costs import estimate_cost
from carobspring.dispatch.homes import find_shared_parts
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.notices import NoticeChange, ServerNotices
from carobspring.dispatch.obstacles import (
    count_obstacles,
    find_obstacle,
    format_obstacles,
    has_version,
    is_available,
)
from carobspring.dispatch.pools import ServerPool
from carobspring.dispatch.queries import (
    AttemptOutcome,
    DispatchQuery,
    Obstacle,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.dispatch.servers import ServerRecord
from carobspring.dispatch.specialization import (
    EngineDemand,
    Specialization,
    is_prefill_heavy,
)
from carobspring.domain import BackendServer, ServerLoad
from carobspring.domain.routes import EngineTraits, RoutedService
from carobspring.ports import RandomSource
from carobspring.protocol import EngineLoad
from carobspring.routing import BreakerState, CircuitBreaker, RoutingLimits

#: Seconds of random jitter on each cost, to choose at random among servers
#: whose costs are about equal.
COST_JITTER_S: Final = 0.001


#: Ways in which a server does not answer.
FAILED_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.INCOMPLETE,
    }
)


class Dispatcher:
    """Places the requests of one entry; see docs/design/machines.md."""

    def __init__(
        self, *, zone: str, random: RandomSource, limits: DispatchLimits | None = None
    ) -> None:
        self._zone = zone
        self._random = random
        self._limits = limits or DispatchLimits()
        self._records: dict[str, ServerRecord] = {}
        self._notices = ServerNotices(max_rest_s=self._limits.max_rest_s)
        self._pools: dict[str, ServerPool] = {}
        self._specializations: dict[str, Specialization] = {}
        self._engines: dict[str, EngineTraits] = {}

    def update_services(self, services: Mapping[str, RoutedService]) -> None:
        """Record the services of the routes in force."""
        self._engines = {
            name: service.engine
            for name, service in services.items()
            if service.engine is not None
        }

    def add_server(self, server: BackendServer, *, draining: bool) -> None:
        """Add a server, or update the one that is known."""
        known = self._records.get(server.server_id)
        if known is not None and known.server == server:
            if known.draining is not draining:
                known.draining = draining
                self._pools[server.service].clear_indices()
            return
        self.remove_server(server.server_id)
        record = ServerRecord(
            server=server,
            limits=self._limits,
            breaker=CircuitBreaker(RoutingLimits()),
            notice=self._notices.find(server),
            random=self._random,
        )
        record.draining = draining
        self._records[server.server_id] = record
        if server.service not in self._pools:
            self._pools[server.service] = ServerPool(zone=self._zone)
        self._pools[server.service].add(record)

    def has_server(self, server: BackendServer) -> bool:
        """Return whether a server is known with the same start (boot)."""
        record = self._records.get(server.server_id)
        return record is not None and record.server == server

    def is_serving(self, server: BackendServer, now: float) -> bool:
        """Return whether a server answered lately, or works on a request.

        One that failed since, drains or leaves does not count.
        """
        record = self._records.get(server.server_id)
        if record is None or record.server != server or record.is_closing:
            return False
        if record.breaker.state is not BreakerState.CLOSED:
            return False
        has_answered = now - record.answered_at <= self._limits.proof_s
        return has_answered or bool(record.in_flight)

    def record_presence(self, server: BackendServer, now: float) -> None:
        """Record that a server responded under its identifier.

        A rejection shows that as well as an answer.
        """
        record = self._records.get(server.server_id)
        if record is not None and record.server == server:
            self._record_proof(record, now)

    def _record_proof(self, record: ServerRecord, now: float) -> None:
        record.answered_at = now
        if not record.is_proven:
            record.is_proven = True
            self._pools[record.server.service].trials.record_success()

    def record_crash(self, server_id: str) -> None:
        """Record that a server has crashed, whatever it answered before."""
        record = self._records.get(server_id)
        if record is not None:
            record.answered_at = float("-inf")

    def remove_server(self, server_id: str) -> None:
        """Remove a server from placement."""
        record = self._records.pop(server_id, None)
        if record is not None:
            self._pools[record.server.service].remove(server_id)

    def place(
        self, query: DispatchQuery, excluded: Set[str], now: float
    ) -> Placement | Refusal:
        """Return the server that a request goes to, or why there is none.

        If all servers that could take it limit their requests and are blocked
        for now, the request may wait for a permit of the best of them.
        """
        placement = self._place(query, excluded, now)
        if isinstance(placement, Placement) or not self._has_blocked(query, now):
            return placement
        return self._place(query, excluded, now, may_wait=True)

    def _has_blocked(self, query: DispatchQuery, now: float) -> bool:
        pool = self._pools.get(query.service)
        return pool is not None and any(each.is_blocked(now) for each in pool.active)

    def _place(
        self,
        query: DispatchQuery,
        excluded: Set[str],
        now: float,
        *,
        may_wait: bool = False,
    ) -> Placement | Refusal:
        pool = self._pools.get(query.service)
        if pool is None or not pool.active:
            return self.refuse(RefusalReason.NO_SERVERS)
        generating = self._select_generating(query, pool, now)
        generating_rank = 0
        if generating:
            specialization = self._get_specialization(query.service)
            generating_rank = specialization.generating_rank
        homes = self._rank_homes(query, pool, generating)
        near_homes = self._rank_homes(query, pool, generating, near_only=True)
        # A server whose engine rejected the request can still be its home.
        home = self._find_home(homes, query.software_version, now)
        near_home = self._find_home(near_homes, query.software_version, now)
        candidates = self._list_candidates(
            query,
            pool,
            generating,
            (*homes, *near_homes),
            excluded,
            now,
            may_wait=may_wait,
        )
        if not candidates:
            obstacles = count_obstacles(pool.active, query, excluded, now)
            reason = RefusalReason.ALL_TRIED
            version = query.software_version
            if not any(has_version(record, version) for record in pool.active):
                reason = RefusalReason.NO_SERVER_OF_VERSION
            detail = format_obstacles(obstacles)
            if obstacles[Obstacle.RESTING] or obstacles[Obstacle.RETURNING]:
                return self._refuse_resting(query, pool, excluded, now, detail)
            return self.refuse(reason, detail)
        engine = self._engines.get(query.service)
        kv_capacity_tokens = engine.kv_capacity_tokens if engine else 0
        best, estimate, best_cost = candidates[0], None, 0.0
        for record in candidates:
            candidate = estimate_cost(
                record,
                query,
                zone=self._zone,
                home=home,
                near_home=near_home,
                generating=generating,
                generating_rank=generating_rank,
                kv_capacity_tokens=kv_capacity_tokens,
                limits=self._limits,
                now=now,
            )
            cost = candidate.cost_s + self._random.draw_uniform() * COST_JITTER_S
            if may_wait and record.is_blocked(now):
                cost += record.blocked_until - now
            if estimate is None or cost < best_cost:
                best, estimate, best_cost = record, candidate, cost
        assert estimate is not None
        return Placement(
            server=best.server,
            unread_tokens=estimate.unread_tokens,
            prompt_source=self._find_prompt_source(
                query, pool, generating, best, home, now
            ),
            may_wait=may_wait,
            reason=f"wait={estimate.wait_s:.3f} read={estimate.prefill_s:.3f} "
            f"far={estimate.cross_zone_s:.3f} pause={estimate.event_gap_s:.3f} "
            f"mixing={estimate.mixing_s:.3f} "
            f"memory={estimate.memory_s:.3f} "
            f"slowdown={best.slowdown.estimate(now):.2f} "
            f"running={best.estimate_running(now)} home={best is home} "
            f"limit={best.rate_limit} "
            f"of={len(candidates)} generating={len(generating)} "
            f"version={query.software_version}",
        )

    def record_sent(
        self, placement: Placement, query: DispatchQuery, now: float
    ) -> None:
        """Record that a request is sent to the chosen server."""
        record = self._records.get(placement.server.server_id)
        if record is None:
            return
        record.record_sent(query, placement.unread_tokens, now)
        if not record.is_proven:
            self._pools[record.server.service].trials.record_start(now)
        if record.is_engine:
            specialization = self._get_specialization(query.service)
            specialization.add(query, placement.unread_tokens, now)

    def needs_admission(self, query: DispatchQuery, placement: Placement) -> bool:
        """Return whether a request needs admission to its engine."""
        is_long = placement.unread_tokens >= self._limits.min_admission_tokens
        return is_long and query.is_stream and is_prefill_heavy(query)

    def can_ask_another(self, rejection_count: int) -> bool:
        """Return whether a request may ask another engine after rejections."""
        return rejection_count < self._limits.max_admission_requests

    def refuse_overload(self, wait_s: float) -> Refusal:
        """Return the refusal of a request that engines have rejected.

        Callers should retry once the shortest queue has drained; jitter keeps
        them from retrying together.
        """
        jitter_factor = 0.75 + 0.5 * self._random.draw_uniform()
        return Refusal(
            reason=RefusalReason.OVERLOAD, retry_after_s=wait_s * jitter_factor
        )

    def record_admission_request(
        self, server_id: str, request_id: str, tokens: int
    ) -> None:
        """Record that a request waits for admission to an engine."""
        record = self._records.get(server_id)
        if record is not None:
            record.awaiting_admission[request_id] = tokens

    def record_admission_end(self, server_id: str, request_id: str) -> None:
        """Record that a request no longer waits for admission."""
        record = self._records.get(server_id)
        if record is not None:
            record.awaiting_admission.pop(request_id, None)

    def record_engine_load(self, server_id: str, load: EngineLoad, now: float) -> None:
        """Record the load that an admission controller reported."""
        record = self._records.get(server_id)
        if record is not None:
            record.record_engine_load(load, now)

    def record_first_event(self, server_id: str, request_id: str, now: float) -> None:
        """Record the first event of a request's response."""
        record = self._records.get(server_id)
        call = record.in_flight.get(request_id) if record else None
        if record is not None and call is not None:
            record.record_first_event(call, now)
            self._record_output(record, request_id)
            record.notice.record_answer()

    def record_event(
        self, server_id: str, request_id: str, event_gap_s: float, now: float
    ) -> None:
        """Record a further event of a stream and the gap before it."""
        record = self._records.get(server_id)
        if record is None:
            return
        record.event_gaps.observe(event_gap_s)
        call = record.in_flight.get(request_id)
        if call is not None:
            call.last_event_at = now
            self._record_output(record, request_id)

    def _record_output(self, record: ServerRecord, request_id: str) -> None:
        """Count the output of one event; its size is at most the stride."""
        engine = self._engines.get(record.server.service)
        if engine is not None:
            record.memory.add_output(request_id, engine.tokens_per_event)

    def should_move(
        self, query: DispatchQuery, server_id: str, excluded: Set[str], now: float
    ) -> bool:
        """Return whether a stream that waits at a server should go elsewhere.

        It should when its events have stopped, or when its first event is
        late although other first events there are not. A stream stays at a
        server that is merely busy, since moving it would add to the load.
        """
        if not self._has_other_server(query, excluded | {server_id}, now):
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

    def _has_other_server(
        self, query: DispatchQuery, excluded: Set[str], now: float
    ) -> bool:
        """Return whether a request could move to another server."""
        pool = self._pools.get(query.service)
        return pool is not None and any(
            not record.is_closing
            and record.breaker.state is BreakerState.CLOSED
            and record.estimate_silence_s(now) <= 0
            and find_obstacle(record, query, excluded, now) is None
            for record in pool.records
        )

    def record_load(self, server_id: str, load: ServerLoad, now: float) -> None:
        """Record the load that a response reported."""
        record = self._records.get(server_id)
        if record is not None:
            record.record_load(load, now)

    def record_rate_limit(
        self, server: BackendServer, rate_limit: float | None
    ) -> bool:
        """Record the limit that a response announced, or that it has none.

        Returns whether the limit began or ended. It belongs to one start of
        the server.
        """
        record = self._records.get(server.server_id)
        if record is None or record.server.boot != server.boot:
            return False
        has_changed = (record.rate_limit is None) is not (rate_limit is None)
        record.rate_limit = rate_limit
        return has_changed

    def record_leaving(self, server: BackendServer) -> NoticeChange | None:
        """Record that a response announced that its server leaves.

        Returns what that changes, or None.
        """
        change = self._notices.record_leaving(server)
        record = self._records.get(server.server_id)
        if change is not None and record is not None:
            self._pools[record.server.service].clear_indices()
        return change

    def record_rest(
        self, server: BackendServer, rest_s: float | None, now: float
    ) -> NoticeChange | None:
        """Record that a server turned a request away and asked for rest.

        Returns what that changes, or None.
        """
        point = self._random.draw_uniform()
        return self._notices.record_rest(server, rest_s, now, point)

    def find_rate_limit(self, server_id: str) -> float | None:
        """Return the limit that a server last announced, or None."""
        record = self._records.get(server_id)
        return None if record is None else record.rate_limit

    def may_send(self, server: BackendServer, now: float) -> bool:
        """Return whether a server still wants a request placed there before.

        The request may have waited for admission or for a connection, while
        the server asked for rest or began to leave.
        """
        record = self._records.get(server.server_id)
        if record is None or record.server.boot != server.boot:
            return False
        return not (record.is_closing or record.notice.is_resting(now))

    def take_return(self, server: BackendServer, now: float) -> bool:
        """Return whether a server gets its first request after a rest."""
        return self._notices.find(server).take_return(now)

    def block(self, server_id: str, wait_s: float, now: float) -> None:
        """Send a limited server nothing until it can take a request again."""
        record = self._records.get(server_id)
        if record is not None:
            wait_s = max(wait_s, self._limits.min_block_s)
            record.blocked_until = now + wait_s

    def take_local_permit(self, server_id: str, entry_count: int, now: float) -> float:
        """Take this entry's own part of a server's limit.

        Returns zero, or the seconds until the next part. It is used while no
        admission host grants permits.
        """
        record = self._records.get(server_id)
        if record is None or record.rate_limit is None:
            return 0.0
        rate = compute_used_rate(record.rate_limit)
        return record.local_pace.take(rate, entry_count, now)

    def record_end(
        self, server_id: str, request_id: str, outcome: AttemptOutcome, now: float
    ) -> None:
        """Record how an attempt ended."""
        record = self._records.get(server_id)
        if record is None:
            return
        call = record.remove_call(request_id)
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR):
            record.notice.record_answer()
        if call is not None and outcome is AttemptOutcome.ANSWERED:
            record.record_service_time(now - call.sent_at, now)
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR):
            self._record_proof(record, now)
            record.breaker.record_success()
        elif outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.MISDIRECTED):
            record.answered_at = float("-inf")
            record.breaker.record_failure(now, self._random.draw_uniform(), True)
        elif outcome is AttemptOutcome.INCOMPLETE:
            record.answered_at = float("-inf")
            record.breaker.record_failure(now, self._random.draw_uniform(), False)
        is_failed = outcome in FAILED_OUTCOMES
        if is_failed and not record.is_proven:
            self._pools[record.server.service].trials.record_failure(now)

    def _refuse_resting(
        self,
        query: DispatchQuery,
        pool: ServerPool,
        excluded: Set[str],
        now: float,
        detail: str,
    ) -> Refusal:
        """Return a refusal until the first server wants requests again."""
        limits = self._limits
        waits_s = [
            max(record.notice.rest_until - now, limits.return_poll_s)
            for record in pool.active
            if find_obstacle(record, query, excluded, now)
            in (Obstacle.RESTING, Obstacle.RETURNING)
        ]
        earliest_s = min(waits_s)
        refusal = self.refuse(RefusalReason.RESTING, detail)
        return replace(
            refusal,
            retry_after_s=earliest_s + refusal.retry_after_s,
            wait_s=earliest_s + limits.rank_delay_s * query.priority,
        )

    def compute_demand(self, now: float) -> dict[str, EngineDemand]:
        """Return the engine time that this entry's requests need, by service.

        Control replicas add it up over all entries.
        """
        return {
            service: specialization.compute_demand(now)
            for service, specialization in self._specializations.items()
        }

    def update_demand(self, demand: Mapping[str, EngineDemand], now: float) -> None:
        """Record the reported demand of all entries together, by service."""
        for service, service_demand in demand.items():
            self._get_specialization(service).update_demand(service_demand, now)

    def _get_specialization(self, service: str) -> Specialization:
        if service not in self._specializations:
            self._specializations[service] = Specialization(limits=self._limits)
        return self._specializations[service]

    def _select_generating(
        self, query: DispatchQuery, pool: ServerPool, now: float
    ) -> frozenset[str]:
        if not pool.active[0].is_engine:
            return frozenset()
        specialization = self._get_specialization(query.service)
        return specialization.select_generating(pool.active, now)

    def _rank_homes(
        self,
        query: DispatchQuery,
        pool: ServerPool,
        generating: frozenset[str],
        *,
        near_only: bool = False,
    ) -> Sequence[ServerRecord]:
        """Return the possible homes, in this zone if the prefix is short."""
        shared = find_shared_parts(query)
        if not shared:
            return ()
        shared_tokens = sum(tokens for _, tokens in shared)
        return pool.rank_homes(
            shared[-1][0],
            generating,
            suits_generating=not is_prefill_heavy(query),
            near_only=near_only or shared_tokens < self._limits.global_home_tokens,
        )

    def _find_home(
        self, homes: Sequence[ServerRecord], version: str | None, now: float
    ) -> ServerRecord | None:
        """Return the first available home, with a version if one is given."""
        return next(
            (
                each
                for each in homes
                if has_version(each, version) and is_available(each, now)
            ),
            None,
        )

    def _list_candidates(
        self,
        query: DispatchQuery,
        pool: ServerPool,
        generating: frozenset[str],
        homes: Sequence[ServerRecord],
        excluded: Set[str],
        now: float,
        *,
        may_wait: bool,
    ) -> Sequence[ServerRecord]:
        """Return the servers that may get a request, few of many.

        While trials of unproven servers fail, they come behind those that
        answered before.
        """
        groups = pool.group(generating, suits_generating=not is_prefill_heavy(query))
        is_paused = pool.trials.is_paused(now)
        unproven: Sequence[ServerRecord] = ()
        for records in (
            pool.list_candidates(groups, homes, self._random),
            pool.active,
        ):
            candidates = [
                record
                for record in records
                if find_obstacle(record, query, excluded, now, may_wait=may_wait)
                is None
            ]
            if candidates and not is_paused:
                return candidates
            proven = [record for record in candidates if record.is_proven]
            if proven:
                return proven
            unproven = unproven or candidates
        return unproven

    def _find_prompt_source(
        self,
        query: DispatchQuery,
        pool: ServerPool,
        generating: frozenset[str],
        chosen: ServerRecord,
        home: ServerRecord | None,
        now: float,
    ) -> BackendServer | None:
        """Return the server to copy the prompt's shared prefix from.

        That is the home, or at the home of a zone the one for all zones.
        Asking a server that has none of the prefix costs nothing. What
        another version of the software keeps may not fit.
        """
        version = chosen.server.software_version
        shared = find_shared_parts(query)
        if sum(tokens for _, tokens in shared) < self._limits.min_copied_tokens:
            return None
        if home is None or home is chosen or not has_version(home, version):
            homes = pool.rank_homes(
                shared[-1][0],
                generating,
                suits_generating=not is_prefill_heavy(query),
                near_only=False,
            )
            home = self._find_home(homes, version, now)
        if home is None or home is chosen:
            return None
        return home.server

    def refuse(self, reason: RefusalReason, detail: str = "") -> Refusal:
        """Return a refusal with the usual Retry-After, spread over callers."""
        jitter_factor = 0.5 + self._random.draw_uniform()
        return Refusal(
            reason=reason,
            retry_after_s=self._limits.default_retry_s * jitter_factor,
            detail=detail,
        )
