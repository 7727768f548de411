"""Tests of what is remembered of servers that leave or drain."""

import unittest
from unittest import mock

from carobspring.domain import FINAL_SEQUENCE
from carobspring.membership import withdrawals as withdrawals_module
from carobspring.membership.withdrawals import RETENTION_S, Withdrawals


class WithdrawalsTests(unittest.TestCase):
    def test_order(self):
        """Earlier reports and all of earlier boots are covered."""
        withdrawals = Withdrawals()
        withdrawals.record("a", 7, 5, now=0.0, view=1)
        cases = {(6, 99): True, (7, 4): True, (7, 5): False, (8, 0): False}
        for (boot, sequence), expected in cases.items():
            with self.subTest(boot=boot, sequence=sequence):
                self.assertIs(withdrawals.covers("a", boot, sequence), expected)
        self.assertFalse(withdrawals.covers("b", 1, 1))

    def test_newest_counts(self):
        """An older withdrawal, or the same again, changes nothing."""
        withdrawals = Withdrawals()
        results = [
            withdrawals.record("a", boot, sequence, now=0.0, view=view)
            for view, (boot, sequence) in enumerate(
                [(7, 5), (7, 5), (7, 4), (6, FINAL_SEQUENCE), (7, FINAL_SEQUENCE)], 1
            )
        ]
        self.assertEqual(results, [True, False, False, False, True])
        self.assertEqual(withdrawals.find_view("a"), 5)

    def test_gossip(self):
        """Peers get what was recorded since a view, with its age."""
        withdrawals = Withdrawals()
        for view, name in enumerate(("a", "b", "c"), 1):
            withdrawals.record(name, 1, 1, now=float(view), view=view)
        names = [each.server_id for each in withdrawals.list_gossip(1, 10.0)]
        self.assertEqual(names, ["b", "c"])
        ages = [each.age_ms for each in withdrawals.list_gossip(-1, 10.0)]
        self.assertEqual(ages, [9000, 8000, 7000])

    def test_expiry(self):
        """It is forgotten once no report can be on its way any more."""
        withdrawals = Withdrawals()
        withdrawals.record("a", 1, 1, now=0.0, view=1)
        withdrawals.expire(RETENTION_S)
        self.assertTrue(withdrawals.covers("a", 1, 0))
        withdrawals.expire(RETENTION_S + 1)
        self.assertFalse(withdrawals.covers("a", 1, 0))

    def test_foreign_identifiers(self):
        """A crowd of them pushes out nothing, and listed ones have room."""
        with (
            mock.patch.object(withdrawals_module, "MAX_UNLISTED", 10),
            mock.patch.object(withdrawals_module, "MAX_LISTED", 10),
        ):
            withdrawals = Withdrawals()
            recorded = [
                withdrawals.record(f"f{number}", 1, 1, now=0.0, view=number + 1)
                for number in range(20)
            ]
            self.assertEqual(recorded, [True] * 10 + [False] * 10)
            self.assertTrue(withdrawals.covers("f0", 1, 0))
            self.assertTrue(withdrawals.has_room("f0", is_listed=False))
            self.assertFalse(withdrawals.has_room("f10", is_listed=False))
            self.assertTrue(
                withdrawals.record("a", 1, 1, now=0.0, view=30, is_listed=True)
            )
            withdrawals.expire(RETENTION_S + 1)
            self.assertTrue(withdrawals.has_room("f10", is_listed=False))
