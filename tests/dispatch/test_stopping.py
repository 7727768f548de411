import unittest

from carobspring.dispatch import Refusal, RefusalReason, StopAdmission, StopSchedule
from carobspring.dispatch.stopping import RouteDurations

REFUSAL = Refusal(reason=RefusalReason.STOPPING, retry_after_s=0.0)
SCHEDULE = StopSchedule(listens_until=102.6, ends_at=107.6)


class StopAdmissionTests(unittest.TestCase):
    def test_requests_during_a_stop(self):
        """Only what ends before the process does is taken."""
        cases = {
            "limit before the end": (None, 107.0, 104.0, None),
            "limit right at the end": (None, 107.6, 104.0, REFUSAL),
            "short ones, while callers still come": (2.0, 112.0, 102.0, None),
            "long ones, while callers still come": (5.0, 112.0, 102.0, REFUSAL),
            "unknown, while callers still come": (None, 112.0, 102.0, REFUSAL),
            "short ones, on a kept connection": (2.0, 112.0, 103.6, REFUSAL),
        }
        for name, (longest_s, limit_at, now, expected) in cases.items():
            with self.subTest(name):
                admission = StopAdmission()
                if longest_s is not None:
                    admission.durations.record("r", longest_s, 99.0)
                admission.begin(SCHEDULE)
                self.assertEqual(admission.check("r", limit_at, now), expected)

    def test_running_entry(self):
        """Without a stop every request is taken."""
        self.assertIsNone(StopAdmission().check("r", 1e9, 0.0))


class RouteDurationsTests(unittest.TestCase):
    def test_longest_duration(self):
        """A duration counts for one minute at least and two at most."""
        durations = RouteDurations()
        durations.record("r", 3.0, 0.0)
        durations.record("r", 1.0, 10.0)
        durations.record("other", 9.0, 10.0)
        self.assertEqual(durations.find_longest("r", 59.0), 3.0)
        durations.record("r", 2.0, 61.0)
        self.assertEqual(durations.find_longest("r", 119.0), 3.0)
        self.assertEqual(durations.find_longest("r", 122.0), 2.0)
        self.assertIsNone(durations.find_longest("r", 400.0))
        self.assertIsNone(durations.find_longest("unknown", 400.0))
