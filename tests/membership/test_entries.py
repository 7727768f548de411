import unittest

from carobspring.membership.entries import ENTRY_LEASE_S, EntryTable
from carobspring.membership.gossip import EntryGossip
from carobspring.protocol import EntryReport


def build_report(name, **generating):
    return EntryReport(entry_id=name, zone="a", generating=generating or None)


class GeneratingTests(unittest.TestCase):
    """What all entries together ask of engines that generate."""

    def setUp(self):
        self.table = EntryTable()

    def test_sum(self):
        """Own entries and those of other replicas count once each."""
        self.table.apply_report(build_report("e1", chats=0.5), 0.0)
        self.table.apply_report(build_report("e1", chats=0.25, drafts=1.0), 1.0)
        self.table.apply_report(build_report("e2"), 1.0)
        news = EntryGossip(report=build_report("e3", chats=0.5), age_ms=100)
        self.table.apply_gossip(news, 1.0)
        self.assertEqual(
            self.table.sum_generating_demand(), {"chats": 0.75, "drafts": 1.0}
        )

    def test_gone_entries_do_not_count(self):
        """An entry that was not heard of for long asks for nothing."""
        self.table.apply_report(build_report("e1", chats=0.5), 0.0)
        self.table.expire(ENTRY_LEASE_S + 1)
        self.assertEqual(self.table.sum_generating_demand(), {})
