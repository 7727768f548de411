"""The memory of engines: what requests hold, and what it does to placement."""

import random
import unittest
from dataclasses import replace

from carobspring.dispatch import AttemptOutcome, Placement
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.memory import MemoryAccount
from carobspring.domain import ServerLoad, ServiceKind
from carobspring.domain.routes import EngineTraits, RoutedService
from tests.dispatch.support import build_dispatcher, build_query, build_server

LIMITS = DispatchLimits()
NONE = frozenset()
#: Holds eleven requests of 9,100 tokens.
CAPACITY = 101_000
ENGINE = EngineTraits(slots=64, kv_capacity_tokens=CAPACITY, tokens_per_event=5)
SERVICES = {"svc": RoutedService(name="svc", engine=ENGINE)}
#: 9,000 prompt tokens of which 6,000 are shared, and 100 of output.
PREFIX = (("aa", 2000), ("bb", 4000))
SHARING = build_query("sharing", parts=(*PREFIX, ("cc", 3000)), output_tokens=100)
#: The same without parts. The target makes another availability zone cost more
#: than some running requests, and less than the prompt.
ALONE = build_query("alone", prompt_tokens=9000, output_tokens=100, target_s=0.3)


def build_sharing(number, *, own=3000):
    parts = (*PREFIX, (f"c{number}", own))
    return build_query(f"q{number}", parts=parts, output_tokens=100, target_s=0.3)


def build_alone(number):
    return replace(ALONE, request_id=f"q{number}")


class MemoryAccountTests(unittest.TestCase):
    def setUp(self):
        self.account = MemoryAccount()

    def test_output(self):
        """Expected output is held from the start, more of it as it comes."""
        cases = {
            # name: (hint, maximum, events of 5 tokens, tokens held)
            "nothing yet": (100, 400, 0, 100),
            "as expected": (100, 400, 20, 100),
            "longer than expected": (100, 400, 30, 150),
            "maximum": (100, 400, 90, 400),
            "hint over the maximum": (900, 400, 0, 400),
            "no maximum": (100, 0, 90, 450),
            "nothing is known": (0, 0, 3, 15),
        }
        for name, (hint, maximum, events, expected) in cases.items():
            with self.subTest(name):
                account = MemoryAccount()
                query = replace(ALONE, output_tokens=hint, max_output_tokens=maximum)
                account.add(query)
                for _ in range(events):
                    account.add_output("alone", 5)
                self.assertEqual(account.tokens, 9000 + expected)
                account.remove("alone")
                self.assertEqual(account.tokens, 0)

    def test_shared_parts(self):
        """Shared parts are counted once, until the last request ends."""
        for number in range(4):
            query = build_sharing(number)
            added = self.account.count_new_tokens(query)
            self.assertEqual(added, 9100 if number == 0 else 3100)
            self.account.add(query)
        self.assertEqual(self.account.tokens, 6000 + 4 * 3100)
        for number in range(3):
            self.account.remove(f"q{number}")
        self.assertEqual(self.account.tokens, 9100)
        self.account.remove("q3")
        self.assertEqual(self.account.tokens, 0)

    def test_parts_behind_others(self):
        """A part is shared only behind the same parts.

        What an engine has computed for a part depends on the parts before it.
        """
        self.account.add(SHARING)
        other = build_query("other", parts=(("xx", 2000), *PREFIX[1:]))
        self.assertEqual(self.account.count_new_tokens(other), 6000)

    def test_prompt_outside_of_parts(self):
        """Prompt tokens that no part names are held too."""
        query = replace(SHARING, prompt_tokens=9500)
        self.assertEqual(self.account.count_new_tokens(query), 9600)
        self.account.add(query)
        self.assertEqual(self.account.tokens, 9600)

    def test_same_request_again(self):
        """A request that is sent again to a server is counted once."""
        self.account.add(SHARING)
        self.account.add(SHARING)
        self.assertEqual(self.account.tokens, 9100)
        self.account.remove("sharing")
        self.account.remove("sharing")
        self.account.add_output("sharing", 5)
        self.assertEqual(self.account.tokens, 0)

    def test_running_sum(self):
        """The sum equals one from scratch after any sequence of changes."""
        generator = random.Random(7)
        open_queries = {}
        for number in range(2000):
            if open_queries and generator.random() < 0.5:
                request_id = generator.choice(list(open_queries))
                del open_queries[request_id]
                self.account.remove(request_id)
            else:
                length = generator.randrange(5)
                parts = tuple((generator.choice("abc"), 10) for _ in range(length))
                query = build_query(f"q{number}", parts=parts, output_tokens=3)
                open_queries[query.request_id] = query
                self.account.add(query)
            prefixes = {
                query.parts[: end + 1]
                for query in open_queries.values()
                for end in range(len(query.parts))
            }
            expected = 10 * len(prefixes) + 3 * len(open_queries)
            self.assertEqual(self.account.tokens, expected)
        for request_id in open_queries:
            self.account.remove(request_id)
        self.assertEqual(self.account._parts, {})

    def test_requests_of_other_entries(self):
        """Reported requests of other entries count like this entry's."""
        self.assertEqual(self.account.estimate_held(40), 0.0)
        for number in range(4):
            self.account.add(build_alone(number))
        cases = {"fewer than own": (2, 4), "own": (4, 4), "others too": (40, 40)}
        for name, (running, counted) in cases.items():
            with self.subTest(name):
                held = self.account.estimate_held(running)
                self.assertAlmostEqual(held, counted * 9100)
        for number in range(4):
            self.account.remove(f"q{number}")
        self.assertAlmostEqual(self.account.estimate_held(10), 10 * 9100)

    def test_one_long_request_among_short_ones(self):
        """The size of a single request isn't taken for that of all others."""
        short = build_query("short", prompt_tokens=700)
        for number in range(50):
            self.account.add(replace(short, request_id=f"s{number}"))
            self.account.remove(f"s{number}")
        self.account.add(ALONE)
        self.assertLess(self.account.estimate_held(61), 9100 + 60 * 2000)

    def test_absurd_size(self):
        """A request that states an absurd size distorts the mean briefly."""
        absurd = build_query("absurd", parts=(("aa", 10**15),))
        self.account.add(absurd)
        self.account.remove("absurd")
        for number in range(60):
            self.account.add(build_alone(number))
            self.account.remove(f"q{number}")
        self.assertLess(self.account.estimate_held(1), 2 * 9100)


