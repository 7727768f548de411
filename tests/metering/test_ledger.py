import unittest

from carobspring.metering import ClosingResult, UsageClosing, UsageLedger
from carobspring.protocol import WindowUsage


def build(window, count=1):
    return WindowUsage(window=window, counts={"a": count})


class UsageLedgerTests(unittest.TestCase):
    """Final counts of windows in the replicated log."""

    def setUp(self):
        self.ledger = UsageLedger()

    def test_the_first_counts_are_final(self):
        """A later holder that counted differently sends the first counts."""
        for count in (7, 8):
            result = self.ledger.apply(UsageClosing(usage=build(3, count)))
            self.assertEqual(result, ClosingResult(usage=build(3, 7)))

    def test_delivered(self):
        """Only windows with final counts are marked as delivered."""
        self.ledger.apply(UsageClosing(usage=build(3)))
        self.ledger.apply(UsageClosing(usage=build(4), delivered=(3, 99)))
        self.assertEqual(self.ledger.delivered, {3})

    def test_dropped_windows_stay_closed(self):
        """A window that is no longer kept is never reported anew."""
        for window in range(10, 80):
            self.ledger.apply(UsageClosing(usage=build(window)))
        self.assertEqual(min(self.ledger.windows), 16)
        self.assertIs(self.ledger.is_closable(15), False)
        result = self.ledger.apply(UsageClosing(usage=build(15, 2)))
        self.assertEqual(result, ClosingResult())

    def test_snapshot(self):
        """A restored replica decides like the one that took the snapshot."""
        for window in range(70):
            closing = UsageClosing(usage=build(window), delivered=(window - 1,))
            self.ledger.apply(closing)
        restored = UsageLedger()
        restored.restore(self.ledger.take_snapshot())
        self.assertEqual(restored.take_snapshot(), self.ledger.take_snapshot())
        self.assertIs(restored.is_closable(5), False)


if __name__ == "__main__":
    unittest.main()
