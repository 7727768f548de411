"""Messages between replicas."""

from dataclasses import dataclass

from carobspring.consensus.entries import Configuration, Entry


@dataclass(frozen=True, kw_only=True)
class Message:
    """What every message carries: identities, cluster and term."""

    sender: str
    receiver: str
    cluster: str
    term: int


@dataclass(frozen=True, kw_only=True)
class VoteRequest(Message):
    """Asks for a vote, or whether there would be one (pre-vote)."""

    last_index: int
    last_term: int
    pre_vote: bool = False
    #: Set when the leader itself asked for the election.
    transfer: bool = False


@dataclass(frozen=True, kw_only=True)
class VoteReply(Message):
    """Answers a vote request; a granted pre-vote echoes the asked term."""

    granted: bool
    pre_vote: bool = False


@dataclass(frozen=True, kw_only=True)
class AppendRequest(Message):
    """Carries entries of the leader; without any it is a heartbeat."""

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    #: Number of the leader's round of heartbeats, echoed by the reply.
    round: int = 0


@dataclass(frozen=True, kw_only=True)
class AppendReply(Message):
    """Says up to where the follower's log is synced and equal."""

    accepted: bool
    #: When accepted, the last index known to be equal; else where to try.
    index: int
    #: The previous index of the request that is answered.
    previous_index: int
    round: int = 0


@dataclass(frozen=True, kw_only=True)
class SnapshotRequest(Message):
    """Carries a part of a snapshot to a follower that lags far behind."""

    index: int
    index_term: int
    configuration: Configuration
    offset: int
    data: bytes
    done: bool
    round: int = 0


@dataclass(frozen=True, kw_only=True)
class SnapshotReply(Message):
    """Says how many bytes of the snapshot at an index have arrived."""

    index: int
    offset: int
    done: bool = False
    round: int = 0


@dataclass(frozen=True, kw_only=True)
class ReadRequest(Message):
    """Asks the leader for an index that covers all that is committed."""

    token: int


@dataclass(frozen=True, kw_only=True)
class ReadReply(Message):
    """Answers a read request, once the leader's reign is confirmed."""

    token: int
    index: int


@dataclass(frozen=True, kw_only=True)
class TransferRequest(Message):
    """Makes the receiver stand for election at once."""


@dataclass(frozen=True, kw_only=True)
class BootstrapRequest(Message):
    """Brings the founding configuration to a member that has none yet."""

    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class Hello(Message):
    """Introduces a replica when a connection opens.

    The receiver is empty, since its identity is not known yet. An empty
    cluster says that the sender's data folder holds nothing.
    """

    name: str
    #: The sender was started to found a cluster.
    founding: bool = False
