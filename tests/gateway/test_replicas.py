import unittest

from carobspring.gateway.replicas import KnownReplicas
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
