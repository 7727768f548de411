"""The replicated log: Raft without input or output of its own."""

from carobspring.consensus.codec import decode_message, encode_message
from carobspring.consensus.driver import SNAPSHOT_EVERY, Driver, Outlet
from carobspring.consensus.entries import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Member,
    Snapshot,
)
from carobspring.consensus.errors import (
    ChangeRefusedError,
    ConsensusError,
    DamagedRecordError,
    JournalFailedError,
)
from carobspring.consensus.events import (
    Accepted,
    Actions,
    CommandProposed,
    Event,
    LearnerAdded,
    LearnerPromoted,
    LogSynced,
    MemberRemoved,
    MessageReceived,
    Outcome,
    ReadAsked,
    ReadConfirmed,
    Refused,
    SnapshotTaken,
    TimePassed,
    TransferAsked,
)
from carobspring.consensus.journal import IDENTITY_FILE, Journal
from carobspring.consensus.messages import Message
from carobspring.consensus.node import KEPT_ENTRIES, Node
from carobspring.consensus.records import frame_record, split_records
from carobspring.consensus.state import RoleName, Timing

__all__ = [
    "Accepted",
    "Actions",
    "ChangeRefusedError",
    "CommandProposed",
    "Configuration",
    "ConsensusError",
    "DamagedRecordError",
    "Driver",
    "Entry",
    "EntryKind",
    "Event",
    "HardState",
    "IDENTITY_FILE",
    "Journal",
    "JournalFailedError",
    "KEPT_ENTRIES",
    "LearnerAdded",
    "LearnerPromoted",
    "LogSynced",
    "Member",
    "MemberRemoved",
    "Message",
    "MessageReceived",
    "Node",
    "Outcome",
    "Outlet",
    "ReadAsked",
    "ReadConfirmed",
    "Refused",
    "RoleName",
    "SNAPSHOT_EVERY",
    "Snapshot",
    "SnapshotTaken",
    "TimePassed",
    "Timing",
    "TransferAsked",
    "decode_message",
    "encode_message",
    "frame_record",
    "split_records",
]
