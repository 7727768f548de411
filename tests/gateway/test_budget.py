import unittest

from carobspring.gateway.budget import USED_FRACTION, RetryBudget
from carobspring.gateway.entry_count import (
    COUNT_DELAY_S,
    COUNT_LIFETIME_S,
    EntryCount,
)

WINDOW_S = 10.0
SLACK_FROM_S = WINDOW_S + COUNT_DELAY_S


class Entry:
    """An entry with its budget; all clocks start at zero."""

    def __init__(self, *, started_at=0.0, share=0.2, slack=20.0):
        self.entry_count = EntryCount(window_s=WINDOW_S)
        self.budget = RetryBudget(
            share=share,
            slack=slack,
            window_s=WINDOW_S,
            entry_count=self.entry_count,
            started_at=started_at,
        )

    def spend_all(self, now):
        spent = 0
        while self.budget.try_spend(now):
            spent += 1
        return spent


class RetryBudgetTests(unittest.TestCase):
    def build(self, *, entries=1, slack=10.0, now):
        entry = Entry(started_at=now - SLACK_FROM_S, slack=slack)
        entry.entry_count.record(entries, now)
        return entry

    def test_share_and_slack(self):
        """Retries stay within the share of requests and this entry's slack."""
        cases = {
            "slack only": (1, 0, 8),
            "slack, one of five entries": (5, 0, 1),
            "with requests": (1, 100, 24),
            "with requests, one of five entries": (5, 100, 17),
        }
        for name, (entries, requests, expected) in cases.items():
            with self.subTest(name):
                entry = self.build(entries=entries, now=1.0)
                for _ in range(requests):
                    entry.budget.record_request(1.0)
                self.assertEqual(entry.spend_all(1.0), expected)

    def test_window_slides(self):
        """Requests and retries older than the window no longer count."""
        entry = self.build(now=0.0)
        for _ in range(100):
            entry.budget.record_request(0.0)
        self.assertEqual(entry.spend_all(0.0), 24)
        entry.entry_count.record(1, 9.0)
        self.assertEqual(entry.spend_all(9.0), 0)
        entry.entry_count.record(1, 10.5)
        self.assertEqual(entry.spend_all(10.5), 8)

    def test_entries_that_start(self):
        """Entries that start have little slack while few are known."""
        entries = [Entry() for _ in range(8)]
        spent = 0
        for known, entry in enumerate(entries, start=1):
            # Each hears only of those that reported before it.
            entry.entry_count.record(known, 0.5)
            for _ in range(5):
                entry.budget.record_request(0.5)
            spent += entry.spend_all(0.5)
        self.assertLessEqual(spent, 0.2 * 40 + 20.0)
        for entry in entries:
            entry.entry_count.record(8, SLACK_FROM_S)
        spent = sum(entry.spend_all(SLACK_FROM_S) for entry in entries)
        self.assertEqual(spent, 8 * int(USED_FRACTION * 20.0 / 8))

    def test_restart(self):
        """A process that returns has only what was left by the one before."""
        before = self.build(slack=20.0, now=100.0)
        after = Entry(started_at=100.5)
        after.entry_count.record(1, 100.6)
        self.assertEqual((before.spend_all(100.0), after.spend_all(100.6)), (16, 4))
        after.entry_count.record(1, 100.5 + SLACK_FROM_S)
        self.assertEqual(after.spend_all(110.7 + SLACK_FROM_S), 0)
        after.entry_count.record(1, 110.7 + SLACK_FROM_S)
        self.assertEqual(after.spend_all(110.7 + SLACK_FROM_S), 16)

    def test_out_of_touch(self):
        """Without news of the number an entry has its requests' share only."""
        entry = self.build(now=0.0)
        for _ in range(100):
            entry.budget.record_request(COUNT_LIFETIME_S + 0.1)
        self.assertEqual(entry.spend_all(COUNT_LIFETIME_S + 0.1), 16)

    def test_entries_that_leave(self):
        """What gone entries spent stays spent until the window has passed."""
        stays, leaves = (self.build(entries=2, slack=20.0, now=0.0) for _ in "ab")
        self.assertEqual((stays.spend_all(0.0), leaves.spend_all(0.0)), (8, 8))
        for step in range(1, 14):
            stays.entry_count.record(1, float(step))
            spent = stays.spend_all(float(step))
            self.assertEqual(spent, 8 if step == 11 else 0)
        later = 11.0 + SLACK_FROM_S
        stays.entry_count.record(1, later)
        self.assertEqual(stays.spend_all(later), 16)


class EntryCountTests(unittest.TestCase):
    def test_largest_of_the_window(self):
        """The largest count that was valid in the window is returned."""
        counts = EntryCount(window_s=WINDOW_S)
        self.assertEqual(counts.find_largest(0.0), 1)
        for at, count in ((0.0, 4), (1.0, 8), (2.0, 3), (3.0, 5)):
            counts.record(count, at)
        cases = {3.0: 8, 2.9 + SLACK_FROM_S: 8, 3.1 + SLACK_FROM_S: 5, 99.0: 5}
        for now, expected in cases.items():
            with self.subTest(now=now):
                self.assertEqual(counts.find_largest(now), expected)
