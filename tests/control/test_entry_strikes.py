import unittest
import unittest.mock

from carobspring.control import entry_strikes
from carobspring.control.entry_strikes import EntryStrikes
from tests.membership.test_strikes import build_strike

FIRST, SECOND, THIRD = (build_strike(name) for name in ("s1", "s2", "s3"))
OTHER = build_strike("s1", request_hash="i")


class EntryStrikesTests(unittest.TestCase):
    def setUp(self):
        self.strikes = EntryStrikes()
        self.seen = 0

    def take(self, *, since=None):
        """Return what a stream is sent next, as strikes and as released."""
        strikes, released = [], []
        for change in self.strikes.list_changes(self.seen if since is None else since):
            strikes += change.strikes
            released += change.released
            self.seen = change.number
        return strikes, released

    def test_what_entries_are_told(self):
        """Entries hear of what has two strikes, and then of all of it."""
        self.strikes.merge([FIRST, OTHER], [])
        self.assertEqual(self.take(), ([], []))
        self.strikes.merge([SECOND], [])
        self.assertEqual(self.take(), ([FIRST, SECOND], []))
        self.strikes.merge([THIRD, SECOND], [])
        self.assertEqual(self.take(), ([THIRD], []))
        self.assertEqual(self.take(), ([], []))

    def test_release_in_part(self):
        """A strike that was not released is not taken back with others."""
        self.strikes.merge([FIRST, SECOND], [])
        self.take()
        self.strikes.merge([], [FIRST])
        self.assertEqual(self.take(), ([], [FIRST]))
        self.assertEqual(self.strikes.list_held(), (SECOND,))
        self.strikes.merge([THIRD], [])
        self.assertEqual(self.take(), ([THIRD], []))

    def test_release_of_what_was_not_told(self):
        """Entries hear nothing of the release of a strike they never had."""
        self.strikes.merge([FIRST], [])
        self.strikes.merge([], [FIRST])
        self.assertEqual(self.take(), ([], []))
        self.assertEqual(self.strikes.change_number, 0)

    def test_release_of_all(self):
        """What has no strike left is forgotten until it has two again."""
        self.strikes.merge([FIRST, SECOND], [])
        self.strikes.merge([], [FIRST, SECOND])
        self.take()
        self.strikes.merge([THIRD], [])
        self.assertEqual(self.take(), ([], []))
        self.assertEqual(self.strikes.list_held(), ())

    def test_new_and_slow_streams(self):
        """A stream that missed changes is sent all that is held."""
        with unittest.mock.patch.object(entry_strikes, "MAX_CHANGES", 2):
            self.strikes = EntryStrikes()
        self.strikes.merge([FIRST, SECOND], [])
        self.take()
        self.strikes.merge([], [FIRST])
        self.strikes.merge([THIRD], [])
        self.strikes.merge([build_strike("s4")], [])
        held = [SECOND, THIRD, build_strike("s4")]
        self.assertEqual(self.take(since=0), (held, []))
        self.assertEqual(self.take(since=1), (held, [FIRST]))
        self.assertEqual(self.take(since=2), ([THIRD, build_strike("s4")], []))

    def test_bound(self):
        """What entries were told of longest ago is dropped first."""
        with unittest.mock.patch.object(entry_strikes, "MAX_REQUESTS", 1):
            self.strikes.merge([FIRST, SECOND], [])
            self.strikes.merge([OTHER, build_strike("s2", request_hash="i")], [])
        held = {strike.request_hash for strike in self.strikes.list_held()}
        self.assertEqual(held, {"i"})
