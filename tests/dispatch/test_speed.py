"""The reported slowdown of servers, and how entries follow it together."""

import heapq
import itertools
import math
import random
import unittest
from collections import Counter

from carobspring.dispatch import AttemptOutcome
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.speed import SmoothedSlowdown
from carobspring.domain import ServerLoad, ServiceKind
from tests.dispatch.support import build_dispatcher, build_query, build_server

LIMITS = DispatchLimits()
NONE = frozenset()


class SmoothedSlowdownTests(unittest.TestCase):
    def setUp(self):
        self.slowdown = SmoothedSlowdown(limits=LIMITS)

    def test_time_constant(self):
        """The estimate approaches a figure with a time constant of 0.5 s."""
        self.slowdown.record(1.0, 9.9)
        self.slowdown.record(3.0, 10.0)
        for elapsed_s in (0.0, 0.1, 0.5, 1.0):
            with self.subTest(elapsed_s=elapsed_s):
                expected = 3.0 - 2.0 * math.exp(-elapsed_s / 0.5)
                found = self.slowdown.estimate(10.0 + elapsed_s)
                self.assertAlmostEqual(found, expected)

    def test_number_of_responses_does_not_count(self):
        """A burst of responses moves the estimate no faster than one."""
        once, often = (SmoothedSlowdown(limits=LIMITS) for _ in range(2))
        once.record(1.0, 0.0)
        often.record(1.0, 0.0)
        once.record(4.0, 0.0)
        for _ in range(100):
            often.record(4.0, 0.0)
        self.assertEqual(once.estimate(0.2), often.estimate(0.2))

    def test_figure_that_changes_often(self):
        """Figures that alternate quickly give about their mean."""
        now = 0.0
        for number in range(200):
            now = number * 0.02
            self.slowdown.record((0.5, 2.5)[number % 2], now)
        self.assertAlmostEqual(self.slowdown.estimate(now), 1.5, delta=0.05)

    def test_bounds(self):
        """An extreme figure counts as the nearest bound."""
        for reported, bound in ((1e-300, 0.25), (0.1, 0.25), (1e9, 8.0)):
            with self.subTest(reported=reported):
                slowdown = SmoothedSlowdown(limits=LIMITS)
                slowdown.record(reported, 0.0)
                self.assertEqual(slowdown.estimate(0.1), bound)

    def test_old_figures_are_ignored(self):
        """Without recent figures a server counts as usual.

        A later figure is not smoothed with those from before the silence.
        """
        self.assertEqual(self.slowdown.estimate(0.0), 1.0)
        self.slowdown.record(8.0, 0.0)
        self.assertEqual(self.slowdown.estimate(LIMITS.max_load_age_s), 8.0)
        late = LIMITS.max_load_age_s + 0.01
        self.assertEqual(self.slowdown.estimate(late), 1.0)
        self.slowdown.record(2.0, 100.0)
        self.assertEqual(self.slowdown.estimate(100.0), 2.0)

    def test_clock_that_steps_back(self):
        """A time before the last report doesn't extrapolate the estimate."""
        self.slowdown.record(1.0, 9.9)
        self.slowdown.record(8.0, 10.0)
        self.assertEqual(self.slowdown.estimate(9.0), 1.0)


