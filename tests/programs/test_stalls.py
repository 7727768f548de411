import unittest

from carobspring.programs.stalls import StallDetector


class StallDetectorTests(unittest.TestCase):
    def test_checks(self):
        """A long gap between two checks is logged; a slow loop is not."""
        detector = StallDetector()
        stalls = [detector.check(now) for now in (10.0, 10.5, 11.625, 12.125)]
        self.assertEqual(stalls, [0.0] * 4)
        with self.assertLogs("carobspring.programs.stalls", "WARNING") as logs:
            self.assertEqual(detector.check(16.625), 4.0)
        self.assertIn("process stalled", logs.output[0])
        self.assertEqual(detector.check(17.125), 0.0)
