import itertools
import unittest
from dataclasses import replace

from carobspring.dispatch import (
    AttemptOutcome,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.domain import ServerLoad, ServiceKind
from carobspring.protocol import EngineLoad
from tests.dispatch.support import build_dispatcher, build_query, build_server

NONE = frozenset()
LONG = (("aa01", 2500), ("bb02", 3800), ("cc03", 2900))


def place(dispatcher, query=None, excluded=NONE, now=0.0):
    found = dispatcher.place(query or build_query(), excluded, now)
    return found.server.server_id if isinstance(found, Placement) else found.reason


class PlacementTests(unittest.TestCase):
    def test_refusals(self):
        """A request is refused only when no server is left for it."""
        dispatcher = build_dispatcher(build_server("s1"))
        self.assertEqual(place(dispatcher), "s1")
        self.assertIs(place(dispatcher, excluded={"s1"}), RefusalReason.ALL_TRIED)
        dispatcher.add_server(build_server("s1"), draining=True)
        self.assertIs(place(dispatcher), RefusalReason.NO_SERVERS)
        dispatcher.remove_server("s1")
        self.assertIs(place(dispatcher), RefusalReason.NO_SERVERS)

    def test_near_server_first(self):
        """At equal load the server in the entry's zone is chosen."""
        dispatcher = build_dispatcher(
            build_server("far", zone="b"), build_server("near", zone="a")
        )
        self.assertEqual({place(dispatcher) for _ in range(20)}, {"near"})

    def test_busy_plain_server_is_avoided(self):
        """A far plain server is chosen when the near one has no free slot."""
        kind = ServiceKind.PLAIN
        dispatcher = build_dispatcher(
            build_server("near", kind=kind, slots=6),
            build_server("far", zone="b", kind=kind, slots=6),
        )
        query = build_query()
        full = ServerLoad(running=6, waiting=12, slots=6)
        dispatcher.record_load("near", full, 0.0)
        self.assertEqual(place(dispatcher, query), "far")
        self.assertEqual(place(dispatcher, query, now=1.5), "near")

    def test_unreachable_server_is_probed(self):
        """After a pause, an unreachable server gets one probing request."""
        dispatcher = build_dispatcher(build_server("s1"), build_server("s2", zone="b"))
        query = build_query()
        placed = dispatcher.place(query, NONE, 0.0)
        dispatcher.record_sent(placed, query, 0.0)
        dispatcher.record_end("s1", "q", AttemptOutcome.UNREACHABLE, 0.1)
        self.assertEqual(place(dispatcher, now=0.2), "s2")
        probe = dispatcher.place(build_query("p"), NONE, 60.0)
        self.assertEqual(probe.server.server_id, "s1")
        dispatcher.record_sent(probe, build_query("p"), 60.0)
        self.assertEqual(place(dispatcher, build_query("r"), now=60.0), "s2")
        dispatcher.record_end("s1", "p", AttemptOutcome.ANSWERED, 60.1)
        self.assertEqual(place(dispatcher, build_query("r"), now=60.1), "s1")

    def test_restarted_server_has_no_cache(self):
        """Nothing is assumed to be cached at a server that restarted."""
        dispatcher = build_dispatcher(build_server("s1"))
        query = build_query(parts=LONG)
        dispatcher.record_sent(dispatcher.place(query, NONE, 0.0), query, 0.0)
        again = dispatcher.place(replace(query, request_id="r"), NONE, 0.1)
        self.assertEqual(again.unread_tokens, 0.0)
        dispatcher.add_server(build_server("s1", boot=2), draining=False)
        fresh = dispatcher.place(build_query("r", parts=LONG), NONE, 0.1)
        self.assertGreater(fresh.unread_tokens, 2900)


class ServingTests(unittest.TestCase):
    def test_is_serving(self):
        """A server serves from its answer until it fails or leaves."""
        sent, draining = "sent", "draining"
        answered, misdirected = AttemptOutcome.ANSWERED, AttemptOutcome.MISDIRECTED
        cases = {
            "nothing is known": ((), False),
            "a request is under way": ((sent,), True),
            "it answered": ((answered,), True),
            "it answered with an error": ((AttemptOutcome.SERVER_ERROR,), True),
            "a response was cut": ((answered, AttemptOutcome.INCOMPLETE), False),
            "that of one request of two": (
                (answered, sent, AttemptOutcome.INCOMPLETE),
                True,
            ),
            "it answered long ago": ((answered, 1.1), False),
            "it refuses connections": ((answered, AttemptOutcome.UNREACHABLE), False),
            "another one answered": ((answered, misdirected), False),
            "it drains": ((answered, draining), False),
            "it crashed": ((answered, "crash"), False),
            "it answers again": ((answered, misdirected, answered), True),
        }
        for name, (steps, expected) in cases.items():
            with self.subTest(name):
                server = build_server("s1")
                dispatcher = build_dispatcher(server)
                now, request_ids = 0.0, itertools.count()
                for step in steps:
                    if step == draining:
                        dispatcher.add_server(server, draining=True)
                    elif step == "crash":
                        dispatcher.record_crash("s1")
                    elif isinstance(step, float):
                        now += step
                    else:
                        query = build_query(f"q{next(request_ids)}")
                        placement = Placement(server=server, unread_tokens=0)
                        dispatcher.record_sent(placement, query, now)
                    if isinstance(step, AttemptOutcome):
                        dispatcher.record_end("s1", query.request_id, step, now)
                self.assertIs(dispatcher.is_serving(server, now), expected)
                later = build_server("s1", boot=2)
                self.assertIs(dispatcher.is_serving(later, now), False)


class HomeTests(unittest.TestCase):
    def setUp(self):
        self.servers = [build_server(f"s{n}", zone="abc"[n % 3]) for n in range(6)]

    def test_all_entries_agree(self):
        """A long shared prefix has one home for all entries."""
        for number in range(40):
            parts = (("aa", 2500), (f"{number:x}f", 3800), (f"{number:x}e", 900))
            homes = {
                place(
                    build_dispatcher(*self.servers, zone=zone), build_query(parts=parts)
                )
                for zone in "abc"
            }
            with self.subTest(parts=parts):
                self.assertEqual(len(homes), 1)

    def test_short_prefixes_stay_in_the_zone(self):
        """A short shared prefix has its home in the entry's zone."""
        for zone in "abc":
            dispatcher = build_dispatcher(*self.servers, zone=zone)
            for number in range(20):
                parts = (("aa", 300), (f"{number:x}f", 200), (f"{number:x}e", 900))
                server = place(dispatcher, build_query(parts=parts))
                found = next(s for s in self.servers if s.server_id == server)
                with self.subTest(zone=zone, number=number):
                    self.assertEqual(found.zone, zone)

    def test_busy_home_is_copied_from(self):
        """A server other than the busy home copies the prefix from it."""
        dispatcher = build_dispatcher(*self.servers)
        home = place(dispatcher, build_query(parts=LONG))
        for number in range(30):
            query = build_query(f"w{number}", prompt_tokens=9000)
            placed = dispatcher.place(build_query(parts=LONG), NONE, 0.0)
            if placed.server.server_id != home:
                break
            dispatcher.record_sent(placed, query, 0.0)
        self.assertNotEqual(placed.server.server_id, home)
        self.assertEqual(placed.prompt_source.server_id, home)

    def test_long_prefix_is_read_at_a_far_home(self):
        """A long prefix goes to its far home, whatever the target."""
        for number in range(20):
            parts = (("aa", 2500), (f"{number:x}f", 3800), (f"{number:x}e", 900))
            homes = {
                place(
                    build_dispatcher(*self.servers, zone=zone),
                    build_query(parts=parts, target_s=2.0),
                )
                for zone in "abc"
            }
            with self.subTest(parts=parts):
                self.assertEqual(len(homes), 1)

    def test_copies_of_a_zone_share_a_server(self):
        """Entries of a zone copy a prefix of a busy home to one server."""
        servers = [build_server(f"s{n}", zone="abc"[n % 3]) for n in range(30)]
        far_homes = 0
        for number in range(10):
            parts = (("aa", 2500), (f"{number:x}f", 3800), (f"{number:x}e", 900))
            query = build_query(parts=parts, target_s=1.2)
            copied_to = set()
            for seed in range(6):
                dispatcher = build_dispatcher(*servers, zone="a", seed=seed)
                first = dispatcher.place(query, NONE, 0.0)
                dispatcher.record_sent(first, query, 0.0)
                self.end(dispatcher, first, query)
                busy = EngineLoad(reading_tokens=30_000, tokens_per_s=50_000.0)
                dispatcher.record_engine_load(first.server.server_id, busy, 0.5)
                again = dispatcher.place(query, NONE, 0.5)
                if first.server.zone == "a":
                    # The home of all zones is in this one: nothing is copied.
                    break
                self.assertEqual(again.server.zone, "a")
                copied_to.add(again.server.server_id)
            with self.subTest(parts=parts):
                self.assertEqual(len(copied_to), first.server.zone != "a")
            far_homes += first.server.zone != "a"
        self.assertGreater(far_homes, 3)

    def end(self, dispatcher, placed, query):
        name = placed.server.server_id
        dispatcher.record_first_event(name, query.request_id, 0.2)
        dispatcher.record_end(name, query.request_id, AttemptOutcome.ANSWERED, 0.3)

    def test_draining_home(self):
        """Only the prompts of a draining home get another home."""
        dispatcher = build_dispatcher(*self.servers)
        queries = [
            build_query(parts=(("aa", 2500), (f"{n:x}f", 3800), (f"{n:x}e", 900)))
            for n in range(40)
        ]
        before = [place(dispatcher, query) for query in queries]
        dispatcher.add_server(self.servers[0], draining=True)
        after = [place(dispatcher, query) for query in queries]
        moved = [b for b, a in zip(before, after, strict=True) if b != a]
        self.assertEqual(set(moved), {"s0"})
        self.assertNotIn("s0", after)


class MoveTests(unittest.TestCase):
    def setUp(self):
        self.dispatcher = build_dispatcher(build_server("s1"), build_server("s2"))
        self.query = build_query(target_s=0.25)
        self.placed = self.dispatcher.place(self.query, NONE, 0.0)
        self.server = self.placed.server.server_id
        self.dispatcher.record_sent(self.placed, self.query, 0.0)

    def should_move(self, now, excluded=NONE):
        return self.dispatcher.should_move(self.query, self.server, excluded, now)

    def test_late_first_event(self):
        """A stream whose first event does not come in time is moved."""
        self.assertEqual([self.should_move(1.1), self.should_move(1.2)], [False, True])

    def test_long_target(self):
        """A long target for the first event delays the move."""
        query = build_query("long", target_s=1.2)
        self.dispatcher.record_sent(self.placed, query, 0.0)
        found = [
            self.dispatcher.should_move(query, self.server, NONE, now)
            for now in (2.3, 2.4)
        ]
        self.assertEqual(found, [False, True])

    def test_stalled_stream(self):
        """A stream whose events stop is moved after a second."""
        self.dispatcher.record_first_event(self.server, "q", 0.1)
        self.dispatcher.record_event(self.server, "q", 0.1, 0.2)
        self.assertEqual([self.should_move(1.1), self.should_move(1.2)], [False, True])

    def test_no_other_server(self):
        """Without another server a stream is not moved."""
        others = {"s1", "s2"} - {self.server}
        self.assertIs(self.should_move(3.0, excluded=others), False)

    def test_long_queue(self):
        """A late first event is no hang where all first events are late."""
        for number in range(8):
            name = f"o{number}"
            self.dispatcher.record_sent(self.placed, build_query(name), 0.0)
            self.dispatcher.record_first_event(self.server, name, 1.2)
        self.assertIs(self.should_move(1.3), False)

    def test_silent_server_is_avoided(self):
        """New requests avoid a server where an earlier one is overdue."""
        other = ({"s1", "s2"} - {self.server}).pop()
        found = {place(self.dispatcher, build_query("n"), now=0.9) for _ in range(20)}
        self.assertEqual(found, {other})


class EventGapTests(unittest.TestCase):
    def test_streams_avoid_long_event_gaps(self):
        """A stream with an event gap target avoids servers with long gaps."""
        dispatcher = build_dispatcher(build_server("slow"), build_server("even"))
        for number in range(200):
            dispatcher.record_event("slow", "x", 0.16, number * 0.1)
            dispatcher.record_event("even", "x", 0.09, number * 0.1)
        query = build_query(event_gap_target_s=0.15)
        found = {place(dispatcher, query, now=30.0) for _ in range(20)}
        self.assertEqual(found, {"even"})
        self.assertIsInstance(dispatcher.place(query, {"even"}, 30.0), Placement)
        self.assertIsInstance(dispatcher.place(query, {"even", "slow"}, 30.0), Refusal)
