import unittest

from carobspring.duties import Leadership, Tenure, TenureTiming

TIMING = TenureTiming(lease_s=3.0, leader_lease_s=0.8, call_timeout_s=1.0, thaw_s=0.3)
#: Seconds by which the boot clock is ahead from the start.
BOOT_OFFSET_S = 100.0


class TenureTests(unittest.TestCase):
    """When a leader may call as the holder of duties."""

    def run_steps(self, *steps):
        """Return the token after each step: time, term and time frozen."""
        tenure = Tenure(timing=TIMING)
        tokens = []
        for now, term, frozen_s in steps:
            boot_time = now + BOOT_OFFSET_S + frozen_s
            tenure.update(Leadership(term=term, now=now, boot_time=boot_time))
            tokens.append(tenure.token)
        return tokens

    def test_quiet_period(self):
        """It covers a lease, a last call of the earlier holder and a thaw."""
        self.assertAlmostEqual(TIMING.quiet_s, 5.1)

    def test_tokens(self):
        """A token is given only while its term is held without a break."""
        cases = [
            ("not leading", [(0, None, 0), (10, None, 0)], [None, None]),
            (
                "after the quiet period",
                [(0, 4, 0), (5.0, 4, 0), (5.2, 4, 0)],
                [None, None, 4],
            ),
            (
                "a lease that lapsed and came back",
                [(0, 4, 0), (6, 4, 0), (7, None, 0), (7.1, 4, 0), (12.3, 4, 0)],
                [None, 4, None, None, 4],
            ),
            (
                "elected again by a new term",
                [(0, 4, 0), (6, 4, 0), (6.1, 6, 0), (11.0, 6, 0), (11.3, 6, 0)],
                [None, 4, None, None, 6],
            ),
            (
                "frozen while the monotonic clock stood still",
                [(0, 4, 0), (6, 4, 0), (6.01, 4, 9), (11.0, 4, 9), (11.2, 4, 9)],
                [None, 4, None, None, 4],
            ),
        ]
        for name, steps, tokens in cases:
            with self.subTest(name):
                self.assertEqual(self.run_steps(*steps), tokens)


if __name__ == "__main__":
    unittest.main()
