import unittest

from carobspring.adapters import refusals as refusals_module
from carobspring.adapters.refusals import (
    MAX_PEERS,
    OTHER_PEERS,
    QUIET_S,
    RefusalRecorder,
)

LOGGER = refusals_module.__name__


class RefusalRecorderTests(unittest.TestCase):
    """What a crowd of refused clients leaves in counters and in the log."""

    def setUp(self):
        self.recorder = RefusalRecorder()
        self.recorder.port = 80

    def test_two_lines_for_a_crowd(self):
        """Many refusals write one line at their begin and one at their end."""
        with self.assertLogs(LOGGER) as logs:
            for number in range(1_000):
                now = number / 100
                self.recorder.record("no_room", f"10.0.0.{number % 7}", now)
                self.recorder.check(now)
            self.recorder.check(now + QUIET_S - 0.1)
            self.assertEqual(len(logs.records), 1)
            self.recorder.check(now + QUIET_S)
            self.recorder.check(now + 2 * QUIET_S)
        begin, end = logs.records
        self.assertEqual(begin.getMessage(), "shedding of clients began")
        self.assertEqual((begin.port, begin.reason), (80, "no_room"))
        self.assertEqual(end.getMessage(), "shedding of clients ended")
        self.assertEqual((end.duration_s, end.reasons), (10.0, {"no_room": 1_000}))
        self.assertEqual(len(end.peers), 3)
        self.assertEqual(end.peers["10.0.0.0"], 143)

    def test_next_period(self):
        """Each period has its own lines and counts; the counters go on."""
        for began_at in (0.0, 100.0):
            with self.assertLogs(LOGGER) as logs:
                self.recorder.record("request_timeout", "10.0.0.1", began_at)
                self.recorder.check(began_at + QUIET_S)
            self.assertEqual(len(logs.records), 2)
            self.assertEqual(logs.records[1].reasons, {"request_timeout": 1})
        self.assertEqual(self.recorder.counts, {"request_timeout": 2})

    def test_faults_of_requests(self):
        """A malformed request is counted, but no load is shed."""
        with self.assertNoLogs(LOGGER):
            self.recorder.record("bad_chunk", "10.0.0.1", 0.0)
        self.assertIs(self.recorder.is_shedding, False)
        self.assertEqual(self.recorder.counts, {"bad_chunk": 1})

    def test_many_addresses(self):
        """The counts by address don't grow with the crowd."""
        with self.assertLogs(LOGGER) as logs:
            for number in range(MAX_PEERS + 50):
                self.recorder.record("no_room", str(number), 0.0)
            self.recorder.check(QUIET_S)
        self.assertEqual(logs.records[1].peers[OTHER_PEERS], 50)


if __name__ == "__main__":
    unittest.main()
