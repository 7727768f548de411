import unittest

from carobspring.duties import CallPacing
from carobspring.ports import RandomSource


class FixedRandom(RandomSource):
    """Draws the middle of each range."""

    def draw_uniform(self):
        return 0.5

    def draw_index(self, count):
        return count // 2


class CallPacingTests(unittest.TestCase):
    """The rate of calls to a provider that limits them."""

    def setUp(self):
        self.pacing = CallPacing(calls_per_s=10.0, random=FixedRandom())

    def test_rate(self):
        """Accepted calls follow each other at half of the accepted rate."""
        self.assertIs(self.pacing.may_call(0.0), True)
        self.pacing.record_call(0.0, accepted=True)
        self.assertIs(self.pacing.may_call(0.19), False)
        self.assertIs(self.pacing.may_call(0.2), True)

    def test_backoff(self):
        """Each failure doubles the delay, up to a bound; success ends it."""
        now = 0.0
        for delay_s in (0.25, 0.5, 1.0, 2.0, 2.0):
            with self.subTest(delay_s=delay_s):
                self.pacing.record_call(now, accepted=False)
                self.assertIs(self.pacing.may_call(now + delay_s - 0.01), False)
                now += delay_s
                self.assertIs(self.pacing.may_call(now), True)
        self.pacing.record_call(now, accepted=True)
        self.assertIs(self.pacing.may_call(now + 0.2), True)


if __name__ == "__main__":
    unittest.main()
