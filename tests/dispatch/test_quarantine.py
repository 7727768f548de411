import unittest

from carobspring.dispatch import RequestQuarantine
from carobspring.dispatch.quarantine import HOLD_S, LIKELY_CAUSE_HOLD_S
from tests.membership.test_strikes import KEY, build_strike


class RequestQuarantineTests(unittest.TestCase):
    def setUp(self):
        self.quarantine = RequestQuarantine()

    def strike(self, *server_ids, now):
        self.quarantine.add([build_strike(name) for name in server_ids], now)

    def test_hold_by_strikes(self):
        """A request is held back after two crashes, for long after three."""
        cases = {
            "no crash": ((), 0.0),
            "one": (("s1",), 0.0),
            "two": (("s1", "s2"), HOLD_S),
            "three": (("s1", "s2", "s3"), LIKELY_CAUSE_HOLD_S),
        }
        for name, (server_ids, expected) in cases.items():
            with self.subTest(name):
                self.quarantine = RequestQuarantine()
                self.strike(*server_ids, now=5.0)
                self.assertEqual(self.quarantine.admit(KEY, 5.0), expected)

    def test_one_send_after_a_hold(self):
        """When the time is over, one send is admitted, and no second one."""
        self.strike("s1", "s2", now=0.0)
        self.assertGreater(self.quarantine.admit(KEY, HOLD_S - 0.1), 0.0)
        self.assertEqual(self.quarantine.admit(KEY, HOLD_S), 0.0)
        self.assertEqual(self.quarantine.admit(KEY, HOLD_S), HOLD_S)
        self.strike("s3", now=HOLD_S + 1)
        left_s = self.quarantine.admit(KEY, HOLD_S + 1)
        self.assertEqual(left_s, LIKELY_CAUSE_HOLD_S)

    def test_success_releases(self):
        """A request that succeeds is sent again, until the next crashes."""
        self.strike("s1", "s2", "s3", now=0.0)
        released = self.quarantine.release_request(KEY)
        self.assertEqual(len(released), 3)
        self.strike("s1", "s2", now=1.0)
        self.assertEqual(self.quarantine.admit(KEY, 1.0), 0.0)
        self.strike("s4", "s5", now=2.0)
        self.assertEqual(self.quarantine.admit(KEY, 2.0), HOLD_S)

    def test_other_callers_are_not_held(self):
        """What one workspace sends holds nothing back for another."""
        self.strike("s1", "s2", "s3", now=0.0)
        self.assertEqual(self.quarantine.admit(("other", "h"), 0.0), 0.0)
