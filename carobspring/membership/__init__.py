"""Membership of backend servers and entries, kept alive by leases.

The package does no input or output. Its state is soft: none of it goes into
the replicated log. Each replica has its own tables, updated by the agents and
entries that report to it and by gossip from the other replicas.
"""

from carobspring.membership.entries import DEMAND_DIGITS, EntryRecord, EntryTable
from carobspring.membership.gossip import (
    EntryGossip,
    GossipMessage,
    MemberGossip,
    WithdrawalGossip,
)
from carobspring.membership.strikes import (
    HELD_STRIKES,
    MAX_REQUESTS,
    CauseKey,
    ServerRun,
    StrikeSet,
    build_cause_key,
    build_part_key,
    build_server_run,
    is_part_key,
)
from carobspring.membership.table import (
    LEASE_S,
    Member,
    MembershipTable,
    ReportResult,
)
from carobspring.membership.versions import VersionLog
from carobspring.membership.views import ViewDelta

__all__ = [
    "DEMAND_DIGITS",
    "EntryGossip",
    "EntryRecord",
    "EntryTable",
    "GossipMessage",
    "HELD_STRIKES",
    "LEASE_S",
    "MAX_REQUESTS",
    "Member",
    "MemberGossip",
    "MembershipTable",
    "ReportResult",
    "CauseKey",
    "ServerRun",
    "StrikeSet",
    "VersionLog",
    "WithdrawalGossip",
    "ViewDelta",
    "build_cause_key",
    "build_part_key",
    "build_server_run",
    "is_part_key",
]
