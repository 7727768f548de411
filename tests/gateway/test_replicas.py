import unittest

from carobspring.gateway.replicas import (
    KnownReplicas,
    choose_replicas,
    count_replicas_to_follow,
)
from carobspring.protocol import ViewUpdate

OLD_LIST, NEW_LIST = ("a", "b", "c"), ("a", "b", "d")


def build_update(*replicas, confirmed=True):
    return ViewUpdate(replicas=replicas, confirmed=confirmed)


class KnownReplicasTests(unittest.TestCase):
    def setUp(self):
        self.known = KnownReplicas()

    def test_changes(self):
        """A confirmed list that differs is applied once."""
        self.assertIs(self.known.apply_update("a", build_update(*OLD_LIST)), True)
        self.assertIs(self.known.apply_update("b", build_update(*OLD_LIST)), False)
        self.assertIs(self.known.apply_update("a", build_update()), False)
        self.assertIs(self.known.apply_update("a", build_update(*NEW_LIST)), True)
        self.assertEqual(self.known.names, NEW_LIST)

    def test_start_without_a_leader(self):
        """An unconfirmed list is used if there is no other."""
        self.known.apply_update("a", build_update(*OLD_LIST, confirmed=False))
        self.assertEqual(self.known.names, OLD_LIST)

    def test_removed_replica_reconnects(self):
        """The list of a replica that was removed meanwhile is ignored."""
        self.known.apply_update("a", build_update(*NEW_LIST))
        self.assertIs(
            self.known.apply_update("c", build_update(*OLD_LIST, confirmed=False)),
            False,
        )
        self.assertIs(
            self.known.apply_update("c", build_update(confirmed=False)), False
        )
        self.assertEqual(self.known.names, NEW_LIST)

    def test_confirmed_later(self):
        """A list that arrived unconfirmed is applied when it is confirmed."""
        self.known.apply_update("a", build_update(*OLD_LIST))
        self.known.apply_update("b", build_update(*NEW_LIST, confirmed=False))
        self.assertIs(self.known.apply_update("b", build_update()), True)
        self.assertEqual(self.known.names, NEW_LIST)

    def test_removed(self):
        """The list of a replica that is no longer followed is dropped."""
        self.known.apply_update("a", build_update(*OLD_LIST))
        self.known.apply_update("b", build_update(*NEW_LIST, confirmed=False))
        self.known.remove_replica("b")
        self.assertIs(self.known.apply_update("b", build_update()), False)

    def test_zones(self):
        """The zones of the replicas are known once a replica sends them."""
        update = ViewUpdate(replicas=("a", "b"), replica_zones={"a": "x", "b": "y"})
        self.known.apply_update("a", update)
        self.assertEqual(self.known.zones, {"a": "x", "b": "y"})


class ChooseReplicasTests(unittest.TestCase):
    ZONES = {"10.1.0.1:7": "x", "10.1.0.2:7": "x", "10.2.0.1:7": "y", "10.3.0.1:7": "z"}

    def choose(self, count, *, entry="e", host="10.1.0.9", zone="x", zones=None):
        return choose_replicas(
            self.ZONES,
            self.ZONES if zones is None else zones,
            entry=entry,
            own_host=host,
            own_zone=zone,
            count=count,
        )

    def test_choice(self):
        """Near replicas are chosen, and one of another zone if possible."""
        cases = {
            "own instance": (self.choose(1, host="10.3.0.1"), {"10.3.0.1:7"}),
            "own zone": (self.choose(1, zone="y"), {"10.2.0.1:7"}),
            "all": (self.choose(9), set(self.ZONES)),
        }
        for name, (chosen, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(set(chosen), expected)
        for count in (2, 3):
            with self.subTest(count=count):
                zones = [self.ZONES[name] for name in self.choose(count)]
                self.assertEqual(zones.count("x"), count - 1)

    def test_count(self):
        """All are followed once no routes have come from the first choice."""
        cases = {
            "at the start": (False, 0.0, 2),
            "no routes in time": (False, 0.4, None),
            "routes": (True, 0.1, 2),
            "routes, later": (True, 60.0, 2),
        }
        for name, (has_routes, uptime_s, expected) in cases.items():
            with self.subTest(name):
                count = count_replicas_to_follow(
                    1, has_routes=has_routes, uptime_s=uptime_s
                )
                self.assertEqual(count, expected)
        chosen = choose_replicas(
            ("h1:1", "h2:1", "h3:1"),
            {},
            entry="e",
            own_host="h3",
            own_zone="a",
            count=None,
        )
        self.assertEqual((chosen[0], len(chosen)), ("h3:1", 3))

    def test_unknown_zones(self):
        """Without any zone the requested number is chosen."""
        self.assertEqual(len(self.choose(2, zones={})), 2)

    def test_spread(self):
        """Entries of one zone follow different replicas of the others."""
        chosen = {self.choose(3, entry=f"e{number}")[-1] for number in range(20)}
        self.assertEqual(chosen, {"10.2.0.1:7", "10.3.0.1:7"})
