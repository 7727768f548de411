import unittest

from carobspring.adapters.metrics import Metrics
from carobspring.programs.stalls import StallDetector


class StallDetectorTests(unittest.TestCase):
    def test_checks(self):
        """A long gap between two checks is logged; a slow loop is not."""
        detector = StallDetector(metrics=Metrics())
        stalls = [detector.check(now) for now in (10.0, 10.5, 11.625, 12.125)]
        self.assertEqual(stalls, [0.0] * 4)
        with self.assertLogs("carobspring.programs.stalls", "WARNING") as logs:
            self.assertEqual(detector.check(16.625), 4.0)
        self.assertIn("process stalled", logs.output[0])
        self.assertEqual(detector.check(17.125), 0.0)

    def test_metric(self):
        """Each check counts how long it waited for the loop."""
        metrics = Metrics()
        detector = StallDetector(metrics=metrics)
        for now in (10.0, 10.5, 11.3, 11.8):
            detector.check(now)
        text = metrics.render_text().decode()
        self.assertIn('carob_loop_delay_seconds_bucket{le="0.25"} 2', text)
        self.assertIn("carob_loop_delay_seconds_count 3", text)

    def test_lateness(self):
        """A signal may have come at any moment of a stall just before it."""
        cases = {
            "before the first check": ((), 10.0, 0.0),
            "calm": ((10.0, 10.5), 10.75, 0.0),
            "handled before the check": ((10.0, 10.5), 14.0, 3.0),
            "handled after the check": ((10.0, 10.5, 14.0), 14.0, 3.0),
            "a check later": ((10.0, 10.5, 14.0, 14.5), 14.75, 0.0),
        }
        for name, (checks, now, expected) in cases.items():
            with self.subTest(name):
                detector = StallDetector(metrics=Metrics())
                for at in checks:
                    detector.check(at)
                self.assertEqual(detector.measure_lateness(now), expected)
