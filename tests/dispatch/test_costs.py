import unittest
from dataclasses import replace

from carobspring.adapters.clock import SystemRandom
from carobspring.dispatch.costs import estimate_cost
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.notices import ServerNotice
from carobspring.dispatch.servers import ServerRecord
from carobspring.domain import ServerLoad, ServiceKind
from carobspring.protocol import EngineLoad
from carobspring.routing import CircuitBreaker, RoutingLimits
from tests.dispatch.support import build_dispatcher, build_query, build_server

LIMITS = DispatchLimits()
LOAD = ServerLoad(running=70, waiting=3, slots=64)
PARTS = (("aa", 2520), ("bb", 3780), ("cc", 2000))
#: A long prompt, a chat, and a prompt with a short shared prefix.
QUERIES = {
    "long": build_query("long", parts=PARTS, output_tokens=50, target_s=1.2),
    "chat": build_query(
        "chat", prompt_tokens=700, output_tokens=280, event_gap_target_s=0.1
    ),
    "short": build_query("short", parts=(("dd", 300), ("ee", 400)), output_tokens=90),
}
#: Components of costs, and the unread tokens, before servers reported a
#: slowdown and before the memory of engines was accounted for.
EXPECTED = {
    "long at home, homeless": (
        0.34548958333333324,
        0.0,
        0.012,
        0.0,
        0.0,
        0.0,
        0.35748958333333325,
    ),
    "long at home, with home": (
        0.34548958333333324,
        0.0,
        0.012,
        0.0,
        0.0,
        0.0,
        0.35748958333333325,
    ),
    "long at near, homeless": (
        0.5449374999999999,
        0.0,
        0.0,
        0.0,
        1.0,
        0.0,
        1.5449374999999999,
    ),
    "long at near, with home": (
        0.5449374999999999,
        0.0,
        0.0,
        0.0,
        1.0,
        0.0,
        1.5449374999999999,
    ),
    "long at idle, homeless": (
        0.0,
        0.13833333333333334,
        0.0,
        0.0,
        0.0,
        8300.0,
        0.13833333333333334,
    ),
    "long at idle, with home": (
        0.0,
        0.09333333333333334,
        0.0,
        0.0,
        0.0,
        2000.0,
        0.09333333333333334,
    ),
    "long at plain, homeless": (4.85025, 0.0, 0.0, 0.0, 0.0, 0.0, 4.85025),
    "long at plain, with home": (4.85025, 0.0, 0.0, 0.0, 0.0, 0.0, 4.85025),
    "chat at home, homeless": (
        0.34548958333333324,
        0.011666666666666667,
        0.008,
        0.0,
        0.15,
        700.0,
        0.5151562499999999,
    ),
    "chat at home, with home": (
        0.34548958333333324,
        0.011666666666666667,
        0.008,
        0.0,
        0.15,
        700.0,
        0.5151562499999999,
    ),
    "chat at near, homeless": (
        0.39327083333333324,
        0.011666666666666667,
        0.0,
        0.0,
        0.0,
        700.0,
        0.4049374999999999,
    ),
    "chat at near, with home": (
        0.39327083333333324,
        0.011666666666666667,
        0.0,
        0.0,
        0.0,
        700.0,
        0.4049374999999999,
    ),
    "chat at idle, homeless": (
        0.0,
        0.011666666666666667,
        0.0,
        0.0,
        0.15,
        700.0,
        0.16166666666666665,
    ),
    "chat at idle, with home": (
        0.0,
        0.011666666666666667,
        0.0,
        0.0,
        0.15,
        700.0,
        0.16166666666666665,
    ),
    "chat at plain, homeless": (4.85025, 0.0, 0.0, 0.0, 0.0, 0.0, 4.85025),
    "chat at plain, with home": (4.85025, 0.0, 0.0, 0.0, 0.0, 0.0, 4.85025),
    "short at home, homeless": (
        0.34548958333333324,
        0.011666666666666667,
        0.008,
        0.0,
        0.15,
        700.0,
        0.5151562499999999,
    ),
    "short at home, with home": (
        0.34548958333333324,
        0.007666666666666666,
        0.008,
        0.0,
        0.15,
        460.0,
        0.5111562499999999,
    ),
    "short at near, homeless": (
        0.39327083333333324,
        0.011666666666666667,
        0.0,
        0.0,
        0.0,
        700.0,
        0.4049374999999999,
    ),
    "short at near, with home": (
        0.39327083333333324,
        0.011666666666666667,
        0.0,
        0.0,
        0.0,
        700.0,
        0.4049374999999999,
    ),
    "short at idle, homeless": (
        0.0,
        0.011666666666666667,
        0.0,
        0.0,
        0.15,
        700.0,
        0.16166666666666665,
    ),
    "short at idle, with home": (
        0.0,
        0.011666666666666667,
        0.0,
        0.0,
        0.15,
        700.0,
        0.16166666666666665,
    ),
    "short at plain, homeless": (4.85025, 0.0, 0.0, 0.0, 0.0, 0.0, 4.85025),
    "short at plain, with home": (4.85025, 0.0, 0.0, 0.0, 0.0, 0.0, 4.85025),
}


