"""What replicas tell each other of the agents and entries on their streams.

Soft state: a lost message is made good by the next one that is complete.
"""

from dataclasses import dataclass

from carobspring.domain import BackendServer, LoadReport
from carobspring.protocol import EntryReport


@dataclass(frozen=True, kw_only=True)
class MemberGossip:
    """A backend server as another replica heard of it.

    ``age_ms`` is how long ago the agent's last report came in, so that the
    lease is not renewed by the telling. ``server`` is left out when only the
    lease and load are news.
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
    """An entry's last report and how long ago it came in."""

    report: EntryReport
    age_ms: int


@dataclass(frozen=True, kw_only=True)
class GossipMessage:
    """One message from a replica to the others."""

    members: tuple[MemberGossip, ...] = ()
    entries: tuple[EntryGossip, ...] = ()
