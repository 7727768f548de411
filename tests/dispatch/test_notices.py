import dataclasses
import unittest

from carobspring.dispatch import (
    AttemptOutcome,
    DispatchLimits,
    NoticeChange,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.dispatch.notices import MAX_RETURN_S
from carobspring.routing import BreakerState
from tests.dispatch.support import build_dispatcher, build_query, build_server

MAX_REST_S = DispatchLimits().max_rest_s
#: Share of a rest by which an entry may return later.
SPREAD = 1.1


class RestTests(unittest.TestCase):
    def setUp(self):
        self.servers = [build_server(f"s{number}") for number in range(2)]
        self.dispatcher = build_dispatcher(*self.servers)

    def place(self, now, **options):
        query = build_query("q", now=now, **options)
        return self.dispatcher.place(query, frozenset(), now)

    def rest(self, server, rest_s, now=0.0):
        return self.dispatcher.record_rest(server, rest_s, now)

    def send(self, server, request_id, now):
        query = build_query(request_id)
        placement = Placement(server=server)
        self.dispatcher.record_sent(placement, query, now)

    def test_lengths(self):
        """A server gets nothing for as long as it asked, within bounds."""
        cases = {
            # name: (rests as (time, seconds), resting at, free at)
            "whole seconds": (((0.0, 3.0),), 2.99, 3.0 * SPREAD),
            "a fraction": (((0.0, 0.2),), 0.19, 0.2 * SPREAD),
            "none": (((0.0, 0.0),), None, 0.0),
            "a longer one follows": (((0.0, 1.0), (0.5, 3.0)), 3.49, 3.5 * SPREAD),
            "a shorter one follows": (((0.0, 3.0), (0.5, 1.0)), 2.99, 3.3),
            "too long": (((0.0, 1e9),), MAX_REST_S - 0.01, MAX_REST_S + 1.0),
            "negative": (((0.0, -1.0),), None, 0.0),
            "no number": (((0.0, None),), None, 0.0),
        }
        for name, (rests, resting_at, free_at) in cases.items():
            with self.subTest(name):
                self.setUp()
                for at, rest_s in rests:
                    self.rest(self.servers[0], rest_s, at)
                if resting_at is not None:
                    for _ in range(20):
                        placement = self.place(resting_at)
                        self.assertEqual(placement.server, self.servers[1])
                    self.assertIs(
                        self.dispatcher.may_send(self.servers[0], resting_at), False
                    )
                self.assertIs(self.dispatcher.may_send(self.servers[0], free_at), True)

    def test_changes_are_reported_once(self):
        """Each rest is reported once, and so is what is no rest."""
        server = self.servers[0]
        self.assertIs(self.rest(server, 1.0), NoticeChange.RESTS)
        self.assertIsNone(self.rest(server, 1.0, 0.5))
        self.assertIs(self.dispatcher.take_return(server, 1.0), False)
        self.assertIs(self.dispatcher.take_return(server, 2.0), True)
        self.assertIs(self.dispatcher.take_return(server, 2.0), False)
        self.assertIs(self.rest(server, 1.0, 3.0), NoticeChange.RESTS)
        for invalid, other in ((None, -1.0), (-1.0, None)):
            with self.subTest(invalid=invalid):
                self.setUp()
                change = self.rest(server, invalid, 3.0)
                self.assertIs(change, NoticeChange.INVALID_REST)
                self.assertIsNone(self.rest(server, other, 3.0))

    def test_rest_belongs_to_one_start(self):
        """It outlasts the listing of a start, and ends with the start."""
        server = self.servers[0]
        later = dataclasses.replace(server, boot=2)
        cases = {"listed again": (server, False), "a later start": (later, True)}
        for name, (listed, expected) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.rest(server, 3.0)
                self.dispatcher.remove_server(server.server_id)
                self.assertIs(self.dispatcher.may_send(server, 1.0), False)
                self.dispatcher.add_server(listed, draining=False)
                self.assertIs(self.dispatcher.may_send(listed, 1.0), expected)
                self.assertIs(self.dispatcher.may_send(server, 1.0), False)

    def test_all_rest(self):
        """A request is refused until the first server wants requests."""
        for server, rest_s in zip(self.servers, (3.0, 2.0), strict=True):
            self.rest(server, rest_s)
        refusal = self.place(0.5, priority=2)
        self.assertIsInstance(refusal, Refusal)
        self.assertEqual(refusal.reason, RefusalReason.RESTING)
        self.assertEqual(refusal.detail, "resting=2")
        self.assertTrue(1.5 <= refusal.wait_s <= 2.0 * SPREAD - 0.5 + 0.02)
        self.assertGreater(refusal.retry_after_s, refusal.wait_s - 0.02)

    def test_more_urgent_requests_wait_less(self):
        """Waiting requests return in the order of their ranks."""
        for server in self.servers:
            self.rest(server, 2.0)
        waits = [self.place(0.5, priority=rank).wait_s for rank in range(4)]
        self.assertEqual(waits, sorted(set(waits)))

    def test_load_returns_by_degrees(self):
        """Each answer doubles the requests that may be unanswered."""
        server = self.servers[0]
        self.rest(server, 1.0)
        free_at = 1.0 * SPREAD
        only = frozenset({self.servers[1].server_id})
        sent = 0
        for allowed in (1, 2, 4):
            for _ in range(allowed):
                placement = self.dispatcher.place(build_query(), only, free_at)
                self.assertEqual(placement.server, server)
                self.send(server, f"r{sent}", free_at)
                sent += 1
            refusal = self.dispatcher.place(build_query(), only, free_at)
            self.assertIn("returning=1", refusal.detail)
            for number in range(sent):
                self.dispatcher.record_end(
                    server.server_id,
                    f"r{number}",
                    AttemptOutcome.NOT_RUN,
                    free_at,
                )
            self.send(server, "answered", free_at)
            self.dispatcher.record_first_event(server.server_id, "answered", free_at)
        self.assertIsInstance(
            self.dispatcher.place(build_query(), only, free_at + 3.0), Placement
        )

    def test_entries_return_at_different_times(self):
        """A server doesn't get the load of all entries at one moment."""
        ends = set()
        for seed in range(10):
            dispatcher = build_dispatcher(self.servers[0], seed=seed)
            dispatcher.record_rest(self.servers[0], 2.0, 0.0)
            ends.add(dispatcher._notices.find(self.servers[0]).rest_until)
        self.assertEqual(len(ends), 10)
        self.assertTrue(2.0 <= min(ends) <= max(ends) <= 2.0 * SPREAD)

    def test_return_of_a_server_that_answers_nothing(self):
        """The bound of its load ends some time after the rest."""
        server = self.servers[0]
        self.rest(server, 1.0)
        only = frozenset({self.servers[1].server_id})
        self.send(server, "r1", 1.2)
        for now, is_placed in ((1.3, False), (1.0 * SPREAD + MAX_RETURN_S, True)):
            placement = self.dispatcher.place(build_query(), only, now)
            self.assertIs(isinstance(placement, Placement), is_placed)

    def test_responses_bring_load_back(self):
        """A complete response or an error counts, and a rejection doesn't."""
        only = frozenset({self.servers[1].server_id})
        server = self.servers[0]
        for outcome, allowed in (
            (AttemptOutcome.ANSWERED, 2),
            (AttemptOutcome.SERVER_ERROR, 2),
            (AttemptOutcome.NOT_RUN, 1),
        ):
            with self.subTest(outcome=outcome):
                self.setUp()
                self.rest(server, 1.0)
                self.send(server, "r", 1.2)
                self.dispatcher.record_end("s0", "r", outcome, 1.2)
                sent = 0
                while sent < 9 and isinstance(
                    self.dispatcher.place(build_query(), only, 1.2), Placement
                ):
                    self.send(server, f"r{sent}", 1.2)
                    sent += 1
                self.assertEqual(sent, allowed)

    def test_resting_server_has_not_failed(self):
        """Its breaker and its speed stay as they are."""
        server = self.servers[0]
        self.send(server, "r1", 0.0)
        self.rest(server, 1.0)
        self.dispatcher.record_end(server.server_id, "r1", AttemptOutcome.NOT_RUN, 0.01)
        record = self.dispatcher._records[server.server_id]
        self.assertIs(record.breaker.state, BreakerState.CLOSED)
        self.assertEqual(record.service_time_s.count, 0)

    def test_stream_is_not_moved_to_a_resting_server(self):
        """A silent server is kept while the others rest."""
        first, second = self.servers
        for rests in (True, False):
            with self.subTest(rests=rests):
                self.setUp()
                self.send(first, "q", 0.0)
                if rests:
                    self.rest(second, 9.0)
                query = build_query("q")
                moves = self.dispatcher.should_move(query, "s0", frozenset(), 5.0)
                self.assertIs(moves, not rests)


class LeaveTests(unittest.TestCase):
    def test_leaving_server(self):
        """It gets nothing at once, for the rest of its start."""
        server, other = (build_server(f"s{number}") for number in range(2))
        later = dataclasses.replace(server, boot=2)
        reused = dataclasses.replace(server, server_id="s9", boot=2)
        cases = {
            # name: (server listed after it said so or None, servers placed at)
            "at once": (None, {"s1"}),
            "it checks in as ready": (server, {"s1"}),
            "its next start": (later, {"s0", "s1"}),
            "another one at its address": (reused, {"s1", "s9"}),
        }
        for name, (listed, expected) in cases.items():
            with self.subTest(name):
                dispatcher = build_dispatcher(server, other)
                self.assertIs(dispatcher.record_leaving(server), NoticeChange.LEAVES)
                self.assertIsNone(dispatcher.record_leaving(server))
                if listed is not None:
                    dispatcher.remove_server(server.server_id)
                    dispatcher.add_server(listed, draining=False)
                self.assertIs(dispatcher.may_send(server, 0.0), False)
                placed = set()
                for number in range(20):
                    query = build_query(f"q{number}")
                    placement = dispatcher.place(query, frozenset(), 0.0)
                    dispatcher.record_sent(placement, query, 0.0)
                    placed.add(placement.server.server_id)
                self.assertEqual(placed, expected)

    def test_home_and_copies_leave_too(self):
        """A leaving server is no home of prompts, and gives no copies."""
        parts = (("a1", 2000), ("b2", 2000), ("c3", 100))
        servers = [build_server(f"s{number}") for number in range(3)]
        dispatcher = build_dispatcher(*servers)
        home = dispatcher.place(build_query(parts=parts), frozenset(), 0.0).server
        dispatcher.record_leaving(home)
        placement = dispatcher.place(build_query(parts=parts), frozenset(), 0.0)
        self.assertNotIn(home, (placement.server, placement.prompt_source))

    def test_stream_is_not_moved_to_a_leaving_server(self):
        """A silent server is kept while no other stays."""
        first, second = (build_server(f"s{number}") for number in range(2))
        for leaves in (True, False):
            with self.subTest(leaves=leaves):
                dispatcher = build_dispatcher(first, second)
                query = build_query("q")
                dispatcher.record_sent(Placement(server=first), query, 0.0)
                if leaves:
                    dispatcher.record_leaving(second)
                moves = dispatcher.should_move(query, "s0", frozenset(), 5.0)
                self.assertIs(moves, not leaves)

    def test_all_leave(self):
        """Then there is no server."""
        servers = [build_server(f"s{number}") for number in range(2)]
        dispatcher = build_dispatcher(*servers)
        for server in servers:
            dispatcher.record_leaving(server)
        refusal = dispatcher.place(build_query(), frozenset(), 0.0)
        self.assertEqual(refusal.reason, RefusalReason.NO_SERVERS)

    def test_draining_while_a_request_waits(self):
        """What waited unsent for a server that drains is placed anew."""
        server = build_server("s0")
        dispatcher = build_dispatcher(server)
        self.assertIs(dispatcher.may_send(server, 0.0), True)
        dispatcher.add_server(server, draining=True)
        self.assertIs(dispatcher.may_send(server, 0.0), False)
        dispatcher.remove_server("s0")
        self.assertIs(dispatcher.may_send(server, 0.0), False)
