import unittest
import unittest.mock

from carobspring.membership import StrikeSet, strikes
from carobspring.protocol import Strike

KEY = ("w", "h")


def build_strike(server_id="s1", *, boot=1, workspace="w", request_hash="h", at_ms=1):
    return Strike(
        workspace=workspace,
        request_hash=request_hash,
        server_id=server_id,
        boot=boot,
        at_ms=at_ms,
    )


class StrikeSetTests(unittest.TestCase):
    def test_count(self):
        """Only different crashes under the same request add up."""
        first = build_strike()
        cases = {
            "the same crash, reported by another entry": (build_strike(at_ms=9), 1),
            "another server": (build_strike("s2"), 2),
            "a later start": (build_strike(boot=2), 2),
            "another caller": (build_strike("s2", workspace="x"), 1),
            "another request": (build_strike("s2", request_hash="i"), 1),
        }
        for name, (second, expected) in cases.items():
            with self.subTest(name):
                strike_set = StrikeSet()
                strike_set.add([first, second])
                self.assertEqual(strike_set.count(KEY), expected)

    def test_released_strikes_do_not_return(self):
        """A released strike that is reported again does not count."""
        strike_set = StrikeSet()
        strike_set.add([build_strike()])
        strike_set.release([build_strike(), build_strike("s2")])
        self.assertEqual(strike_set.add([build_strike(), build_strike("s2")]), ())
        self.assertIs(strike_set.is_empty, True)
        strike_set.add([build_strike("s3")])
        self.assertEqual(strike_set.count(KEY), 1)

    def test_bound(self):
        """The requests that were struck least recently are evicted."""
        with unittest.mock.patch.object(strikes, "MAX_REQUESTS", 2):
            strike_set = StrikeSet()
            for name in ("a", "b", "c"):
                strike_set.add([build_strike(request_hash=name)])
                strike_set.release([build_strike("s9", request_hash=name)])
            kept = [strike.request_hash for strike in strike_set.list_strikes()]
            self.assertEqual(kept, ["b", "c"])
            strike_set.add([build_strike("s2", request_hash="b")])
            strike_set.add([build_strike(request_hash="d")])
            kept = [strike.request_hash for strike in strike_set.list_strikes()]
            self.assertEqual(kept, ["b", "b", "d"])
        self.assertEqual(len(strike_set.list_released()), 2)
