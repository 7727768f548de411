"""Messages exchanged between replicas."""

from dataclasses import dataclass

from carobspring.consensus.entries import Configuration, Entry


@dataclass(frozen=True, kw_only=True)
class Message:
    """Fields common to all messages: identities, cluster and term."""

    sender: str
    receiver: str
    cluster: str
    term: int


@dataclass(frozen=True, kw_only=True)
class VoteRequest(Message):
    """Requests a vote or, as a pre-vote, asks if it would be granted."""

    last_index: int
    last_term: int
    pre_vote: bool = False
    #: Set if the election is part of a leadership transfer.
    transfer: bool = False


@dataclass(frozen=True, kw_only=True)
class VoteReply(Message):
    """Answers a vote request.

    A granted pre-vote has the term of the request, not that of the sender.
    """

    granted: bool
    pre_vote: bool = False


@dataclass(frozen=True, kw_only=True)
class AppendRequest(Message):
    """Carries log entries of the leader; without entries, a heartbeat."""

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    #: The number of the leader's heartbeat round; the reply echoes it.
    round: int = 0


@dataclass(frozen=True, kw_only=True)
class AppendReply(Message):
    """Reports up to which index the follower's log matches and is synced."""

    accepted: bool
    #: If accepted, the last index known to match; otherwise the index after
    #: which to retry, or -1 if the follower has no cluster yet.
    index: int
    #: The previous index of the request; -1 if rejected for a stale term.
    previous_index: int
    round: int = 0


@dataclass(frozen=True, kw_only=True)
class SnapshotRequest(Message):
    """Carries a chunk of a snapshot to a follower that lags far behind."""

    index: int
    index_term: int
    configuration: Configuration
    offset: int
    data: bytes
    done: bool
    round: int = 0


@dataclass(frozen=True, kw_only=True)
class SnapshotReply(Message):
    """Reports how many bytes of the snapshot at an index have arrived."""

    index: int
    offset: int
    done: bool = False
    round: int = 0


@dataclass(frozen=True, kw_only=True)
class ReadRequest(Message):
    """Asks the leader for a commit index that is safe to read at."""

    token: int


@dataclass(frozen=True, kw_only=True)
class ReadReply(Message):
    """Answers a read request once the leader has confirmed its leadership."""

    token: int
    index: int


@dataclass(frozen=True, kw_only=True)
class TransferRequest(Message):
    """Makes the receiver start an election at once (Raft's TimeoutNow)."""


@dataclass(frozen=True, kw_only=True)
class BootstrapRequest(Message):
    """Sends the initial configuration to a member that has none yet."""

    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class Hello(Message):
    """Introduces a replica when a connection opens, and regularly after that.

    The receiver is empty because its identity is not known yet. An empty
    cluster means that the sender's data directory is empty.
    """

    name: str
    #: Whether the sender was started to bootstrap a cluster.
    founding: bool = False
    #: Whether the sender may replace a lost voter although it has data of the
    #: cluster, from the time when it was a member.
    rejoins: bool = False
    #: Whether the sender is about to stop, so that a spare may take its place.
    leaving: bool = False
