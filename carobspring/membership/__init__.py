"""Who is there: backend servers by lease, entries by their reports.

Sans-IO and soft: nothing here goes into the replicated log. Each replica has
its own table, fed by the agents on its streams and by the other replicas.
"""

from carobspring.membership.entries import EntryState, EntryTable
from carobspring.membership.gossip import EntryNews, MemberNews, ReplicaNews
from carobspring.membership.table import (
    LEASE_S,
    Announcement,
    Member,
    MembershipTable,
)
from carobspring.membership.views import Delta

__all__ = [
    "Announcement",
    "Delta",
    "EntryNews",
    "EntryState",
    "EntryTable",
    "LEASE_S",
    "Member",
    "MemberNews",
    "MembershipTable",
    "ReplicaNews",
]
