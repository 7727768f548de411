"""Compares server selection policies on one simulated load.

A small discrete-event simulation: servers have slots and priority queues and
report their load every second. Some servers can be slow, and some report an
idle load whatever they run. The load is generated once from a seed and
replayed for each policy. Run:

    python -m bench.routing --servers=60 --seed=1
"""

import heapq
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import fire

from carobspring.adapters.clock import SystemRandom
from carobspring.domain import BackendServer, LoadReport, ServiceKind
from carobspring.routing import AttemptOutcome, Choice, PoolKey, RouteQuery, Router

SLOTS = 8
#: Seconds between load reports of a server.
REPORT_INTERVAL_S = 1.0
ZONES = ("z1", "z2", "z3")
CROSS_ZONE_DELAY_S = 0.005
POOL = PoolKey(kind=ServiceKind.MODEL, target="m1")
#: Prefill time that a cached prefix saves, in seconds.
PREFILL_S = 0.08
#: Prefixes that a server caches.
CACHED_PREFIXES = 64


@dataclass(frozen=True, kw_only=True)
class SimulatedCall:
    """One call of the generated load."""

    at: float
    work_s: float
    priority: int
    affinity: int
    entry: int


@dataclass(kw_only=True)
class SimulatedServer:
    """A backend server with the queue of its agent."""

    server: BackendServer
    speed: float
    running: int = 0
    waiting: list[tuple[int, int, SimulatedCall]] = field(default_factory=list)
    prefixes: dict[int, None] = field(default_factory=dict)
    sequence: int = 0

    def report(self, frozen: bool) -> LoadReport:
        """Return the load; a frozen server always reports an idle one."""
        self.sequence += 1
        if frozen:
            return LoadReport(sequence=self.sequence, limit=SLOTS, service_ms=500)
        waiting: dict[int, int] = {}
        for priority, _, _ in self.waiting:
            waiting[-priority] = waiting.get(-priority, 0) + 1
        return LoadReport(
            sequence=self.sequence,
            running=self.running,
            limit=SLOTS,
            waiting_by_priority=waiting,
            service_ms=500,
            first_token_ms=100,
        )


def generate_load(
    seed: int, servers: int, load: float, seconds: float
) -> list[SimulatedCall]:
    """Return calls whose total work is a share of the servers' capacity."""
    generator = random.Random(seed)
    mean_s = 0.5
    rate = load * servers * SLOTS / mean_s
    calls = []
    now = 0.0
    while now < seconds:
        # Bursts: the rate alternates between 0.5 and 1.5 times the mean.
        rate_factor = 1.5 if int(now / 2) % 2 else 0.5
        now += generator.expovariate(rate * rate_factor)
        calls.append(
            SimulatedCall(
                at=now,
                work_s=min(8.0, generator.lognormvariate(-1.05, 0.8)),
                priority=90 if generator.random() < 0.3 else 10,
                affinity=generator.randrange(1, servers * 8),
                entry=generator.randrange(3),
            )
        )
    return calls


class BaselineBalancer:
    """Chooses at random, in turn, or by reported load.

    The policies are random, round_robin, least_loaded and power_of_two.
    """

    def __init__(self, policy: str, names: list[str], generator: random.Random) -> None:
        self._policy = policy
        self._names = names
        self._generator = generator
        self._next_index = itertools.count(generator.randrange(len(names)))
        self._loads: dict[str, float] = dict.fromkeys(names, 0.0)

    def record_load(self, name: str, load: LoadReport) -> None:
        """Store the reported load of a server."""
        waiting = sum((load.waiting_by_priority or {}).values())
        self._loads[name] = load.running + waiting

    def choose(self) -> str:
        """Return the name of the chosen server."""
        if self._policy == "random":
            return self._generator.choice(self._names)
        if self._policy == "round_robin":
            return self._names[next(self._next_index) % len(self._names)]
        names = self._names
        if self._policy == "power_of_two":
            names = self._generator.sample(names, 2)
        return min(names, key=lambda name: self._loads[name])


