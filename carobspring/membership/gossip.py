"""Gossip between replicas about the agents and entries that report to them.

The state is soft. Messages that are lost with a stream are made up for by the
complete state that begins the next stream.
"""

from dataclasses import dataclass

from carobspring.domain import BackendServer, LoadReport
from carobspring.protocol import EntryReport, EntryUsage, Strike, VersionSighting


@dataclass(frozen=True, kw_only=True)
class MemberGossip:
    """State of a backend server, as another replica received it.

    ``age_ms`` is the time since the agent's last report, so that the gossip
    itself does not extend the lease. ``server`` is omitted when only the lease
    or the load changed. ``left`` is set once the server is gone.
    """

    server_id: str
    boot: int
    sequence: int
    age_ms: int
    server: BackendServer | None = None
    load: LoadReport | None = None
    left: bool = False


@dataclass(frozen=True, kw_only=True)
class WithdrawalGossip:
    """Up to which report a server has been withdrawn.

    All reports with a smaller (boot, sequence) are out of date. ``is_listed``
    is set if a replica knew the server otherwise too.
    """

    server_id: str
    boot: int
    sequence: int
    age_ms: int
    is_listed: bool = False


@dataclass(frozen=True, kw_only=True)
class EntryGossip:
    """An entry's last report and its age."""

    report: EntryReport
    age_ms: int


@dataclass(frozen=True, kw_only=True)
class GossipMessage:
    """A message from one replica to another.

    Replicas of earlier releases send no views.
    """

    members: tuple[MemberGossip, ...] = ()
    #: What any replica was told of servers that leave or drain.
    withdrawals: tuple[WithdrawalGossip, ...] = ()
    entries: tuple[EntryGossip, ...] = ()
    #: All strikes that entries reported to any replica, and released ones;
    #: only in messages with the complete state.
    strikes: tuple[Strike, ...] = ()
    released: tuple[Strike, ...] = ()
    #: Software versions that are no longer listed; only in messages with the
    #: complete state.
    sightings: tuple[VersionSighting, ...] = ()
    #: The sender's view that the receiver has once it merged this message, or
    #: None if the message only acknowledges.
    view: int | None = None
    #: The receiver's view that the sender has merged, or -1.
    acknowledged_view: int = -1
    #: Usage that entries reported to the sender; only sent to the leader, in
    #: messages that hold nothing else.
    usage: tuple[EntryUsage, ...] = ()
