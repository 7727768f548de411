import unittest

from carobspring.metering import (
    DueWindow,
    UsageClosing,
    UsageCollection,
    UsageLedger,
    UsageReporter,
)
from carobspring.protocol import EntryUsage, WindowUsage


class UsageReporterTests(unittest.TestCase):
    """Windows of 5 s whose reports are due 10 s after their end."""

    def setUp(self):
        self.collection = UsageCollection(window_s=5.0)
        self.ledger = UsageLedger()
        self.reporter = UsageReporter(window_s=5.0, delay_s=10.0)

    def report(self, entry, complete_ms, *windows):
        usage = EntryUsage(
            entry_id=entry,
            boot_ms=1,
            since_ms=0,
            complete_ms=complete_ms,
            windows=tuple(
                WindowUsage(window=window, counts=counts) for window, counts in windows
            ),
        )
        self.collection.merge(usage)

    def find_due(self, entries, now_ms):
        return self.reporter.find_due(self.collection, self.ledger, entries, now_ms)

    def close(self, window, count):
        usage = WindowUsage(window=window, counts={"a": count})
        self.ledger.apply(UsageClosing(usage=usage))
        return usage

    def build_due(self, window, count, *incomplete, delivered=()):
        usage = WindowUsage(window=window, counts={"a": count})
        closing = UsageClosing(usage=usage, delivered=delivered)
        return DueWindow(closing=closing, incomplete=incomplete)

    def test_closing(self):
        """A window is closed with all counts, or without a silent entry."""
        self.report("e1", 5_500, (0, {"a": 3}))
        self.report("e2", 4_500, (0, {"a": 2}))
        cases = [
            ("before its end", ["e1"], 4_999, None),
            ("at its end", ["e1"], 5_000, self.build_due(0, 5)),
            ("an entry has not told all", ["e1", "e2"], 10_999, None),
            ("at the last", ["e1", "e2"], 11_000, self.build_due(0, 5, "e2")),
            ("given up", ["e1"], 35_001, None),
        ]
        for name, entries, now_ms, due in cases:
            with self.subTest(name):
                self.assertEqual(self.find_due(entries, now_ms), due)

    def test_oldest_first(self):
        """After an absence of all holders the windows are closed in order."""
        self.report("e1", 11_000, (0, {"a": 3}), (1, {"a": 4}))
        self.assertEqual(self.find_due(["e1"], 11_000), self.build_due(0, 3))
        self.close(0, 3)
        self.assertEqual(self.find_due(["e1"], 11_000), self.build_due(1, 4))
        self.close(1, 4)
        self.assertIsNone(self.find_due(["e1"], 11_000))

    def test_sending(self):
        """Final counts are sent until they are accepted, by any holder."""
        first, second = self.close(0, 3), self.close(1, 4)
        self.assertEqual(self.reporter.find_unsent(self.ledger, 11_000), first)
        self.assertIs(self.reporter.record_accepted(0, 11_000), True)
        self.assertEqual(self.reporter.find_unsent(self.ledger, 11_000), second)
        self.assertIs(self.reporter.record_accepted(1, 20_001), False)
        self.assertIsNone(self.reporter.find_unsent(self.ledger, 11_000))
        other_holder = UsageReporter(window_s=5.0, delay_s=10.0)
        self.assertEqual(other_holder.find_unsent(self.ledger, 11_000), first)

    def test_accepted_windows_are_committed(self):
        """The next closing spares a later holder a repeat."""
        self.close(0, 3)
        self.reporter.record_accepted(0, 6_000)
        self.report("e1", 11_000, (1, {"a": 4}))
        due = self.find_due(["e1"], 11_000)
        self.assertEqual(due, self.build_due(1, 4, delivered=(0,)))
        self.ledger.apply(due.closing)
        self.assertEqual(self.ledger.delivered, {0})

    def test_accepted_windows_leave_with_the_ledger(self):
        """What a former holder reported does not stay in later commands."""
        self.close(0, 3)
        self.reporter.record_accepted(0, 6_000)
        for window in range(1, 70):
            self.close(window, 1)
        self.report("e1", 360_000, (70, {"a": 4}))
        self.assertEqual(self.find_due(["e1"], 360_000), self.build_due(70, 4))

    def test_delivery_is_committed_without_a_closing(self):
        """When traffic ends, later holders still learn what was reported."""
        self.close(0, 3)
        self.reporter.record_accepted(0, 6_000)
        self.assertIsNone(self.find_due(["e1"], 15_000))
        due = self.find_due(["e1"], 15_001)
        self.assertEqual(due, DueWindow(closing=UsageClosing(delivered=(0,))))
        self.ledger.apply(due.closing)
        self.assertIsNone(self.find_due(["e1"], 16_000))
        other_holder = UsageReporter(window_s=5.0, delay_s=10.0)
        self.assertEqual(
            other_holder.take_abandoned(self.collection, self.ledger, 60_000), []
        )

    def test_refused(self):
        """A window that the provider refuses does not delay the others."""
        first, second = self.close(0, 3), self.close(1, 4)
        self.reporter.record_refused(0)
        self.assertEqual(self.reporter.find_unsent(self.ledger, 11_000), second)
        self.reporter.record_accepted(1, 11_000)
        self.assertEqual(self.reporter.find_unsent(self.ledger, 11_000), first)

    def test_abandoned(self):
        """A window that was never reported is counted once."""
        self.report("e1", 11_000, (0, {"a": 3}), (1, {"a": 4}))
        self.close(1, 4)
        cases = [(35_000, []), (35_001, [0]), (36_000, []), (40_001, [1])]
        for now_ms, windows in cases:
            with self.subTest(now_ms):
                self.assertEqual(
                    self.reporter.take_abandoned(self.collection, self.ledger, now_ms),
                    windows,
                )
        self.assertIsNone(self.reporter.find_unsent(self.ledger, 40_001))


if __name__ == "__main__":
    unittest.main()