def build_record(name, **values):
    return ServerRecord(
        server=build_server(name, **values),
        limits=LIMITS,
        breaker=CircuitBreaker(RoutingLimits()),
        notice=ServerNotice(),
        random=SystemRandom(seed=1),
    )


def estimate(record, query, *, home=None, near_home=None, now=0.5, **values):
    return estimate_cost(
        record,
        query,
        zone="a",
        home=home,
        near_home=near_home,
        generating=frozenset(values.pop("generating", ())),
        generating_rank=0,
        kv_capacity_tokens=values.pop("kv_capacity_tokens", 0),
        limits=LIMITS,
        now=now,
        **values,
    )


def build_busy_records():
    """Return a home with a load, and others with and without one."""
    records = {
        "home": build_record("home", zone="b"),
        "near": build_record("near"),
        "idle": build_record("idle"),
        "plain": build_record("plain", kind=ServiceKind.PLAIN, slots=6),
    }
    for number, record in enumerate(records.values()):
        if record.server.server_id == "idle":
            continue
        record.record_load(LOAD, 0.0)
        for index in range(4 + number):
            query = replace(QUERIES["long"], request_id=f"q{index}")
            record.record_sent(query, 2000.0 + 100 * index, 0.01 * index)
        for index in range(2):
            call = record.in_flight[f"q{index}"]
            record.record_first_event(call, 0.3 + 0.05 * index)
            record.event_gaps.observe(0.2)
        del record.in_flight["q0"]
        record.service_time_s.observe(0.37)
    records["near"].record_engine_load(
        EngineLoad(reading_tokens=30_000, tokens_per_s=45_000.0), 0.1
    )
    return records


def list_estimates(*, has_capacity=False):
    """Return the estimate of each query at each server."""
    options = {"kv_capacity_tokens": 1_000_000} if has_capacity else {}
    records = build_busy_records()
    home = records["home"]
    return {
        f"{name} at {place}, {'homeless' if known is None else 'with home'}": estimate(
            record,
            query,
            home=known,
            near_home=known and records["near"],
            generating={"near"},
            **options,
        )
        for name, query in QUERIES.items()
        for place, record in records.items()
        for known in (None, home)
    }


class UnchangedCostTests(unittest.TestCase):
    def test_costs_without_new_figures(self):
        """Deployments without the new figures are served as before.

        So are those that stay far below the memory of their engines.
        """
        for has_capacity in (False, True):
            estimates = list_estimates(has_capacity=has_capacity)
            self.assertEqual(set(estimates), set(EXPECTED))
            for name, found in estimates.items():
                with self.subTest(name, has_capacity=has_capacity):
                    components = (
                        found.wait_s,
                        found.prefill_s,
                        found.cross_zone_s,
                        found.event_gap_s,
                        found.mixing_s,
                        found.unread_tokens,
                        found.cost_s,
                    )
                    self.assertEqual(components, EXPECTED[name])
                    self.assertEqual(found.memory_s, 0.0)


