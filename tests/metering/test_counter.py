import unittest

from carobspring.metering import WindowCounter
from carobspring.protocol import EntryUsage, WindowUsage


class WindowCounterTests(unittest.TestCase):
    """Counts of an entry, by window and workspace."""

    def setUp(self):
        self.counter = WindowCounter(entry_id="e1", boot_ms=500, window_s=5.0)

    def build(self, since_ms, complete_ms, *windows):
        return EntryUsage(
            entry_id="e1",
            boot_ms=500,
            since_ms=since_ms,
            complete_ms=complete_ms,
            windows=tuple(
                WindowUsage(window=window, counts=counts) for window, counts in windows
            ),
        )

    def test_windows(self):
        """A request counts in the window in which it began."""
        for workspace, at_ms in (("a", 4_999), ("b", 4_999), ("a", 5_000)):
            self.counter.record(workspace, at_ms)
        self.assertEqual(
            self.counter.build_usage("r1", 5_100),
            self.build(0, 5_100, (0, {"a": 1, "b": 1}), (1, {"a": 1})),
        )

    def test_unchanged_windows_are_left_out(self):
        """Each replica is told of a window when it has changed."""
        self.counter.record("a", 4_000)
        self.counter.build_usage("r1", 4_500)
        self.counter.record("a", 9_000)
        self.assertEqual(
            self.counter.build_usage("r1", 9_500),
            self.build(4_500, 9_500, (1, {"a": 1})),
        )
        self.assertEqual(
            self.counter.build_usage("r1", 9_600), self.build(9_500, 9_600)
        )
        self.assertEqual(
            self.counter.build_usage("r2", 9_600),
            self.build(0, 9_600, (0, {"a": 1}), (1, {"a": 1})),
        )

    def test_gap_on_an_open_stream(self):
        """A count before a freeze is told after it, however long it lasts."""
        self.counter.build_usage("r1", 4_000)
        self.counter.record("a", 4_100)
        self.assertEqual(
            self.counter.build_usage("r1", 16_000),
            self.build(4_000, 16_000, (0, {"a": 1})),
        )

    def test_time_of_day_set_back(self):
        """Everything is told anew when the clock was set back."""
        self.counter.build_usage("r1", 9_000)
        self.counter.record("a", 6_000)
        self.assertEqual(
            self.counter.build_usage("r1", 6_500), self.build(0, 6_500, (1, {"a": 1}))
        )

    def test_everything_on_request(self):
        """A replica that may know nothing gets all windows that are kept."""
        self.counter.record("a", 4_000)
        self.counter.build_usage("r1", 4_500)
        self.counter.request_everything("r1")
        self.assertEqual(
            self.counter.build_usage("r1", 20_500), self.build(0, 20_500, (0, {"a": 1}))
        )
        self.assertEqual(
            self.counter.build_usage("r1", 23_500), self.build(20_500, 23_500)
        )

    def test_old_windows_are_dropped(self):
        """Memory stays bounded on an entry that runs for long."""
        self.counter.record("a", 1_000)
        self.assertEqual(self.counter.build_usage("r1", 36_000), self.build(0, 36_000))

    def test_old_windows_are_dropped_without_streams(self):
        """Memory stays bounded while no replica can be reached."""
        for at_ms in range(0, 3_600_000, 5_000):
            self.counter.record("a", at_ms)
        self.assertLessEqual(self.counter.count_windows(), 8)


if __name__ == "__main__":
    unittest.main()
