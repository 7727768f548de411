import unittest

from carobspring.protocol import ViewUpdate
from carobspring.resumption import PeerDirectory, build_stream_key

OWN = "10.0.0.1:7341"
ALL = tuple(f"10.0.0.{number}:7341" for number in range(1, 41))


def build_update(added=(), removed=(), *, complete=False):
    return ViewUpdate(
        complete=complete, entries_added=tuple(added), entries_removed=tuple(removed)
    )


class PeerDirectoryTests(unittest.TestCase):
    def test_merged_lists(self):
        """An entry is a peer while any followed replica lists it."""
        peers = PeerDirectory(own_address=OWN)
        steps = (
            # name: (replica, update, peers, whether they changed)
            ("first", "r1", build_update(ALL[:3], complete=True), ALL[1:3], True),
            ("the same", "r2", build_update(ALL[:3], complete=True), ALL[1:3], False),
            ("one more", "r1", build_update(ALL[3:4]), ALL[1:4], True),
            ("left at one", "r1", build_update((), ALL[2:3]), ALL[1:4], False),
            ("left", "r2", build_update((), ALL[2:3]), (ALL[1], ALL[3]), True),
            ("again complete", "r1", build_update((), complete=True), ALL[1:2], True),
        )
        for name, replica, update, expected, has_changed in steps:
            with self.subTest(name):
                self.assertIs(peers.apply_update(replica, update), has_changed)
                self.assertEqual(peers.addresses, expected)

    def test_last_list_is_kept(self):
        """The list of the last replica is kept when it is left."""
        peers = PeerDirectory(own_address=OWN)
        peers.apply_update("r1", build_update(ALL[:3], complete=True))
        peers.apply_update("r2", build_update(ALL[:2], complete=True))
        peers.remove_replica("r1")
        self.assertEqual(peers.addresses, ALL[1:2])
        peers.remove_replica("r2")
        self.assertEqual(peers.addresses, ALL[1:2])

    def test_choice_is_the_same_with_other_lists(self):
        """Entries that know different lists choose almost the same peers."""
        first, second = PeerDirectory(own_address=OWN), PeerDirectory(own_address="")
        first.apply_update("r1", build_update(ALL, complete=True))
        second.apply_update("r1", build_update(ALL[5:], complete=True))
        found = 0
        for number in range(200):
            stream = build_stream_key("acme", f"r{number}")
            senders_choice = first.choose(stream, 3)
            self.assertEqual(len(set(senders_choice)), 3)
            known = set(senders_choice) - set(ALL[:5])
            self.assertLessEqual(known, set(second.choose(stream, 6)))
            found += bool(known)
        self.assertGreater(found, 190)

    def test_load_is_spread(self):
        """Each peer keeps about the same number of records."""
        peers = PeerDirectory(own_address=OWN)
        peers.apply_update("r1", build_update(ALL[:9], complete=True))
        counts = dict.fromkeys(peers.addresses, 0)
        for number in range(800):
            for address in peers.choose(build_stream_key("", str(number)), 3):
                counts[address] += 1
        self.assertGreater(min(counts.values()), 200)
        self.assertLess(max(counts.values()), 400)
