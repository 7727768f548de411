"""Who is there: backend servers by lease, entries by their reports.

Sans-IO and soft: nothing here goes into the replicated log. Each replica has
its own table, fed by the agents on its streams and by the other replicas.
"""

from carobspring.membership.entries import EntryRecord, EntryTable
from carobspring.membership.gossip import EntryGossip, GossipMessage, MemberGossip
from carobspring.membership.table import (
    LEASE_S,
    Member,
    MembershipTable,
    ReportResult,
)
from carobspring.membership.views import ViewDelta

__all__ = [
    "EntryGossip",
    "EntryRecord",
    "EntryTable",
    "GossipMessage",
    "LEASE_S",
    "Member",
    "MemberGossip",
    "MembershipTable",
    "ReportResult",
    "ViewDelta",
]
