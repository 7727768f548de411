import unittest

from carobspring.gateway.budget import RetryBudget


class RetryBudgetTests(unittest.TestCase):
    def build(self, *, entries=1, share=0.2, slack=10.0):
        return RetryBudget(
            share=share, slack=slack, window_s=10.0, count_entries=lambda: entries
        )

    def count_allowed(self, budget, now):
        allowed = 0
        while budget.try_spend(now):
            allowed += 1
        return allowed

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
                budget = self.build(entries=entries)
                for _ in range(requests):
                    budget.record_request(1.0)
                self.assertEqual(self.count_allowed(budget, 1.0), expected)

    def test_window_slides(self):
        """Requests and retries older than the window no longer count."""
        budget = self.build()
        for _ in range(100):
            budget.record_request(0.0)
        self.assertEqual(self.count_allowed(budget, 0.0), 24)
        self.assertEqual(self.count_allowed(budget, 9.0), 0)
        self.assertEqual(self.count_allowed(budget, 10.5), 8)
