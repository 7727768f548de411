"""Gossip between replicas about the agents and entries that report to them.

The state is soft: the next complete message repairs the loss of an earlier
one.
"""

from dataclasses import dataclass

from carobspring.domain import BackendServer, LoadReport
from carobspring.protocol import EntryReport


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
class EntryGossip:
    """An entry's last report and its age."""

    report: EntryReport
    age_ms: int


@dataclass(frozen=True, kw_only=True)
class GossipMessage:
    """A message from one replica to another."""

    members: tuple[MemberGossip, ...] = ()
    entries: tuple[EntryGossip, ...] = ()
