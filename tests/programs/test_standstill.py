import unittest

from carobspring.programs.standstill import StandstillWatch


class StandstillWatchTests(unittest.TestCase):
    def test_looks(self):
        """A gap between two looks is told of; a slow loop is not."""
        watch = StandstillWatch()
        found = [watch.look(now) for now in (10.0, 10.5, 11.625, 12.125)]
        self.assertEqual(found, [0.0] * 4)
        with self.assertLogs("carobspring.programs.standstill", "WARNING") as logs:
            self.assertEqual(watch.look(16.625), 4.0)
        self.assertIn("stood still", logs.output[0])
        self.assertEqual(watch.look(17.125), 0.0)
