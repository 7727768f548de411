import unittest
from collections import Counter
from dataclasses import replace

from carobspring.adapters.clock import SystemRandom
from carobspring.domain import BackendServer, LoadReport, ServiceKind
from carobspring.ports import RandomSource
from carobspring.routing import (
    AttemptOutcome,
    Choice,
    PoolKey,
    RouteQuery,
    Router,
    RoutingLimitError,
    RoutingLimits,
)

POOL = PoolKey(kind=ServiceKind.MODEL, target="m1")
HIGH = RouteQuery(pool=POOL, priority=90, service_class="chat")
LOW = RouteQuery(pool=POOL, priority=10, service_class="batch")
NO_EXCLUSIONS: frozenset[str] = frozenset()


class CountingRandom(RandomSource):
    """Counts index draws as a measure of the cost of a decision."""

    def __init__(self):
        self.draws = 0
        self._random = SystemRandom(seed=7)

    def draw_uniform(self):
        """Return a number from [0, 1)."""
        return self._random.draw_uniform()

    def draw_index(self, count):
        """Return an index below count."""
        self.draws += 1
        return self._random.draw_index(count)


def build_server(name, zone="z1", boot=1, models=("m1",)):
    """Return a runner with four slots."""
    return BackendServer(
        server_id=name,
        boot=boot,
        service="llm",
        kind=ServiceKind.MODEL,
        zone=zone,
        host="127.0.0.1",
        port=1,
        models=models,
        slots=4,
    )


def build_load(sequence=1, running=0, waiting=None, **fields):
    """Return a load report of a server with four slots and 100 ms calls."""
    return LoadReport(
        sequence=sequence,
        running=running,
        limit=4,
        waiting_by_priority=waiting,
        service_ms=100.0,
        first_token_ms=20.0,
        **fields,
    )


