"""Raft consensus for the replicated log, without I/O of its own."""

from carobspring.consensus.codec import decode_message, encode_message
from carobspring.consensus.driver import SNAPSHOT_EVERY, Driver, OutputHandler
from carobspring.consensus.entries import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Member,
    Snapshot,
)
from carobspring.consensus.errors import (
    ConsensusError,
    CorruptRecordError,
    JournalFailedError,
    MembershipChangeRefusedError,
)
from carobspring.consensus.events import (
    Accepted,
    Actions,
    AddLearner,
    CommandProposed,
    ConfirmRead,
    Event,
    LogSynced,
    MessageReceived,
    Outcome,
    PromoteLearner,
    ReadConfirmed,
    Refused,
    RemoveMember,
    SnapshotTaken,
    Tick,
    TransferLeadership,
)
from carobspring.consensus.journal import IDENTITY_FILE, Journal
from carobspring.consensus.messages import Message
from carobspring.consensus.node import KEPT_ENTRIES, Node
from carobspring.consensus.records import frame_record, split_records
from carobspring.consensus.state import RoleName, Timing

__all__ = [
    "Actions",
    "AddLearner",
    "CommandProposed",
    "Configuration",
    "ConfirmRead",
    "ConsensusError",
    "CorruptRecordError",
    "Driver",
    "Entry",
    "EntryKind",
    "Event",
    "HardState",
    "IDENTITY_FILE",
    "Journal",
    "JournalFailedError",
    "KEPT_ENTRIES",
    "LogSynced",
    "Member",
    "MembershipChangeRefusedError",
    "Message",
    "MessageReceived",
    "Node",
    "Outcome",
    "OutputHandler",
    "PromoteLearner",
    "ReadConfirmed",
    "Refused",
    "RemoveMember",
    "RoleName",
    "SNAPSHOT_EVERY",
    "Snapshot",
    "SnapshotTaken",
    "Tick",
    "Timing",
    "TransferLeadership",
    "decode_message",
    "encode_message",
    "frame_record",
    "split_records",
    "Accepted",
]
