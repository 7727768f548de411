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