class SimulatedServer:
    """Runs requests in slots, first come first served.

    With one slot it reads prompts like an engine, one after the other.
    """

    def __init__(self, *, slots, service_s):
        self.slots = slots
        self.service_s = service_s
        self.free_at = [0.0] * slots
        self.ends = []

    def submit(self, now):
        """Return the time at which a request that arrives now ends."""
        begins_at = max(now, heapq.heappop(self.free_at))
        ends_at = begins_at + self.service_s
        heapq.heappush(self.free_at, ends_at)
        heapq.heappush(self.ends, ends_at)
        return ends_at

    def report(self, now, slowdown):
        """Return the load that a response reports now."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        running = min(self.slots, len(self.ends))
        waiting = len(self.ends) - running
        return ServerLoad(
            running=running, waiting=waiting, slots=self.slots, slowdown=slowdown
        )


class HerdingTests(unittest.TestCase):
    """Thirty entries send to six servers, one of which is fast.

    Each entry hears of a server only with its own responses, so that all see
    the figure at different times and each load with a different age.
    """

    ENTRIES = 30
    SERVERS = 6
    #: Requests that a server runs together, and how long each takes.
    SLOTS = {ServiceKind.PLAIN: 8, ServiceKind.MODEL: 1}
    SERVICE_S = {ServiceKind.PLAIN: 0.04, ServiceKind.MODEL: 0.01}
    #: Slots that the list of servers names. An engine has many, but reads
    #: prompts one after the other.
    LISTED_SLOTS = {ServiceKind.PLAIN: 8, ServiceKind.MODEL: 64}
    PROMPT_TOKENS = 600
    FAST_SLOWDOWN = 0.5
    UTILIZATION = 0.7
    SECONDS = 8.0
    #: Seconds in which entries have heard of all servers.
    START_S = 2.0
    WINDOW_S = 1.0

    def run_entries(self, kind, *, seed, reports_slowdown=True):
        """Return the requests that each server got, by window."""
        servers = [
            build_server(f"s{n}", kind=kind, slots=self.LISTED_SLOTS[kind])
            for n in range(self.SERVERS)
        ]
        slowdowns = {server.server_id: 1.0 for server in servers}
        slowdowns["s0"] = self.FAST_SLOWDOWN
        simulated = {
            name: SimulatedServer(
                slots=self.SLOTS[kind], service_s=self.SERVICE_S[kind] * slowdown
            )
            for name, slowdown in slowdowns.items()
        }
        dispatchers = [
            build_dispatcher(*servers, seed=seed * 100 + index)
            for index in range(self.ENTRIES)
        ]
        capacity = sum(each.slots / each.service_s for each in simulated.values())
        generator, numbers = random.Random(seed), itertools.count()
        windows, due = {}, []
        now = 0.0
        while now < self.SECONDS:
            now += generator.expovariate(capacity * self.UTILIZATION)
            while due and due[0][0] <= now:
                at, _, entry, name, request_id = heapq.heappop(due)
                slowdown = slowdowns[name] if reports_slowdown else None
                load = simulated[name].report(at, slowdown)
                dispatchers[entry].record_load(name, load, at)
                dispatchers[entry].record_first_event(name, request_id, at)
                dispatchers[entry].record_end(
                    name, request_id, AttemptOutcome.ANSWERED, at
                )
            entry, number = generator.randrange(self.ENTRIES), next(numbers)
            query = build_query(f"q{number}", now=now, prompt_tokens=self.PROMPT_TOKENS)
            placement = dispatchers[entry].place(query, NONE, now)
            dispatchers[entry].record_sent(placement, query, now)
            name = placement.server.server_id
            ends_at = simulated[name].submit(now)
            heapq.heappush(due, (ends_at, number, entry, name, query.request_id))
            if self.START_S <= now < self.SECONDS:
                window = windows.setdefault(int(now / self.WINDOW_S), Counter())
                window[name] += 1
        return windows

    def compute_largest_share(self, share, requests):
        """Return the share of a window's requests that a server may get.

        The margin is the capacity that the utilization leaves free: a server
        with more than ``share / UTILIZATION`` gets more than it can run. Four
        standard deviations of random choices are added, which are exceeded in
        one of 30,000 windows.
        """
        most = share / self.UTILIZATION
        return most + 4 * math.sqrt(most * (1 - most) / requests)

    def test_no_server_gets_more_than_its_share(self):
        """No window sends a server more than it can run.

        Entries that all preferred the fast server outright would overload it
        until its reported load reached them, and then all avoid it.
        """
        speeds = {f"s{n}": 1.0 for n in range(self.SERVERS)}
        speeds["s0"] = 1.0 / self.FAST_SLOWDOWN
        for kind, seed in itertools.product(ServiceKind, range(1, 4)):
            windows = self.run_entries(kind, seed=seed)
            self.assertEqual(len(windows), self.SECONDS - self.START_S)
            for window, counts in windows.items():
                for name, speed in speeds.items():
                    share = speed / sum(speeds.values())
                    most = self.compute_largest_share(share, counts.total())
                    with self.subTest(kind, seed=seed, window=window, server=name):
                        self.assertLessEqual(counts[name] / counts.total(), most)

    def test_fast_engine_gets_more(self):
        """The reported figure moves requests to a fast engine.

        Usual rates say the same of all engines, so that without the figure
        only what first events and loads show would favor it.
        """
        shares = []
        for reports_slowdown in (False, True):
            windows = self.run_entries(
                ServiceKind.MODEL, seed=1, reports_slowdown=reports_slowdown
            )
            total = sum(windows.values(), Counter())
            shares.append(total["s0"] / total.total())
        self.assertGreater(shares[1], 2 / 7)
        self.assertGreater(shares[1], shares[0])
