import unittest

from carobspring.membership.entries import ENTRY_LEASE_S, EntryTable
from carobspring.membership.gossip import EntryGossip
from carobspring.protocol import EntryReport


def build_report(name, **generating):
    return EntryReport(entry_id=name, zone="a", generating=generating or None)


class GeneratingDemandTests(unittest.TestCase):
    """Demand for token generation, summed over all entries."""

    def setUp(self):
        self.table = EntryTable()

    def test_sum(self):
        """Local entries and those of other replicas count once each."""
        self.table.apply_report(build_report("e1", chats=0.5), 0.0)
        self.table.apply_report(build_report("e1", chats=0.25, drafts=1.0), 1.0)
        self.table.apply_report(build_report("e2"), 1.0)
        gossip = EntryGossip(report=build_report("e3", chats=0.5), age_ms=100)
        self.table.apply_gossip(gossip, 1.0)
        self.assertEqual(
            self.table.sum_generating_demand(), {"chats": 0.75, "drafts": 1.0}
        )

    def test_expired_entries_do_not_count(self):
        """The demand of an entry ends with its lease."""
        self.table.apply_report(build_report("e1", chats=0.5), 0.0)
        self.table.expire(ENTRY_LEASE_S + 1)
        self.assertEqual(self.table.sum_generating_demand(), {})


class PeerAddressTests(unittest.TestCase):
    """Addresses at which entries get datagrams of each other."""

    def build_report(self, name, address):
        return EntryReport(entry_id=name, zone="a", peer_address=address)

    def test_addresses(self):
        """Addresses are known for the time of a lease, from any replica."""
        table = EntryTable()
        table.apply_report(self.build_report("e1", "10.0.0.1:7341"), 0.0)
        table.apply_report(self.build_report("e2", ""), 0.0)
        gossip = EntryGossip(report=self.build_report("e3", "10.0.0.3:7341"), age_ms=0)
        table.apply_gossip(gossip, 1.0)
        both = frozenset({"10.0.0.1:7341", "10.0.0.3:7341"})
        self.assertEqual(table.peer_addresses, both)
        before = table.peer_addresses
        table.apply_report(self.build_report("e1", "10.0.0.1:7341"), 1.0)
        self.assertIs(table.peer_addresses, before)
        table.apply_report(self.build_report("e1", "10.0.0.9:7341"), 2.0)
        self.assertEqual(
            table.peer_addresses, frozenset({"10.0.0.9:7341", "10.0.0.3:7341"})
        )
        table.expire(ENTRY_LEASE_S + 1.5)
        self.assertEqual(table.peer_addresses, frozenset({"10.0.0.9:7341"}))
