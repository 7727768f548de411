"""The choice of a backend server by expected time, among a few sampled."""

import heapq
from collections.abc import Set

from carobspring.domain import BackendServer, LoadReport, ServiceKind
from carobspring.ports import RandomSource
from carobspring.routing.breaker import BreakerState, CircuitBreaker
from carobspring.routing.budget import RetryBudget
from carobspring.routing.limits import RoutingLimits
from carobspring.routing.pools import ServerPool
from carobspring.routing.queries import AttemptOutcome, Choice, PoolKey, RouteQuery
from carobspring.routing.servers import OpenCall, ServerRecord
from carobspring.routing.zones import ZoneLatencies


def list_pool_keys(server: BackendServer) -> tuple[PoolKey, ...]:
    """Return the pools that a backend server belongs to."""
    if server.kind is ServiceKind.MODEL:
        names = server.models
    else:
        names = (server.service,)
    return tuple(PoolKey(kind=server.kind, target=name) for name in names)


class Router:
    """Chooses backend servers for calls.

    Programs tell it of servers, reports and the course of each attempt; it
    answers from what it knows then. The cost of a choice depends on the
    sample, not on the number of servers.
    """

    def __init__(
        self, *, random: RandomSource, zone: str, limits: RoutingLimits | None = None
    ) -> None:
        self._random = random
        self._limits = limits or RoutingLimits()
        self._records: dict[str, ServerRecord] = {}
        self._pools: dict[PoolKey, ServerPool] = {}
        self._known_pools: set[PoolKey] = set()
        self._probes: list[tuple[float, str]] = []
        self.zones = ZoneLatencies(zone=zone, limits=self._limits)
        self.budget = RetryBudget(self._limits)

    def add_server(self, server: BackendServer) -> None:
        """Take new work for a backend server, or for its new boot."""
        known = self._records.get(server.server_id)
        if known is not None:
            if known.server == server:
                return
            self.remove_server(server.server_id)
        record = ServerRecord(
            server=server,
            limits=self._limits,
            breaker=CircuitBreaker(self._limits),
            pools=list_pool_keys(server),
        )
        self._records[server.server_id] = record
        for key in record.pools:
            if key not in self._pools:
                self._pools[key] = ServerPool(zone=self.zones.zone, limits=self._limits)
            self._pools[key].names.add(server.server_id)
            self._known_pools.add(key)
        self._place(record)

    def remove_server(self, server_id: str) -> None:
        """Give a backend server no more work."""
        record = self._records.pop(server_id, None)
        for key in record.pools if record else ():
            pool = self._pools[key]
            pool.names.discard(server_id)
            pool.discard(server_id)
            if not pool.names:
                del self._pools[key]

    def list_servers(self) -> list[BackendServer]:
        """Return every backend server."""
        return [record.server for record in self._records.values()]

    def find_server(self, server_id: str) -> BackendServer | None:
        """Return a backend server by its name."""
        record = self._records.get(server_id)
        return record.server if record else None

    def list_targets(self, kind: ServiceKind) -> list[str]:
        """Return the models or plain services that some server offers."""
        return sorted(key.target for key in self._pools if key.kind is kind)

    def has_seen_pool(self, key: PoolKey) -> bool:
        """Say whether any server belongs to a pool, or ever did."""
        return key in self._known_pools

    def record_load(self, server_id: str, load: LoadReport, now: float) -> None:
        """Take a report of a backend server's load."""
        record = self._records.get(server_id)
        if record is None or not record.record_load(load, now):
            return
        self._place(record)
        for key in record.pools:
            self._pools[key].record_load(record)

    def record_sent(
        self, choice: Choice, query: RouteQuery, call_id: str, now: float
    ) -> None:
        """Note that a call goes to the server that was chosen."""
        record = self._records.get(choice.server.server_id)
        if record is not None:
            call = OpenCall(
                service_class=query.service_class,
                priority=query.priority,
                sent_at=now,
                wait_ms=choice.wait_ms,
            )
            record.add_call(call_id, call)
            if record.breaker.state is BreakerState.PROBING:
                self._withdraw(record)

    def record_data(self, server_id: str, call_id: str) -> None:
        """Note that the answer of a call has begun to come."""
        record = self._records.get(server_id)
        call = record.calls.get(call_id) if record else None
        if record is None or call is None or call.has_data:
            return
        call.has_data = True
        if record.breaker.state is BreakerState.PROBING:
            record.breaker.record_success()
            self._place(record)

    def record_end(
        self,
        server_id: str,
        query: RouteQuery,
        call_id: str,
        end: AttemptOutcome,
        now: float,
    ) -> None:
        """Note how an attempt at a server ended."""
        record = self._records.get(server_id)
        if record is None:
            return
        call = record.remove_call(call_id)
        if end is AttemptOutcome.ANSWERED and call is not None:
            self._learn_duration(record, query, call, now)
        if end in (AttemptOutcome.ANSWERED, AttemptOutcome.REFUSED):
            record.breaker.record_success()
        elif end in (AttemptOutcome.FAILED, AttemptOutcome.UNREACHABLE):
            self._note_failure(record, end is AttemptOutcome.UNREACHABLE, now)
        self._place(record)

    def record_broken_stream(self, server_id: str, now: float) -> None:
        """Note that a stream of a server's agent broke or went silent."""
        record = self._records.get(server_id)
        if record is not None:
            self._note_failure(record, True, now)
            self._place(record)

    def choose(
        self, query: RouteQuery, excluded: Set[str], now: float
    ) -> Choice | None:
        """Return where a call should go, or None when nowhere is left."""
        self._start_probes(now)
        pool = self._pools.get(query.pool)
        if pool is None:
            return None
        names = pool.draw_candidates(query.affinity, self._random, excluded)
        favourite = pool.affinity.find(query.affinity) if query.affinity else ""
        best: Choice | None = None
        best_cost = 0.0
        for name in names:
            record = self._records[name]
            wait_ms, cost = self._weigh(record, pool, query, name == favourite, now)
            if query.sticky and name == favourite:
                if wait_ms <= self._limits.max_sticky_wait_ms:
                    return Choice(server=record.server, wait_ms=wait_ms)
            if best is None or cost < best_cost:
                best = Choice(server=record.server, wait_ms=wait_ms)
                best_cost = cost
        return best

    def choose_for_preemption(
        self, query: RouteQuery, excluded: Set[str], now: float
    ) -> Choice | None:
        """Return a server that holds work of a lower tier than the call's.

        Asked before a call is given up: its agent can displace that work.
        """
        pool = self._pools.get(query.pool)
        if pool is None:
            return None
        walk = pool.iterate_lower_priority(query.priority, self._random, excluded)
        for name in walk:
            record = self._records[name]
            service_ms = record.load.service_ms or pool.service_ms
            wait_ms = record.estimate_wait_ms(query.priority, service_ms, now)
            return Choice(server=record.server, wait_ms=wait_ms)
        return None

    def _note_failure(
        self, record: ServerRecord, open_immediately: bool, now: float
    ) -> None:
        jitter = self._random.draw_uniform()
        record.breaker.record_failure(now, jitter, open_immediately)
        if record.breaker.state is BreakerState.OPEN:
            probe = (record.breaker.probe_at, record.server.server_id)
            heapq.heappush(self._probes, probe)

    def _weigh(
        self,
        record: ServerRecord,
        pool: ServerPool,
        query: RouteQuery,
        is_favourite: bool,
        now: float,
    ) -> tuple[float, float]:
        usual_ms = pool.find_mean_duration_ms(query.service_class)
        slowness = record.estimate_slowness(usual_ms, now)
        service_ms = max(record.load.service_ms, pool.service_ms * slowness)
        wait_ms = record.estimate_wait_ms(query.priority, service_ms, now)
        first_ms = max(record.load.first_token_ms, pool.first_token_ms * slowness)
        run_ms = max(first_ms, (usual_ms or service_ms) * (slowness - 1.0))
        cost = wait_ms + run_ms + self.zones.estimate_cost_ms(record.server.zone)
        if is_favourite:
            occupied = record.estimate_calls_ahead(query.priority, now)
            if occupied <= max(1, record.load.limit) * self._limits.affinity_max_load:
                cost -= first_ms * self._limits.prefix_saving_share
        return wait_ms, cost

    def _learn_duration(
        self, record: ServerRecord, query: RouteQuery, call: OpenCall, now: float
    ) -> None:
        pool = self._pools.get(query.pool)
        if pool is None:
            return
        open_ms = (now - call.sent_at) * 1000
        duration_ms = max(0.1, open_ms - min(call.wait_ms, open_ms / 2))
        usual_ms = pool.find_mean_duration_ms(query.service_class)
        if usual_ms:
            record.record_duration(duration_ms / usual_ms)
        pool.record_duration(query.service_class, duration_ms)

    def _place(self, record: ServerRecord) -> None:
        """Put a server where it can be drawn, or take it away from there."""
        load = record.load
        state = record.breaker.state
        is_open = not load.draining and not load.unhealthy
        is_open = is_open and state is not BreakerState.OPEN
        if state is BreakerState.PROBING and record.calls:
            is_open = False
        for key in record.pools:
            pool = self._pools[key]
            if not is_open:
                pool.discard(record.server.server_id)
            elif record.server.server_id not in pool.available:
                pool.add(record)

    def _withdraw(self, record: ServerRecord) -> None:
        for key in record.pools:
            self._pools[key].discard(record.server.server_id)

    def _start_probes(self, now: float) -> None:
        while self._probes and self._probes[0][0] <= now:
            _, server_id = heapq.heappop(self._probes)
            record = self._records.get(server_id)
            if record is not None and record.breaker.probe_at <= now:
                record.breaker.start_probing()
                self._place(record)