class SlowdownTests(unittest.TestCase):
    """A reported slowdown scales what is predicted, and nothing else."""

    SLOWDOWN = 1.5

    def estimate_both(self, query, *, now=0.5, prepare=None, **options):
        """Return the cost at a server as usual, and with a slowdown."""
        estimates = []
        for slowdown in (None, self.SLOWDOWN):
            record = build_record("s1", **options)
            if prepare is not None:
                prepare(record)
            record.record_load(replace(LOAD, slowdown=slowdown), now)
            estimates.append(estimate(record, query, now=now, kv_capacity_tokens=1))
        return estimates

    def assert_scaled(self, usual, slow, *, measured_s=0.0):
        """Check each component; a part of the wait was measured."""
        scaled_s = (usual.wait_s - measured_s) * self.SLOWDOWN
        self.assertAlmostEqual(slow.wait_s, scaled_s + measured_s)
        self.assertAlmostEqual(slow.prefill_s, usual.prefill_s * self.SLOWDOWN)
        self.assertAlmostEqual(slow.memory_s, usual.memory_s * self.SLOWDOWN)
        unscaled = ("cross_zone_s", "event_gap_s", "mixing_s", "unread_tokens")
        for name in unscaled:
            self.assertEqual(getattr(slow, name), getattr(usual, name))

    def test_engine(self):
        """Wait and prefill of an engine grow in proportion."""
        for name, query in QUERIES.items():
            with self.subTest(name):
                usual, slow = self.estimate_both(query, zone="b")
                self.assertGreater(usual.wait_s, 0.0)
                self.assertGreater(usual.prefill_s, 0.0)
                self.assertGreater(usual.memory_s, 0.0)
                self.assert_scaled(usual, slow)

    def test_reported_backlog(self):
        """The wait behind an engine's reported backlog grows too."""
        load = EngineLoad(reading_tokens=30_000, tokens_per_s=45_000.0)
        usual, slow = self.estimate_both(
            QUERIES["long"], prepare=lambda r: r.record_engine_load(load, 0.5)
        )
        self.assertGreater(usual.wait_s, 30_000 / 45_000)
        self.assert_scaled(usual, slow)

    def test_plain_server(self):
        """The service time of a plain server grows in proportion."""
        usual, slow = self.estimate_both(
            QUERIES["short"], kind=ServiceKind.PLAIN, slots=6
        )
        self.assertGreater(usual.wait_s, 0.0)
        self.assert_scaled(usual, slow)

    def test_silence(self):
        """Silence is measured by the clock, whatever the speed."""

        def send(record):
            record.record_sent(QUERIES["short"], 0.0, 0.0)

        for kind in ServiceKind:
            with self.subTest(kind):
                usual, slow = self.estimate_both(
                    QUERIES["chat"], now=3.0, prepare=send, kind=kind, slots=6
                )
                silence_s = 3.0 - LIMITS.allowed_silence_s
                self.assert_scaled(usual, slow, measured_s=silence_s)

    def test_observed_wait(self):
        """The wait that first events showed already contains the speed."""

        def observe(record):
            record.record_sent(QUERIES["short"], 0.0, 0.0)
            record.record_first_event(record.in_flight["short"], 0.5)

        usual, slow = self.estimate_both(QUERIES["chat"], prepare=observe)
        observed_s = (0.5 - LIMITS.first_event_s) * LIMITS.smoothing
        self.assert_scaled(usual, slow, measured_s=observed_s)

    def test_observed_service_time(self):
        """A slow answer isn't counted twice, as slow and as a slowdown."""
        usual, slow = build_record("s1"), build_record("s2")
        usual.record_service_time(0.4, 1.0)
        slow.record_load(replace(LOAD, slowdown=2.0), 1.0)
        slow.record_service_time(0.8, 1.0)
        self.assertEqual(usual.service_time_s.value, slow.service_time_s.value)

    def test_log(self):
        """The log names the factor, which would else look like a long wait."""
        dispatcher = build_dispatcher(build_server("s1"))
        dispatcher.record_load("s1", replace(LOAD, slowdown=1.5), 0.0)
        placement = dispatcher.place(QUERIES["chat"], frozenset(), 0.1)
        self.assertIn("slowdown=1.50 ", placement.reason)
        self.assertIn("memory=0.000 ", placement.reason)

    def test_copy_and_home(self):
        """Neither copying a prefix nor the home's reading is scaled."""
        for has_prefix in (True, False):
            with self.subTest(has_prefix=has_prefix):
                estimates = []
                for slowdown in (None, self.SLOWDOWN):
                    home, record = build_record("home"), build_record("s1")
                    if has_prefix:
                        home.record_sent(QUERIES["long"], 8300.0, 0.4)
                    record.record_load(replace(LOAD, slowdown=slowdown), 0.5)
                    estimates.append(estimate(record, QUERIES["long"], home=home))
                usual, slow = estimates
                own_s = usual.unread_tokens / LIMITS.prefill_tokens_per_s
                added_s = slow.prefill_s - usual.prefill_s
                self.assertAlmostEqual(added_s, own_s * (self.SLOWDOWN - 1))
