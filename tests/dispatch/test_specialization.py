import unittest
from dataclasses import replace

from carobspring.adapters.clock import SystemRandom
from carobspring.dispatch import AttemptOutcome, Dispatcher
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.notices import ServerNotice
from carobspring.dispatch.servers import ServerRecord
from carobspring.dispatch.specialization import (
    EngineDemand,
    Specialization,
    is_prefill_heavy,
)
from carobspring.protocol import EngineLoad
from carobspring.routing import CircuitBreaker, RoutingLimits
from tests.dispatch.support import build_query, build_server

LIMITS = DispatchLimits()
#: A chat has 700 prompt and 280 output tokens; a long prompt has 9,000, of
#: which add_mix counts 3,000 as unread, and 50 output tokens.
CHAT = build_query(
    "chat", prompt_tokens=700, output_tokens=280, event_gap_target_s=0.15
)
LONG = build_query("long", prompt_tokens=9000, output_tokens=50)
NONE = frozenset()
ANSWERED = AttemptOutcome.ANSWERED


def build_records(count, zones="abc"):
    return [
        ServerRecord(
            server=build_server(f"s{n}", zone=zones[n % len(zones)]),
            limits=LIMITS,
            breaker=CircuitBreaker(RoutingLimits()),
            notice=ServerNotice(),
            random=SystemRandom(seed=1),
        )
        for n in range(count)
    ]


def add_mix(specialization, *, chats, longs, now=0.0):
    for _ in range(chats):
        specialization.add(CHAT, 700, now)
    for _ in range(longs):
        specialization.add(LONG, 3000, now)


class SpecializationTests(unittest.TestCase):
    def setUp(self):
        self.specialization = Specialization(limits=LIMITS)

    def count(self, records, now=0.0):
        return len(self.specialization.select_generating(records, now))

    def test_prefill_heavy_requests(self):
        """A request is prefill-heavy by prompt length relative to output."""
        self.assertIs(is_prefill_heavy(LONG), True)
        self.assertIs(is_prefill_heavy(CHAT), False)

    def test_no_specialization_without_traffic(self):
        """No engine is reserved without traffic, or with few engines."""
        self.assertEqual(self.count(build_records(6)), 0)
        add_mix(self.specialization, chats=50, longs=50)
        self.assertEqual(self.count(build_records(2)), 0)

    def test_number_follows_the_work_mix(self):
        """The number of reserved engines grows with the generating share."""
        records = build_records(24)
        add_mix(self.specialization, chats=30, longs=170)
        few = self.count(records)
        self.assertIn(few, range(4, 7))
        add_mix(self.specialization, chats=300, longs=0)
        more = self.count(records)
        self.assertGreater(more, 12)
        self.assertLess(more, 24)
        add_mix(self.specialization, chats=30, longs=170, now=60.0)
        self.assertEqual(self.count(records, 60.0), few)

    def test_number_follows_all_entries(self):
        """A recent demand of all entries replaces this entry's own mix."""
        records = build_records(24)
        add_mix(self.specialization, chats=30, longs=170)
        for demand_s, count in ((0.65, 1), (3.25, 5), (3.5, 5), (6.5, 10), (100.0, 23)):
            with self.subTest(demand_s=demand_s):
                demand = EngineDemand(generating_s=demand_s)
                self.specialization.update_demand(demand, 0.0)
                self.assertEqual(self.count(records), count)
        self.assertIn(self.count(records, 6.0), range(4, 7))

    def test_engines_with_room(self):
        """With engines to spare, streams get up to one in each zone."""
        records = build_records(24)
        cases = {
            "both need few": (1.0, 3.0, 3),
            "streams need one": (0.2, 4.6, 1),
            "streams need most": (6.0, 6.0, 9),
            "overload": (6.5, 60.0, 10),
            "reading not known": (6.5, 0.0, 10),
        }
        for name, (generating_s, reading_s, count) in cases.items():
            with self.subTest(name):
                self.specialization.update_demand(
                    EngineDemand(generating_s=generating_s, reading_s=reading_s), 0.0
                )
                self.assertEqual(self.count(records), count)

    def test_long_prompts_do_not_change_the_demand(self):
        """A burst of long prompts does not change the generating demand."""
        add_mix(self.specialization, chats=50, longs=100)
        before = self.specialization.compute_demand(1.0)
        add_mix(self.specialization, chats=0, longs=1000, now=1.0)
        after = self.specialization.compute_demand(1.0)
        self.assertEqual(after.generating_s, before.generating_s)
        self.assertGreater(after.reading_s, before.reading_s)

    def test_small_changes_are_ignored(self):
        """Small changes of the mix do not change the number of engines."""
        records = build_records(6)
        add_mix(self.specialization, chats=60, longs=140)
        found = {self.count(records)}
        for number in range(100):
            is_chat = number % 10 < 3
            add_mix(self.specialization, chats=is_chat, longs=not is_chat)
            found.add(self.count(records))
        self.assertEqual(len(found), 1)

    def test_entries_agree(self):
        """The selection does not depend on the order of the servers."""
        records = build_records(12)
        add_mix(self.specialization, chats=60, longs=140)
        found = self.specialization.select_generating(records, 0.0)
        again = self.specialization.select_generating(records[::-1], 0.0)
        self.assertEqual(found, again)

    def test_zones_alternate(self):
        """Three engines are in three zones."""
        records = build_records(12)
        add_mix(self.specialization, chats=40, longs=160)
        found = self.specialization.select_generating(records, 0.0)
        zones = [r.server.zone for r in records if r.server.server_id in found]
        self.assertEqual(sorted(zones), ["a", "b", "c"])

    def test_leaving_engine(self):
        """The other selected engines stay when one leaves."""
        records = build_records(12, zones="a")
        add_mix(self.specialization, chats=60, longs=140)
        before = self.specialization.select_generating(records, 0.0)
        gone = sorted(before)[0]
        left = [r for r in records if r.server.server_id != gone]
        after = self.specialization.select_generating(left, 0.0)
        self.assertLessEqual(before - {gone}, after)


