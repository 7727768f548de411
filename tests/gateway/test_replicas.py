import unittest

from carobspring.gateway.replicas import KnownReplicas
from carobspring.protocol import ViewUpdate

BEFORE, AFTER = ("a", "b", "c"), ("a", "b", "d")


def told(*replicas, confirmed=True):
    return ViewUpdate(replicas=replicas, confirmed=confirmed)


class KnownReplicasTests(unittest.TestCase):
    def setUp(self):
        self.known = KnownReplicas()

    def test_changes(self):
        """A confirmed list that differs is taken over, once."""
        self.assertIs(self.known.apply_update("a", told(*BEFORE)), True)
        self.assertIs(self.known.apply_update("b", told(*BEFORE)), False)
        self.assertIs(self.known.apply_update("a", told()), False)
        self.assertIs(self.known.apply_update("a", told(*AFTER)), True)
        self.assertEqual(self.known.names, AFTER)

    def test_start_without_a_leader(self):
        """A list that nobody has confirmed yet is better than none."""
        self.known.apply_update("a", told(*BEFORE, confirmed=False))
        self.assertEqual(self.known.names, BEFORE)

    def test_replaced_replica_comes_back(self):
        """The list of a replica that was replaced meanwhile is not taken."""
        self.known.apply_update("a", told(*AFTER))
        self.assertIs(
            self.known.apply_update("c", told(*BEFORE, confirmed=False)), False
        )
        self.assertIs(self.known.apply_update("c", told(confirmed=False)), False)
        self.assertEqual(self.known.names, AFTER)

    def test_confirmed_later(self):
        """A list told before it was confirmed counts once it is."""
        self.known.apply_update("a", told(*BEFORE))
        self.known.apply_update("b", told(*AFTER, confirmed=False))
        self.assertIs(self.known.apply_update("b", told()), True)
        self.assertEqual(self.known.names, AFTER)

    def test_forgotten(self):
        """What a replica told counts no more when it is not followed."""
        self.known.apply_update("a", told(*BEFORE))
        self.known.apply_update("b", told(*AFTER, confirmed=False))
        self.known.forget("b")
        self.assertIs(self.known.apply_update("b", told()), False)