class Simulation:
    """Replays a generated load under one server selection policy."""

    def __init__(
        self, policy: str, servers: int, seed: int, slow: int, frozen: int
    ) -> None:
        self._policy = policy
        self._frozen = {f"s{number}" for number in range(slow, slow + frozen)}
        self._servers: dict[str, SimulatedServer] = {}
        for number in range(servers):
            server = BackendServer(
                server_id=f"s{number}",
                boot=1,
                service="llm",
                kind=ServiceKind.MODEL,
                zone=ZONES[number % 3],
                host="127.0.0.1",
                port=1 + number,
                models=("m1",),
                slots=SLOTS,
            )
            speed = 0.33 if number < slow else 1.0
            self._servers[server.server_id] = SimulatedServer(
                server=server, speed=speed
            )
        names = list(self._servers)
        self._routers = [
            Router(random=SystemRandom(seed=seed + entry), zone=ZONES[entry])
            for entry in range(3)
        ]
        for router in self._routers:
            for simulated in self._servers.values():
                router.add_server(simulated.server)
        self._balancers = [
            BaselineBalancer(policy, names, random.Random(seed + entry))
            for entry in range(3)
        ]
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self.delays: dict[int, list[float]] = {10: [], 90: []}
        self.cache_hits = 0

    def run(self, calls: list[SimulatedCall], seconds: float) -> None:
        """Replay the load until every call has ended."""
        for call in calls:
            self._schedule(call.at, lambda now, c=call: self._arrive(c, now))
        report_at = 0.0
        while report_at < seconds + 1:
            for number, name in enumerate(self._servers):
                offset = REPORT_INTERVAL_S * number / len(self._servers)
                self._schedule(
                    report_at + offset, lambda now, n=name: self._report_load(n, now)
                )
            report_at += REPORT_INTERVAL_S
        while self._events:
            now, _, callback = heapq.heappop(self._events)
            callback(now)

    def _schedule(self, at: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), callback))

    def _report_load(self, name: str, now: float) -> None:
        load = self._servers[name].report(name in self._frozen)
        for router in self._routers:
            router.record_load(name, load, now)
        for balancer in self._balancers:
            balancer.record_load(name, load)

    def _arrive(self, call: SimulatedCall, now: float) -> None:
        query = RouteQuery(
            pool=POOL,
            priority=call.priority,
            service_class=str(call.priority),
            affinity=call.affinity,
        )
        call_id = str(next(self._order))
        router = self._routers[call.entry]
        if self._policy == "expected_wait":
            choice = router.choose(query, frozenset(), now)
            assert choice is not None
            router.record_sent(choice, query, call_id, now)
        else:
            name = self._balancers[call.entry].choose()
            choice = Choice(server=self._servers[name].server)
        simulated = self._servers[choice.server.server_id]
        network_delay_s = 0.0
        if simulated.server.zone != ZONES[call.entry]:
            network_delay_s = CROSS_ZONE_DELAY_S
        arrived_at = now + network_delay_s

        def end(event_time: float) -> None:
            # As in the real programs, the end of a call carries a load report.
            server_id = simulated.server.server_id
            load = simulated.report(server_id in self._frozen)
            if self._policy == "expected_wait":
                router.record_load(server_id, load, event_time)
                router.record_end(
                    server_id, query, call_id, AttemptOutcome.ANSWERED, event_time
                )
            else:
                self._balancers[call.entry].record_load(server_id, load)

        self._schedule(
            arrived_at,
            lambda event_time: self._enqueue(simulated, call, end, event_time),
        )

    def _enqueue(
        self,
        simulated: SimulatedServer,
        call: SimulatedCall,
        end: Callable[[float], None],
        now: float,
    ) -> None:
        item = (-call.priority, next(self._order), (call, end))
        heapq.heappush(simulated.waiting, item)  # type: ignore[misc]
        self._start(simulated, now)

    def _start(self, simulated: SimulatedServer, now: float) -> None:
        while simulated.running < SLOTS and simulated.waiting:
            _, _, (call, end) = heapq.heappop(simulated.waiting)  # type: ignore[misc]
            simulated.running += 1
            prefill_s = PREFILL_S
            if call.affinity in simulated.prefixes:
                prefill_s = 0.0
                self.cache_hits += 1
                del simulated.prefixes[call.affinity]
            simulated.prefixes[call.affinity] = None
            if len(simulated.prefixes) > CACHED_PREFIXES:
                del simulated.prefixes[next(iter(simulated.prefixes))]
            first_s = (prefill_s + 0.02) / simulated.speed
            self.delays[call.priority].append(now + first_s - call.at)
            ended_at = now + (prefill_s + call.work_s) / simulated.speed
            self._schedule(
                ended_at,
                lambda event_time, s=simulated, e=end: self._finish(s, e, event_time),
            )

    def _finish(
        self,
        simulated: SimulatedServer,
        end: Callable[[float], None],
        now: float,
    ) -> None:
        simulated.running -= 1
        end(now)
        self._start(simulated, now)