class PlacementTests(unittest.TestCase):
    """Streams and long prompts together, through the real dispatcher."""

    def setUp(self):
        self.dispatcher = Dispatcher(zone="a", random=SystemRandom(seed=1))
        for number in range(6):
            server = build_server(f"s{number}", zone="abc"[number % 3])
            self.dispatcher.add_server(server, draining=False)
        self.number = 0

    def send(self, query, now):
        self.number += 1
        query = replace(query, request_id=f"q{self.number}")
        placed = self.dispatcher.place(query, NONE, now)
        self.dispatcher.record_sent(placed, query, now)
        name = placed.server.server_id
        self.dispatcher.record_first_event(name, query.request_id, now)
        self.dispatcher.record_end(name, query.request_id, ANSWERED, now)
        return placed.server.server_id

    def test_streams_and_long_prompts_are_separated(self):
        """Streams and long prompts share no engine."""
        places = {"chat": set(), "long": set()}
        for number in range(400):
            now = number * 0.02
            query = CHAT if number % 3 == 0 else LONG
            server_id = self.send(query, now)
            if number >= 100:
                places[query.request_id].add(server_id)
        self.assertEqual(places["chat"] & places["long"], set())
        self.assertLess(len(places["chat"]), len(places["long"]))

    def test_lower_rank_prompts_avoid_stream_engines(self):
        """Prompts of lower rank avoid the streams' engines in overload."""
        for number in range(200):
            self.send(CHAT if number % 3 == 0 else LONG, number * 0.02)
        stream_engines = {self.send(CHAT, 4.0) for _ in range(20)}
        full = EngineLoad(reading_tokens=150_000, tokens_per_s=50_000.0)
        for number in range(6):
            if f"s{number}" not in stream_engines:
                self.dispatcher.record_engine_load(f"s{number}", full, 4.0)
        lower = replace(LONG, priority=5)
        self.assertNotIn(self.send(lower, 4.0), stream_engines)
        higher = replace(LONG, priority=CHAT.priority)
        self.assertIn(self.send(higher, 4.0), stream_engines)
