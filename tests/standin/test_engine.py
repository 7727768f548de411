import asyncio
import unittest

from standins.engine import Engine, EngineParameters, PrefixCache


class EngineTests(unittest.IsolatedAsyncioTestCase):
    async def test_order_by_priority(self):
        """A free slot goes to the lowest priority value, then the oldest."""
        engine = Engine(parameters=EngineParameters(slots=1, token_ms=1))
        finished = []

        async def run(name, priority):
            sequence = engine.submit(prompt=name, tokens=2, priority=priority)
            await sequence.wait_for_more_than(1)
            finished.append(name)

        prompts = [("first", 5), ("low", 9), ("high", 1), ("high too", 1)]
        await asyncio.gather(*(run(*prompt) for prompt in prompts))
        self.assertEqual(finished, ["first", "high", "high too", "low"])

    async def test_cancelled_tokens_are_wasted(self):
        """A cancelled sequence leaves the batch, its tokens are wasted."""
        engine = Engine(parameters=EngineParameters(slots=1, token_ms=1))
        sequence = engine.submit(prompt="a", tokens=1000, priority=0)
        waiting = engine.submit(prompt="b", tokens=1, priority=0)
        generated = await sequence.wait_for_more_than(0)
        engine.cancel(sequence)
        await waiting.wait_for_more_than(0)
        self.assertEqual(engine.counters.wasted_tokens, generated)
        self.assertEqual(engine.counters.finished, 1)
        self.assertEqual(engine.read_load(), (0, 0))

    async def test_load_lags(self):
        """The reported load is the one of ``load_lag_s`` ago."""
        engine = Engine(parameters=EngineParameters(token_ms=1), load_lag_s=3600)
        sequence = engine.submit(prompt="a", tokens=100, priority=0)
        self.assertEqual(engine.read_load(), (0, 0))
        engine.cancel(sequence)


class PrefixCacheTests(unittest.TestCase):
    def test_cached_words(self):
        """Only leading blocks count as cached, until they are evicted."""
        cache = PrefixCache(blocks=3)
        prefix = ["p"] * 32
        cases = [
            ("new", prefix + ["a"], 0),
            ("same prefix", prefix + ["b"], 32),
            ("others evict it", [str(number) for number in range(64)], 0),
            ("evicted", prefix, 0),
        ]
        for name, words, cached in cases:
            with self.subTest(name):
                self.assertEqual(cache.add(words), cached)
