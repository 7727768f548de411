"""The inputs and outputs of ``Node``: events, outcomes and actions."""

from dataclasses import dataclass

from carobspring.consensus.entries import Entry, HardState, Snapshot
from carobspring.consensus.messages import Message


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Makes the node check its timeouts."""


@dataclass(frozen=True, kw_only=True)
class MessageReceived:
    """A message from a peer has arrived."""

    message: Message


@dataclass(frozen=True, kw_only=True)
class CommandProposed:
    """Proposes a command to be committed; its outcome has the same token."""

    token: int
    command: bytes


@dataclass(frozen=True, kw_only=True)
class ConfirmRead:
    """Requests an index at which a linearizable read is safe."""

    token: int


@dataclass(frozen=True, kw_only=True)
class LogSynced:
    """Everything that the last actions had to persist is on disk."""


@dataclass(frozen=True, kw_only=True)
class SnapshotTaken:
    """A snapshot of the state machine at an applied index was taken."""

    index: int
    data: bytes


@dataclass(frozen=True, kw_only=True)
class TransferLeadership:
    """Transfers leadership to a voter, by default the most up-to-date one."""

    target: str = ""


@dataclass(frozen=True, kw_only=True)
class AddLearner:
    """Adds a replica as a learner, which gets the log but has no vote."""

    token: int
    identity: str
    name: str
    #: Identity of the silent member that it is to replace, or empty.
    replaces: str = ""


@dataclass(frozen=True, kw_only=True)
class PromoteLearner:
    """Makes a learner that has caught up a voter."""

    token: int
    identity: str


@dataclass(frozen=True, kw_only=True)
class RemoveMember:
    """Removes a member from the configuration."""

    token: int
    identity: str


MembershipChange = AddLearner | PromoteLearner | RemoveMember

Event = (
    Tick
    | MessageReceived
    | CommandProposed
    | ConfirmRead
    | LogSynced
    | SnapshotTaken
    | TransferLeadership
    | MembershipChange
)


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The leader appended the proposal with the token at an index."""

    token: int
    index: int
    term: int


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The request with the token was refused and had no effect.

    It has the leader's identity if that is known. A refused membership change
    also has a reason.
    """

    token: int
    leader: str
    reason: str = ""


@dataclass(frozen=True, kw_only=True)
class ReadConfirmed:
    """The read with the token is safe once the index is applied.

    It then sees all that was committed before it was requested.
    """

    token: int
    index: int


Outcome = Accepted | Refused | ReadConfirmed


@dataclass(frozen=True, kw_only=True)
class Actions:
    """What the driver has to do next.

    First everything to persist is written and synced, then the node gets
    ``LogSynced``, then the messages are sent. After that the snapshot is
    restored, the outcomes are reported and the committed entries are applied.
    """

    hard_state: HardState | None = None
    #: A snapshot to persist, taken by this replica or sent by the leader.
    snapshot: Snapshot | None = None
    #: Entries to persist. An entry at an existing index replaces the entry
    #: there and all after it.
    entries: tuple[Entry, ...] = ()
    messages: tuple[Message, ...] = ()
    #: Whether the state machine has to be restored from ``snapshot``.
    should_restore: bool = False
    committed_entries: tuple[Entry, ...] = ()
    outcomes: tuple[Outcome, ...] = ()

    def must_sync(self) -> bool:
        """Return whether there is something to persist."""
        return bool(self.hard_state or self.snapshot or self.entries)

    def is_empty(self) -> bool:
        """Return whether there is nothing to do."""
        pending = self.messages or self.committed_entries or self.outcomes
        return not pending and not self.must_sync()
