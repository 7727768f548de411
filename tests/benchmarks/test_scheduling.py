import unittest

from bench.scheduling import SIMULATED_CLASSES, Simulation


class SimulationTests(unittest.TestCase):
    def test_class_without_calls(self):
        """A run too short for any call of a class reports no share for it."""
        report = Simulation("tiers only", []).run(5)
        expected = {load_class.name: None for load_class in SIMULATED_CLASSES}
        self.assertEqual(report["met"], expected)
