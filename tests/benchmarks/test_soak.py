import unittest
from collections import Counter
from types import SimpleNamespace

from bench.soak import CONFIGURATION_BOUND_S, Promises, Soak

SECONDS = 8.0
WHOLE = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))


class PromiseTests(unittest.TestCase):
    """Each promise can be found broken."""

    def setUp(self):
        self.promises = Promises()

    def list_broken(self):
        return [breach.promise for breach in self.promises.breaches]

    def test_answers(self):
        """Answers of other requests and streams with gaps are found."""
        cases = {
            "own": ("read", b"GET q1", []),
            "another's": ("read", b"GET q2", ["own answers"]),
            "whole": ("stream", WHOLE, []),
            "cut": ("model", WHOLE[:-14], ["whole streams in order"]),
            "twice": ("stream", WHOLE + WHOLE, ["whole streams in order"]),
        }
        for name, (kind, body, broken) in cases.items():
            with self.subTest(name):
                self.promises = Promises()
                self.promises.check_answer("q1", kind, 200, body)
                self.assertEqual(self.list_broken(), broken)

    def test_reads(self):
        """A version that was overtaken longer ago than the bound is found."""
        self.promises.confirmed = [(0.0, 3), (10.0, 5)]
        cases = {
            "newest": (20.0, 5, []),
            "not yet due": (10.0 + CONFIGURATION_BOUND_S / 2, 3, []),
            "old": (20.0, 3, ["no configuration goes back"]),
        }
        for name, (sent_at, version, broken) in cases.items():
            with self.subTest(name):
                self.promises.breaches.clear()
                self.promises.check_read(sent_at, version, "c1")
                self.assertEqual(self.list_broken(), broken)

    def test_runs(self):
        """Runs of one request at two servers and false refusals are found."""
        servers = [
            SimpleNamespace(ran=Counter(a=1, b=1)),
            SimpleNamespace(ran=Counter(a=1)),
        ]
        self.promises.once = {"a", "b", "c"}
        self.promises.refused = {"b", "c"}
        self.promises.check_runs(servers)
        self.assertEqual(self.list_broken(), ["at most once", "true refusals"])


class SoakTests(unittest.IsolatedAsyncioTestCase):
    async def test_short_run(self):
        """A few seconds of faults break no promise."""
        promises = await Soak(seed=1, seconds=SECONDS, processes=7).run()
        self.assertEqual(promises.breaches, [])
        self.assertGreater(promises.answers[200], 0)