def compute_quantile_ms(values: list[float], fraction: float) -> float:
    """Return a quantile of unsorted seconds, in milliseconds."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] * 1000


def measure_decision_us(servers: int, seed: int, rounds: int = 20_000) -> float:
    """Return the microseconds per decision.

    That includes recording the start and the end of the call.
    """
    simulation = Simulation("expected_wait", servers, seed, 0, 0)
    router = simulation._routers[0]
    for name, simulated in simulation._servers.items():
        router.record_load(name, simulated.report(False), 0.0)
    queries = [
        RouteQuery(pool=POOL, priority=90, service_class="90", affinity=number)
        for number in range(1, 500)
    ]
    started = time.perf_counter()
    for number in range(rounds):
        query = queries[number % len(queries)]
        now = number / 1000
        choice = router.choose(query, frozenset(), now)
        assert choice is not None
        router.record_sent(choice, query, str(number), now)
        server_id = choice.server.server_id
        router.record_end(server_id, query, str(number), AttemptOutcome.ANSWERED, now)
    return (time.perf_counter() - started) * 1e6 / rounds


POLICIES = ("random", "round_robin", "least_loaded", "power_of_two", "expected_wait")


def main(
    servers: int = 60,
    seed: int = 1,
    load: float = 0.8,
    seconds: float = 30.0,
    slow: int = 0,
    frozen: int = 0,
    decisions: bool = True,
) -> None:
    """Print first-token delays by policy, and the cost of a decision."""
    calls = generate_load(seed, servers, load, seconds)
    print(f"{servers} servers, load {load}, {slow} slow, {frozen} frozen, seed {seed}")
    print(
        f"{'way':14} {'p50':>6} {'p90':>6} {'p99':>7}  ms, high tier | low p99 | hits"
    )
    for policy in POLICIES:
        simulation = Simulation(policy, servers, seed, slow, frozen)
        simulation.run(calls, seconds)
        high, low = simulation.delays[90], simulation.delays[10]
        quantiles = [
            compute_quantile_ms(high, fraction) for fraction in (0.5, 0.9, 0.99)
        ]
        p50, p90, p99 = quantiles
        hit_rate = simulation.cache_hits / len(calls)
        low_p99 = compute_quantile_ms(low, 0.99)
        print(
            f"{policy:14} {p50:6.0f} {p90:6.0f} {p99:7.0f} {low_p99:21.0f} "
            f"{hit_rate:6.2f}"
        )
    for size in (6, 60, 600) if decisions else ():
        cost = measure_decision_us(size, seed)
        print(f"decision at {size:3} servers: {cost:.1f} us")


if __name__ == "__main__":
    fire.Fire(main)