class RouterTest(unittest.TestCase):
    def setUp(self):
        """Create a router in zone z1."""
        self.random = CountingRandom()
        self.router = Router(random=self.random, zone="z1")

    def add(self, loads, zone="z1"):
        """Add servers with these load reports."""
        for name, load in loads.items():
            self.router.add_server(build_server(name, zone))
            self.router.record_load(name, load, 0.001)

    def count_choices(self, query, rounds=100, now=0.01, excluded=NO_EXCLUSIONS):
        """Return how often each server is chosen without sending calls."""
        chosen = Counter()
        for _ in range(rounds):
            choice = self.router.choose(query, excluded, now)
            chosen[choice.server.server_id if choice else None] += 1
        return chosen

    def send(self, server_id, call_id, now, query=HIGH):
        """Record that a call was sent."""
        server = self.router.find_server(server_id)
        self.router.record_sent(Choice(server=server), query, call_id, now)

    def end(self, server_id, call_id, end, now, query=HIGH):
        """Record that a call ended."""
        self.router.record_end(server_id, query, call_id, end, now)

    def test_choice_between_two(self):
        """The server with the shorter expected time is usually chosen."""
        idle = build_load()
        cases = {
            "full and idle": (build_load(running=4), idle, HIGH, "b"),
            "queue of the same priority": (
                build_load(running=4, waiting={90: 8}),
                build_load(running=4),
                HIGH,
                "b",
            ),
            "queue of a lower priority only": (
                build_load(running=4, waiting={10: 80}),
                build_load(running=4, waiting={90: 8}),
                HIGH,
                "a",
            ),
            "the same queues for a low-priority call": (
                build_load(running=4, waiting={10: 80}),
                build_load(running=4, waiting={90: 8}),
                LOW,
                "b",
            ),
            "draining": (build_load(draining=True), build_load(running=4), HIGH, "b"),
            "unhealthy": (build_load(unhealthy=True), build_load(running=4), HIGH, "b"),
        }
        for name, (first, second, query, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.add({"a": first, "b": second})
                chosen = self.count_choices(query)
                self.assertGreaterEqual(chosen[expected], 70)
                if first.draining or first.unhealthy:
                    self.assertEqual(chosen, {expected: 100})

    def test_own_sends_count_before_the_next_report(self):
        """Calls sent since the last report count as load of a server."""
        self.add({"a": build_load(), "b": build_load()})
        for number in range(40):
            choice = self.router.choose(HIGH, NO_EXCLUSIONS, 0.01)
            self.router.record_sent(choice, HIGH, str(number), 0.01)
        open_counts = [len(r.calls) for r in self.router._records.values()]
        self.assertEqual(sum(open_counts), 40)
        self.assertGreaterEqual(min(open_counts), 15)

    def test_own_sends_add_to_the_report(self):
        """Reported load and calls sent after the report are added up."""
        self.add({"a": build_load(running=4), "b": build_load(running=4)})
        for number in range(4):
            self.send("a", f"c{number}", 0.01)
        self.assertGreaterEqual(self.count_choices(HIGH, now=0.02)["b"], 70)
        self.router.record_load("a", build_load(sequence=2, running=4), 1.0)
        self.assertLess(self.count_choices(HIGH, now=1.0)["b"], 70)

    def test_frozen_report_does_not_attract_all_calls(self):
        """Own open calls count even if reports keep showing an idle server."""
        self.add({"a": build_load(), "b": build_load(running=3)})
        for number in range(12):
            self.send("a", f"c{number}", 0.01)
        for sequence in range(2, 9):
            self.router.record_load("a", build_load(sequence=sequence), sequence)
        self.assertGreaterEqual(self.count_choices(HIGH, now=8.01)["b"], 70)

    def test_report_out_of_order_is_dropped(self):
        """An older report never replaces a newer one."""
        self.add({"a": build_load(sequence=9, running=4, waiting={90: 9})})
        self.router.record_load("a", build_load(sequence=3), 0.002)
        choice = self.router.choose(HIGH, NO_EXCLUSIONS, 0.003)
        self.assertGreater(choice.wait_ms, 0)

    def test_same_zone_first_unless_waiting_costs_more(self):
        """Another zone is used once the entry's own zone is full."""
        self.add({"near1": build_load(), "near2": build_load()})
        self.add({"far1": build_load(), "far2": build_load()}, zone="z2")
        self.router.zones.record_round_trip("z2", 5.0)
        quick = replace(build_load(sequence=2), first_token_ms=17.0)
        for name in ("far1", "far2"):
            self.router.record_load(name, quick, 0.002)
        chosen = self.count_choices(HIGH)
        self.assertEqual(chosen["far1"] + chosen["far2"], 0)
        full = build_load(sequence=2, running=4, waiting={90: 4})
        for name in ("near1", "near2"):
            self.router.record_load(name, full, 0.002)
        chosen = self.count_choices(HIGH)
        self.assertGreaterEqual(chosen["far1"] + chosen["far2"], 60)

    def test_straggler_is_detected_from_own_observations(self):
        """A slow server gets fewer calls even if its reports look normal."""
        self.add({"a": build_load(), "b": build_load(), "c": build_load()})
        for number in range(60):
            for name, duration_s in (("a", 0.5), ("b", 0.1), ("c", 0.1)):
                call_id = f"{name}{number}"
                self.send(name, call_id, number)
                self.end(name, call_id, AttemptOutcome.ANSWERED, number + duration_s)
        self.assertLess(self.count_choices(HIGH, now=61)["a"], 25)

    def test_straggler_is_detected_before_its_call_ends(self):
        """A long overdue call without data marks its server as slow."""
        self.add({"a": build_load(), "b": build_load()})
        for number in range(10):
            for name in ("a", "b"):
                self.send(name, f"{name}{number}", number)
                self.end(name, f"{name}{number}", AttemptOutcome.ANSWERED, number + 0.1)
        self.send("a", "overdue", 20)
        self.assertLess(self.count_choices(HIGH, now=22)["a"], 30)
        self.router.record_data("a", "overdue")
        self.assertGreater(self.count_choices(HIGH, now=22)["a"], 30)

    def test_prefix_goes_to_its_server_until_it_is_loaded(self):
        """Calls with one prefix use one server unless it is overloaded."""
        self.add({f"s{number}": build_load() for number in range(20)})
        query = RouteQuery(pool=POOL, priority=90, service_class="chat", affinity=77)
        chosen = self.count_choices(query)
        self.assertEqual(len(chosen), 1)
        preferred = next(iter(chosen))
        full = build_load(sequence=2, running=4, waiting={90: 4})
        self.router.record_load(preferred, full, 0.002)
        self.assertEqual(self.count_choices(query)[preferred], 0)

    def test_preferred_server_is_the_same_at_every_entry(self):
        """Routers that add servers in any order choose the same ones."""
        names = [f"s{number}" for number in range(12)]
        others = [Router(random=SystemRandom(seed=n), zone="z1") for n in range(2)]
        for router, order in zip(others, (names, names[::-1]), strict=True):
            for name in order:
                router.add_server(build_server(name))
            router.remove_server("s3")
        preferred_servers = []
        for router in others:
            sticky = [
                RouteQuery(
                    pool=POOL,
                    priority=1,
                    service_class="c",
                    affinity=affinity,
                    sticky=True,
                )
                for affinity in range(1, 200)
            ]
            choices = [router.choose(query, NO_EXCLUSIONS, 0.0) for query in sticky]
            preferred_servers.append([c.server.server_id for c in choices])
        self.assertEqual(preferred_servers[0], preferred_servers[1])
        self.assertEqual(set(preferred_servers[0]), set(names) - {"s3"})

    def test_keyed_call_accepts_a_short_wait_at_its_preferred_server(self):
        """A keyed call uses its preferred server unless the wait is long."""
        self.add({f"s{number}": build_load() for number in range(20)})
        query = RouteQuery(
            pool=POOL, priority=9, service_class="c", affinity=7, sticky=True
        )
        preferred = next(iter(self.count_choices(query)))
        for sequence, waiting, expected in ((2, 20, 100), (3, 400, 0)):
            load = build_load(sequence=sequence, running=4, waiting={9: waiting})
            self.router.record_load(preferred, load, 0.01)
            self.assertEqual(self.count_choices(query)[preferred], expected)

    def test_cost_does_not_grow_with_the_number_of_servers(self):
        """A decision takes as many draws with 600 servers as with 6."""
        draws = []
        for size in (6, 60, 600):
            self.setUp()
            self.add({f"s{number}": build_load() for number in range(size)})
            self.random.draws = 0
            self.count_choices(HIGH, rounds=50)
            draws.append(self.random.draws)
        self.assertEqual(len(set(draws)), 1)

    def test_excluded_servers(self):
        """An excluded server is never chosen; finally none is left."""
        names = [f"s{number}" for number in range(5)]
        self.add({name: build_load() for name in names})
        excluded = set()
        for _ in names:
            choice = self.router.choose(HIGH, excluded, 0.01)
            self.assertNotIn(choice.server.server_id, excluded)
            excluded.add(choice.server.server_id)
        self.assertEqual(excluded, set(names))
        self.assertIsNone(self.router.choose(HIGH, excluded, 0.01))

    def test_servers_with_lower_priority_work(self):
        """A server with lower-priority work is found among hundreds."""
        loads = {f"s{number}": build_load(running=4) for number in range(300)}
        loads["x"] = build_load(running=4, running_by_priority={10: 1, 90: 3})
        loads["y"] = build_load(running=4, waiting={50: 1})
        self.add(loads)
        choose = self.router.choose_for_preemption
        self.assertEqual(choose(HIGH, NO_EXCLUSIONS, 0.01).server.server_id, "x")
        self.assertEqual(choose(HIGH, {"x"}, 0.01).server.server_id, "y")
        self.assertIsNone(choose(HIGH, {"x", "y"}, 0.01))
        self.assertIsNone(choose(LOW, NO_EXCLUSIONS, 0.01))
        self.router.record_load("x", build_load(sequence=2), 0.002)
        self.assertIsNone(choose(HIGH, {"y"}, 0.01))

    def test_breaker(self):
        """An unreachable server is skipped, then probed by one call.

        A failed probe opens the breaker again; a successful one closes it.
        """
        self.add({"a": build_load(), "b": build_load()})
        self.send("a", "c1", 1.0)
        self.end("a", "c1", AttemptOutcome.UNREACHABLE, 1.0)
        self.assertEqual(self.count_choices(HIGH, now=1.1), {"b": 100})
        self.assertEqual(self.count_choices(HIGH, now=1.1, excluded={"b"}), {None: 100})
        self.assertGreater(self.count_choices(HIGH, now=2.0)["a"], 0)
        self.send("a", "probe", 2.0)
        self.router.record_load("a", build_load(sequence=2), 2.05)
        self.assertEqual(self.count_choices(HIGH, now=2.1), {"b": 100})
        self.end("a", "probe", AttemptOutcome.UNREACHABLE, 2.2)
        self.assertEqual(self.count_choices(HIGH, now=2.9), {"b": 100})
        self.assertGreater(self.count_choices(HIGH, now=4.0)["a"], 0)
        self.send("a", "probe2", 4.0)
        self.router.record_data("a", "probe2")
        self.assertGreater(self.count_choices(HIGH, now=4.1)["a"], 0)

    def test_broken_stream_opens_the_breaker(self):
        """A broken stream opens the breaker immediately."""
        self.add({"a": build_load(), "b": build_load()})
        self.router.record_broken_stream("a", 1.0)
        self.assertEqual(self.count_choices(HIGH, now=1.1), {"b": 100})

    def test_single_failure_of_a_call_opens_no_breaker(self):
        """The breaker opens after two consecutive failures, not after one."""
        self.add({"a": build_load(), "b": build_load()})
        for number, expected in ((1, True), (2, False)):
            self.send("a", str(number), 1.0)
            self.end("a", str(number), AttemptOutcome.FAILED, 1.0)
            self.assertIs(self.count_choices(HIGH, now=1.1)["a"] > 0, expected)

    def test_abandoned_calls_do_not_affect_the_server(self):
        """Abandoned calls neither open the breaker nor count as slow."""
        self.add({"a": build_load(), "b": build_load()})
        for number in range(9):
            self.send("a", str(number), number)
            self.end("a", str(number), AttemptOutcome.ABANDONED, number + 5)
        self.assertGreater(self.count_choices(HIGH, now=20)["a"], 30)

    def test_restarted_server_has_a_new_breaker(self):
        """Failures before a restart don't count after it."""
        self.add({"a": build_load()})
        self.end("a", "c1", AttemptOutcome.UNREACHABLE, 1.0)
        self.assertIsNone(self.router.choose(HIGH, NO_EXCLUSIONS, 1.1))
        self.router.add_server(build_server("a", boot=2))
        choice = self.router.choose(HIGH, NO_EXCLUSIONS, 1.1)
        self.assertEqual(choice.server.boot, 2)

    def test_removed_server_is_never_chosen(self):
        """A removed server is immediately absent from every pool."""
        self.add({"a": build_load(), "b": build_load()})
        self.router.remove_server("a")
        self.assertEqual(self.count_choices(HIGH), {"b": 100})
        self.router.remove_server("b")
        self.assertIsNone(self.router.choose(HIGH, NO_EXCLUSIONS, 0.01))
        self.assertIs(self.router.has_seen_pool(POOL), True)

    def test_retry_budget(self):
        """Once the burst is spent, retries are limited to a share of calls."""
        budget = self.router.budget
        while budget.spend():
            pass
        granted = 0
        for _ in range(1000):
            budget.record_call()
            granted += budget.spend()
        self.assertLessEqual(granted, 200)
        self.assertGreaterEqual(granted, 199)

    def test_invalid_limits(self):
        """A limit out of range raises an error that names it."""
        with self.assertRaisesRegex(RoutingLimitError, "retry_share: got 3"):
            RoutingLimits(retry_share=3)
