import unittest

from bench.profiles import COOPERATIVE, plan_calls


class PlanCallsTests(unittest.TestCase):
    def test_offered_load(self):
        """A plan offers the requested load and is reproducible."""
        plan = plan_calls(COOPERATIVE, factor=1.5, duration_s=60, seed=3)
        offered = sum(call.tokens for call in plan)
        requested = 1.5 * 60 * COOPERATIVE.capacity
        self.assertAlmostEqual(offered / requested, 1.0, delta=0.02)
        again = plan_calls(COOPERATIVE, factor=1.5, duration_s=60, seed=3)
        self.assertEqual(plan, again)
        self.assertEqual(len({call.identifier for call in plan}), len(plan))

    def test_opening_burst(self):
        """The arrival rate of a class is higher in its burst than later."""
        plan = plan_calls(COOPERATIVE, factor=1.0, duration_s=60, seed=3)
        blurbs = [call.at_s for call in plan if call.load.name == "blurb"]
        burst_rate = sum(at_s < 9 for at_s in blurbs) / 9
        later_rate = sum(at_s >= 9 for at_s in blurbs) / 51
        self.assertGreater(burst_rate, 2 * later_rate)
