"""What goes into a replica's core and what comes out of it."""

from dataclasses import dataclass

from carobspring.consensus.entries import Entry, HardState, Snapshot
from carobspring.consensus.messages import Message


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Lets timeouts take effect."""


@dataclass(frozen=True, kw_only=True)
class MessageReceived:
    """A message of a peer arrived."""

    message: Message


@dataclass(frozen=True, kw_only=True)
class CommandProposed:
    """A command shall be committed; the token names it in the answer."""

    token: int
    command: bytes


@dataclass(frozen=True, kw_only=True)
class ConfirmRead:
    """Somebody wants to read what is committed by now."""

    token: int


@dataclass(frozen=True, kw_only=True)
class LogSynced:
    """All that the last actions gave to keep is on disk."""


@dataclass(frozen=True, kw_only=True)
class SnapshotTaken:
    """The state up to an applied index was written down."""

    index: int
    data: bytes


@dataclass(frozen=True, kw_only=True)
class TransferLeadership:
    """The leader shall hand over, to a given voter or the most advanced."""

    target: str = ""


@dataclass(frozen=True, kw_only=True)
class AddLearner:
    """A replica shall get the log, without a vote."""

    token: int
    identity: str
    name: str


@dataclass(frozen=True, kw_only=True)
class PromoteLearner:
    """A learner that caught up shall get a vote."""

    token: int
    identity: str


@dataclass(frozen=True, kw_only=True)
class RemoveMember:
    """A member shall leave the configuration."""

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
    """The leader put what the token names at this position of its log."""

    token: int
    index: int
    term: int


@dataclass(frozen=True, kw_only=True)
class Refused:
    """Nothing was done for the token; the leader is named when known.

    A refused change of the members says why.
    """

    token: int
    leader: str
    reason: str = ""


@dataclass(frozen=True, kw_only=True)
class ReadConfirmed:
    """Once this index is applied, the read sees all committed before it."""

    token: int
    index: int


Outcome = Accepted | Refused | ReadConfirmed


@dataclass(frozen=True, kw_only=True)
class Actions:
    """What the driver does next, in the order of the fields.

    First everything to keep is written and synced, then ``LogSynced`` goes
    in, then messages go out; at last the snapshot is restored and the
    committed entries are applied.
    """

    hard_state: HardState | None = None
    #: A snapshot to keep, of this replica's own or from the leader.
    snapshot: Snapshot | None = None
    #: Entries to keep; one at an index that exists replaces the rest.
    entries: tuple[Entry, ...] = ()
    messages: tuple[Message, ...] = ()
    #: Set with ``snapshot`` when the state machine takes it over.
    should_restore: bool = False
    committed_entries: tuple[Entry, ...] = ()
    outcomes: tuple[Outcome, ...] = ()

    def must_sync(self) -> bool:
        """Say whether something is to be kept."""
        return bool(self.hard_state or self.snapshot or self.entries)

    def is_empty(self) -> bool:
        """Say whether there is nothing to do."""
        pending = self.messages or self.committed_entries or self.outcomes
        return not pending and not self.must_sync()
