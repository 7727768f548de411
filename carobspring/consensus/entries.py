"""Values that the log holds: entries, members, snapshots."""

import enum
from dataclasses import dataclass, field, replace


class EntryKind(enum.IntEnum):
    """What an entry is for."""

    COMMAND = 0
    #: Committed by a new leader, so that its reign holds everything before.
    NO_OP = 1
    CONFIGURATION = 2


@dataclass(frozen=True, kw_only=True)
class Entry:
    """One position of the log."""

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Member:
    """A replica as the configuration lists it.

    The identity belongs to one data folder; a replica that lost its folder
    comes back under the same name with another identity.
    """

    identity: str
    name: str
    voter: bool = True


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """The members of a cluster; without a cluster it belongs to none yet."""

    cluster: str = ""
    members: tuple[Member, ...] = ()

    def find_voters(self) -> tuple[str, ...]:
        """Return the identities that have a vote."""
        return tuple(member.identity for member in self.members if member.voter)

    def find_member(self, identity: str) -> Member | None:
        """Return a member by its identity."""
        for member in self.members:
            if member.identity == identity:
                return member
        return None

    def is_voter(self, identity: str) -> bool:
        """Say whether an identity has a vote."""
        member = self.find_member(identity)
        return member is not None and member.voter

    def with_member(self, member: Member) -> "Configuration":
        """Return a copy in which a member is added or replaced."""
        others = tuple(m for m in self.members if m.identity != member.identity)
        members = sorted((*others, member), key=lambda m: (m.name, m.identity))
        return replace(self, members=tuple(members))

    def without_member(self, identity: str) -> "Configuration":
        """Return a copy without a member."""
        members = tuple(m for m in self.members if m.identity != identity)
        return replace(self, members=members)


@dataclass(frozen=True, kw_only=True)
class HardState:
    """What a replica must remember across a restart besides its log."""

    term: int = 0
    #: The identity that got this replica's vote in the term, or empty.
    vote: str = ""


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The applied state up to an index, which replaces the log before it.

    The one at index 0 is the founding of the cluster: it has members, no
    data.
    """

    index: int = 0
    term: int = 0
    configuration: Configuration = field(default_factory=Configuration)
    data: bytes = b""
