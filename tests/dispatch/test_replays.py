"""Worst-case loads, replayed through the real dispatcher.

Each test names the load pattern that it covers. Bounds come from the
targets of the routes, not from the results of this code.
"""

import random
import unittest

from tests.dispatch.support import Replay, build_query, build_server

#: Target time to the first event of a long prompt, seconds.
LONG_TARGET_S = 1.2
SESSIONS = 100


def build_servers(count=6):
    return [build_server(f"s{n}", zone="abc"[n % 3]) for n in range(count)]


def draw_opening_burst(*, rate, seconds, seed, hot_share=0.0):
    """Return arrivals of long prompts: few prefixes, many sessions."""
    generator = random.Random(seed)
    now, arrivals = 0.0, []
    while now < seconds:
        now += generator.expovariate(rate)
        number = len(arrivals)
        session = 0 if generator.random() < hot_share else generator.randrange(SESSIONS)
        parts = (
            (f"{generator.randrange(4):x}a", 2520),
            (f"{session:x}b", 3780),
            (f"{number:x}c", 2000),
        )
        query = build_query(f"q{number}", parts=parts, now=now)
        arrivals.append((now, generator.randrange(3), query))
    return arrivals


class OpeningBurstTests(unittest.TestCase):
    def test_shared_prefixes_are_read_once(self):
        """In a burst of long prompts, one server reads a session's prefix.

        Without home servers, each of the six servers would read it, and the
        engines could not keep up with this rate.
        """
        replay = Replay(build_servers())
        arrivals = draw_opening_burst(rate=60, seconds=9, seed=4)
        first_s = replay.run(arrivals)
        read = sum(engine.read_tokens for engine in replay.engines.values())
        unshared = sum(query.parts[-1][1] for _, _, query in arrivals)
        prefix_tokens = SESSIONS * 3780 + 4 * 6 * 2520
        self.assertLess(read - unshared, 1.5 * prefix_tokens)
        late = sum(seconds > LONG_TARGET_S for seconds in first_s)
        self.assertLess(late, len(first_s) / 20)

    def test_hot_session_uses_other_servers(self):
        """One hot session does not overload its home server."""
        replay = Replay(build_servers())
        arrivals = draw_opening_burst(rate=60, seconds=6, seed=5, hot_share=0.6)
        first_s = replay.run(arrivals)
        late = sum(seconds > LONG_TARGET_S for seconds in first_s)
        self.assertLess(late, len(first_s) / 20)
        reads = [engine.read_tokens for engine in replay.engines.values()]
        self.assertLess(max(reads), 2.5 * sum(reads) / len(reads))

    def test_requests_spread_over_servers(self):
        """Requests without a shared prefix spread over all servers."""
        replay = Replay(build_servers(), entries=("a", "b", "c"))
        arrivals = [
            (n * 0.01, n % 3, build_query(f"q{n}", prompt_tokens=3000, now=n * 0.01))
            for n in range(300)
        ]
        for _, _, query in arrivals:
            self.assertEqual(query.parts, ())
        replay.run(arrivals)
        engines = replay.engines.values()
        counts = [engine.free_at for engine in engines]
        self.assertGreater(min(counts), 0.0)
