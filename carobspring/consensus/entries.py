"""Values stored in the log: entries, members and snapshots."""

import enum
from dataclasses import dataclass, field, replace


class EntryKind(enum.IntEnum):
    """The kind of a log entry."""

    COMMAND = 0
    #: Appended by a new leader. Once it is committed, all entries before it
    #: are committed too.
    NO_OP = 1
    CONFIGURATION = 2


@dataclass(frozen=True, kw_only=True)
class Entry:
    """A log entry at one index."""

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Member:
    """A replica as listed in the configuration.

    The identity belongs to one data directory. A replica whose data directory
    was lost rejoins under the same name with a new identity.
    """

    identity: str
    name: str
    voter: bool = True
    #: Identity of the silent member that this learner is to replace, or empty.
    replaces: str = ""


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """A cluster's identifier, empty before the bootstrap, and its members."""

    cluster: str = ""
    members: tuple[Member, ...] = ()

    def find_voters(self) -> tuple[str, ...]:
        """Return the identities of the voting members."""
        return tuple(member.identity for member in self.members if member.voter)

    def find_member(self, identity: str) -> Member | None:
        """Return the member with an identity, or None."""
        for member in self.members:
            if member.identity == identity:
                return member
        return None

    def is_voter(self, identity: str) -> bool:
        """Return whether an identity belongs to a voting member."""
        member = self.find_member(identity)
        return member is not None and member.voter

    def with_member(self, member: Member) -> "Configuration":
        """Return a copy with a member added or replaced."""
        others = tuple(m for m in self.members if m.identity != member.identity)
        members = sorted((*others, member), key=lambda m: (m.name, m.identity))
        return replace(self, members=tuple(members))

    def without_member(self, identity: str) -> "Configuration":
        """Return a copy with a member removed."""
        members = tuple(m for m in self.members if m.identity != identity)
        return replace(self, members=members)


@dataclass(frozen=True, kw_only=True)
class HardState:
    """State besides the log that must survive a restart."""

    term: int = 0
    #: The identity that this replica voted for in the term, or empty.
    vote: str = ""


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The state machine's state at an index; it replaces the log up to there.

    The snapshot at index 0 bootstraps the cluster: it has members but no
    data.
    """

    index: int = 0
    term: int = 0
    configuration: Configuration = field(default_factory=Configuration)
    data: bytes = b""
