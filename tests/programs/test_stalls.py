import unittest

from carobspring.programs.stalls import StallDetector


class StallDetectorTests(unittest.TestCase):
    def test_looks(self):
        """A gap between two looks is told of; a slow loop is not."""
        watch = StallDetector()
        found = [watch.check(now) for now in (10.0, 10.5, 11.625, 12.125)]
        self.assertEqual(found, [0.0] * 4)
        with self.assertLogs("carobspring.programs.stalls", "WARNING") as logs:
            self.assertEqual(watch.check(16.625), 4.0)
        self.assertIn("process stalled", logs.output[0])
        self.assertEqual(watch.check(17.125), 0.0)