class PlacementTests(unittest.TestCase):
    """Placement among engines whose memory is full or not."""

    def setUp(self):
        self.dispatcher = build_dispatcher(
            build_server("near"), build_server("far", zone="b")
        )
        self.dispatcher.update_services(SERVICES)

    def send(self, query, server_id, now=0.0, **values):
        server = self.dispatcher._records[server_id].server
        placement = Placement(server=server, **values)
        self.dispatcher.record_sent(placement, query, now)
        # Only memory distinguishes the servers, not the prompts to read.
        self.dispatcher.record_first_event(server_id, query.request_id, now)

    def place(self, query, now=0.0):
        placement = self.dispatcher.place(query, NONE, now)
        self.assertIsInstance(placement, Placement)
        return placement.server.server_id

    def test_full_memory(self):
        """Long prompts go elsewhere when they would be preempted."""
        for number in range(10):
            self.send(build_alone(number), "near")
        self.assertEqual(self.place(ALONE), "near")
        self.send(build_alone(10), "near")
        self.assertEqual(self.place(ALONE), "far")
        self.dispatcher.record_end("near", "q3", AttemptOutcome.ANSWERED, 0.1)
        self.assertEqual(self.place(ALONE, 0.1), "near")

    def test_cost(self):
        """What doesn't fit costs as much as prefilling the prompt again."""
        for number in range(11):
            self.send(build_alone(number), "near")
        self.dispatcher.remove_server("far")
        placement = self.dispatcher.place(ALONE, NONE, 0.0)
        expected_s = 9000 / LIMITS.prefill_tokens_per_s
        self.assertIn(f"memory={expected_s:.3f} ", placement.reason)

    def test_full_memory_everywhere(self):
        """No request is refused because of memory."""
        for number in range(11):
            self.send(build_alone(f"n{number}"), "near")
            self.send(build_alone(f"f{number}"), "far")
        self.assertEqual(self.place(ALONE), "near")

    def test_growing_output(self):
        """Output beyond the expected one fills the memory as it comes."""
        for number in range(10):
            query = replace(build_alone(number), max_output_tokens=5000)
            self.send(query, "near")
        self.assertEqual(self.place(ALONE), "near")
        for _ in range(200):
            for number in range(10):
                self.dispatcher.record_event("near", f"q{number}", 0.01, 0.0)
        self.assertEqual(self.place(ALONE), "far")

    def test_shared_parts(self):
        """Requests that share a long prefix stay together."""
        for number in range(20):
            self.send(build_sharing(number), "near")
        self.assertEqual(self.place(build_sharing(20)), "near")

    def test_other_entries(self):
        """The load that a server reports counts, and not before or after."""
        for number in range(3):
            self.send(build_alone(number), "near")
        self.assertEqual(self.place(ALONE), "near")
        load = ServerLoad(running=10, waiting=1, slots=64)
        for server_id in ("near", "far"):
            self.dispatcher.record_load(server_id, load, 0.0)
        # The other server runs as much, but nothing is known of its requests.
        self.assertEqual(self.place(ALONE), "far")
        late = LIMITS.max_load_age_s + 0.1
        for number in range(3):
            self.dispatcher.record_event("near", f"q{number}", 0.01, late)
        self.assertEqual(self.place(ALONE, late), "near")

    def test_no_reported_load(self):
        """Without a reported load, this entry's requests count alone."""
        for number in range(10):
            self.send(build_alone(number), "near")
        self.assertEqual(self.place(ALONE), "near")
        self.send(build_alone(10), "near")
        self.assertEqual(self.place(ALONE), "far")

    def test_restart(self):
        """A server that has restarted holds nothing.

        The ends of requests that were lost with it change nothing.
        """
        for number in range(11):
            self.send(build_alone(number), "near")
        self.assertEqual(self.place(ALONE), "far")
        self.dispatcher.add_server(build_server("near", boot=2), draining=False)
        self.assertEqual(self.place(ALONE), "near")
        self.send(ALONE, "near")
        for number in range(11):
            self.dispatcher.record_end(
                "near", f"q{number}", AttemptOutcome.ANSWERED, 0.1
            )
        self.assertEqual(self.dispatcher._records["near"].memory.tokens, 9100)

    def test_every_outcome(self):
        """However a request ends, it holds nothing afterwards."""
        for outcome in AttemptOutcome:
            with self.subTest(outcome):
                self.send(ALONE, "near")
                self.dispatcher.record_end("near", "alone", outcome, 0.1)
                memory = self.dispatcher._records["near"].memory
                self.assertEqual(memory.tokens, 0)

    def test_without_capacity(self):
        """Memory counts only while the routes name a service's capacity."""
        for number in range(11):
            self.send(build_alone(number), "near")
        unlimited = replace(ENGINE, kv_capacity_tokens=0)
        cases = {
            "named": (SERVICES, "far"),
            "unlimited": ({"svc": RoutedService(name="svc", engine=unlimited)}, "near"),
            "no engine": ({"svc": RoutedService(name="svc")}, "near"),
            "another service": ({"x": RoutedService(name="x", engine=ENGINE)}, "near"),
            "no services": ({}, "near"),
        }
        for name, (services, expected) in cases.items():
            with self.subTest(name):
                self.dispatcher.update_services(services)
                self.assertEqual(self.place(ALONE), expected)

    def test_plain_servers(self):
        """Plain servers keep no account."""
        server = build_server("plain", kind=ServiceKind.PLAIN)
        self.dispatcher.add_server(server, draining=False)
        self.send(ALONE, "plain")
        self.assertEqual(self.dispatcher._records["plain"].memory.tokens, 0)
