"""Choosing a backend server by expected latency from a small sample."""

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

    The caller of this class records servers, load reports and the progress
    of each attempt. A choice uses what has been recorded so far, and its cost
    depends on the sample size, not on the number of servers.
    """

    def __init__(
        self, *, random: RandomSource, zone: str, limits: RoutingLimits | None = None
    ) -> None:
        self._random = random
        self._limits = limits or RoutingLimits()
        self._records: dict[str, ServerRecord] = {}
        self._pools: dict[PoolKey, ServerPool] = {}
        self._seen_pools: set[PoolKey] = set()
        self._probes: list[tuple[float, str]] = []
        self.zones = ZoneLatencies(zone=zone, limits=self._limits)
        self.budget = RetryBudget(self._limits)

    def add_server(self, server: BackendServer) -> None:
        """Add a backend server, or replace it after a restart."""
        existing = self._records.get(server.server_id)
        if existing is not None:
            if existing.server == server:
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
            self._seen_pools.add(key)
        self._update_pools(record)

    def remove_server(self, server_id: str) -> None:
        """Remove a backend server from every pool."""
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
        """Return a backend server by its identifier, or None."""
        record = self._records.get(server_id)
        return record.server if record else None

    def list_targets(self, kind: ServiceKind) -> list[str]:
        """Return the models or plain services that any server offers."""
        return sorted(key.target for key in self._pools if key.kind is kind)

    def has_seen_pool(self, key: PoolKey) -> bool:
        """Return whether a pool has a server now or ever had one."""
        return key in self._seen_pools

    def record_load(self, server_id: str, load: LoadReport, now: float) -> None:
        """Record a backend server's load report."""
        record = self._records.get(server_id)
        if record is None or not record.record_load(load, now):
            return
        self._update_pools(record)
        for key in record.pools:
            self._pools[key].record_load(record)

    def record_sent(
        self, choice: Choice, query: RouteQuery, call_id: str, now: float
    ) -> None:
        """Record that a call is sent to the chosen server."""
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
                self._remove_from_pools(record)

    def record_data(self, server_id: str, call_id: str) -> None:
        """Record that response data of a call has arrived."""
        record = self._records.get(server_id)
        call = record.calls.get(call_id) if record else None
        if record is None or call is None or call.has_data:
            return
        call.has_data = True
        if record.breaker.state is BreakerState.PROBING:
            record.breaker.record_success()
            self._update_pools(record)

    def record_end(
        self,
        server_id: str,
        query: RouteQuery,
        call_id: str,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Record how an attempt at a server ended."""
        record = self._records.get(server_id)
        if record is None:
            return
        call = record.remove_call(call_id)
        if outcome is AttemptOutcome.ANSWERED and call is not None:
            self._record_duration(record, query, call, now)
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.REFUSED):
            record.breaker.record_success()
        elif outcome in (AttemptOutcome.FAILED, AttemptOutcome.UNREACHABLE):
            self._record_failure(record, outcome is AttemptOutcome.UNREACHABLE, now)
        self._update_pools(record)

    def record_broken_stream(self, server_id: str, now: float) -> None:
        """Record that a stream from a server's agent broke or timed out."""
        record = self._records.get(server_id)
        if record is not None:
            self._record_failure(record, True, now)
            self._update_pools(record)

    def choose(
        self, query: RouteQuery, excluded: Set[str], now: float
    ) -> Choice | None:
        """Return the server for a call, or None if no server is left."""
        self._start_probes(now)
        pool = self._pools.get(query.pool)
        if pool is None:
            return None
        names = pool.draw_candidates(query.affinity, self._random, excluded)
        preferred = pool.affinity.find(query.affinity) if query.affinity else ""
        best: Choice | None = None
        best_cost = 0.0
        for name in names:
            record = self._records[name]
            wait_ms, cost = self._estimate_cost(
                record, pool, query, name == preferred, now
            )
            if query.sticky and name == preferred:
                if wait_ms <= self._limits.max_sticky_wait_ms:
                    return Choice(server=record.server, wait_ms=wait_ms)
            if best is None or cost < best_cost:
                best = Choice(server=record.server, wait_ms=wait_ms)
                best_cost = cost
        return best

    def choose_for_preemption(
        self, query: RouteQuery, excluded: Set[str], now: float
    ) -> Choice | None:
        """Return a server with work of a lower priority than the call's.

        This is the last resort before a call fails: the server's agent can
        preempt that work.
        """
        pool = self._pools.get(query.pool)
        if pool is None:
            return None
        names = pool.iterate_lower_priority(query.priority, self._random, excluded)
        for name in names:
            record = self._records[name]
            service_ms = record.load.service_ms or pool.service_ms
            wait_ms = record.estimate_wait_ms(query.priority, service_ms, now)
            return Choice(server=record.server, wait_ms=wait_ms)
        return None

    def _record_failure(
        self, record: ServerRecord, open_immediately: bool, now: float
    ) -> None:
        jitter = self._random.draw_uniform()
        record.breaker.record_failure(now, jitter, open_immediately)
        if record.breaker.state is BreakerState.OPEN:
            probe = (record.breaker.probe_at, record.server.server_id)
            heapq.heappush(self._probes, probe)

    def _estimate_cost(
        self,
        record: ServerRecord,
        pool: ServerPool,
        query: RouteQuery,
        is_preferred: bool,
        now: float,
    ) -> tuple[float, float]:
        mean_ms = pool.find_mean_duration_ms(query.service_class)
        slowness = record.estimate_slowness(mean_ms, now)
        service_ms = max(record.load.service_ms, pool.service_ms * slowness)
        wait_ms = record.estimate_wait_ms(query.priority, service_ms, now)
        first_token_ms = max(record.load.first_token_ms, pool.first_token_ms * slowness)
        run_ms = max(first_token_ms, (mean_ms or service_ms) * (slowness - 1.0))
        cost = wait_ms + run_ms + self.zones.estimate_cost_ms(record.server.zone)
        if is_preferred:
            calls_ahead = record.estimate_calls_ahead(query.priority, now)
            if (
                calls_ahead
                <= max(1, record.load.limit) * self._limits.affinity_max_load
            ):
                cost -= first_token_ms * self._limits.prefix_saving_share
        return wait_ms, cost

    def _record_duration(
        self, record: ServerRecord, query: RouteQuery, call: OpenCall, now: float
    ) -> None:
        pool = self._pools.get(query.pool)
        if pool is None:
            return
        open_ms = (now - call.sent_at) * 1000
        duration_ms = max(0.1, open_ms - min(call.wait_ms, open_ms / 2))
        mean_ms = pool.find_mean_duration_ms(query.service_class)
        if mean_ms:
            record.record_duration(duration_ms / mean_ms)
        pool.record_duration(query.service_class, duration_ms)

    def _update_pools(self, record: ServerRecord) -> None:
        """Make a server available in its pools or remove it from them."""
        load = record.load
        state = record.breaker.state
        is_available = not load.draining and not load.unhealthy
        is_available = is_available and state is not BreakerState.OPEN
        if state is BreakerState.PROBING and record.calls:
            is_available = False
        for key in record.pools:
            pool = self._pools[key]
            if not is_available:
                pool.discard(record.server.server_id)
            elif record.server.server_id not in pool.available:
                pool.add(record)

    def _remove_from_pools(self, record: ServerRecord) -> None:
        for key in record.pools:
            self._pools[key].discard(record.server.server_id)

    def _start_probes(self, now: float) -> None:
        while self._probes and self._probes[0][0] <= now:
            _, server_id = heapq.heappop(self._probes)
            record = self._records.get(server_id)
            if record is not None and record.breaker.probe_at <= now:
                record.breaker.start_probing()
                self._update_pools(record)
