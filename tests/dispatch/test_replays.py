"""Loads at their worst, replayed through the real decisions.

Each test names the load pattern that its decision answers. Bounds come from
the targets of the routes, not from what the code reached.
"""

import random
import unittest

from tests.dispatch.support import Replay, build_query, build_server

#: Time to a long prompt's first event at full benefit, seconds.
LONG_TARGET_S = 1.2
SESSIONS = 100


def build_servers(count=6):
    return [build_server(f"s{n}", zone="abc"[n % 3]) for n in range(count)]


def draw_opening_burst(*, rate, seconds, seed, hot_share=0.0):
    """Return arrivals of long prompts: few starts, many sessions."""
    dice = random.Random(seed)
    now, arrivals = 0.0, []
    while now < seconds:
        now += dice.expovariate(rate)
        number = len(arrivals)
        session = 0 if dice.random() < hot_share else dice.randrange(SESSIONS)
        parts = (
            (f"{dice.randrange(4):x}a", 2520),
            (f"{session:x}b", 3780),
            (f"{number:x}c", 2000),
        )
        query = build_query(f"q{number}", parts=parts, now=now)
        arrivals.append((now, dice.randrange(3), query))
    return arrivals


class OpeningBurstTests(unittest.TestCase):
    def test_shared_starts_are_read_once(self):
        """Burst of long prompts: a session's start is read at one server.

        Without homes each of six servers reads it, and the engines fall
        behind at this rate.
        """
        replay = Replay(build_servers())
        arrivals = draw_opening_burst(rate=60, seconds=9, seed=4)
        first_s = replay.run(arrivals)
        read = sum(engine.read_tokens for engine in replay.engines.values())
        own = sum(query.parts[-1][1] for _, _, query in arrivals)
        starts = SESSIONS * 3780 + 4 * 6 * 2520
        self.assertLess(read - own, 1.5 * starts)
        late = sum(seconds > LONG_TARGET_S for seconds in first_s)
        self.assertLess(late, len(first_s) / 20)

    def test_hot_session_spills(self):
        """One hot session: its home is not left to drown in it."""
        replay = Replay(build_servers())
        arrivals = draw_opening_burst(rate=60, seconds=6, seed=5, hot_share=0.6)
        first_s = replay.run(arrivals)
        late = sum(seconds > LONG_TARGET_S for seconds in first_s)
        self.assertLess(late, len(first_s) / 20)
        reads = [engine.read_tokens for engine in replay.engines.values()]
        self.assertLess(max(reads), 2.5 * sum(reads) / len(reads))

    def test_entries_do_not_herd(self):
        """Requests without a shared start spread over all servers."""
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
