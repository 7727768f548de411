"""The write-ahead log and the snapshot in a data directory.

The files are ``identity``, ``snapshot`` and ``log-N`` with increasing N. A log
file starts with a header that names the snapshot it builds on, and is created
atomically. If there are several, only the last one is valid; the others are
left over from a crash. The records of a batch are appended with one sync.
"""

import logging
import re
from dataclasses import dataclass
from typing import Final

import msgspec

from carobspring.consensus.bootstrap import generate_identifier
from carobspring.consensus.entries import Entry, HardState, Snapshot
from carobspring.consensus.errors import CorruptRecordError, JournalFailedError
from carobspring.consensus.events import Actions
from carobspring.consensus.records import frame_record, split_records
from carobspring.ports import RandomSource, Storage, StorageError

IDENTITY_FILE = "identity"
SNAPSHOT_FILE = "snapshot"
LOG_PREFIX = "log-"
_LOG_NAME: Final = re.compile(re.escape(LOG_PREFIX) + "[0-9a-f]{16}")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class LogHeader:
    """The first record of a log file."""

    identity: str
    #: The index of the snapshot that the entries follow.
    base: int


_RECORD_TYPES: dict[int, type[LogHeader | HardState | Entry]] = {
    1: LogHeader,
    2: HardState,
    3: Entry,
}
_DECODERS = {
    kind: msgspec.msgpack.Decoder(record_type)
    for kind, record_type in _RECORD_TYPES.items()
}
_KIND_BYTES = {
    record_type: bytes([kind]) for kind, record_type in _RECORD_TYPES.items()
}
_encode = msgspec.msgpack.Encoder().encode
_decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


def _encode_record(content: LogHeader | HardState | Entry) -> bytes:
    return frame_record(_KIND_BYTES[type(content)] + _encode(content))


class Journal:
    """The persistent state of a replica.

    The constructor reads all stored state; ``save`` returns only after its
    input is durable. After a failed write nothing more is written, because
    the contents of the disk are then unknown.

    Raises:
        CorruptRecordError: A file differs from what was written.
        JournalFailedError: The storage failed to write or read.
    """

    def __init__(self, *, storage: Storage, random: RandomSource) -> None:
        self._storage = storage
        self._failure = ""
        self.identity = ""
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.entries: tuple[Entry, ...] = ()
        try:
            self._open(random)
        except StorageError as error:
            raise JournalFailedError(reason=str(error)) from error

    def save(self, actions: Actions, tail: tuple[Entry, ...]) -> None:
        """Write and sync what the actions have to persist.

        Args:
            actions: The actions of one batch.
            tail: All entries after the snapshot, for a new log file; used
                only if the actions have a snapshot.
        """
        if self._failure:
            raise JournalFailedError(reason=self._failure)
        try:
            if actions.hard_state is not None:
                self.hard_state = actions.hard_state
            if actions.snapshot is not None:
                self.snapshot = actions.snapshot
                self._rotate_log(tail)
            elif actions.must_sync():
                self._append(actions)
        except StorageError as error:
            self._failure = str(error)
            raise JournalFailedError(reason=self._failure) from error

    def _append(self, actions: Actions) -> None:
        records = [_encode_record(entry) for entry in actions.entries]
        if actions.hard_state is not None:
            records.insert(0, _encode_record(actions.hard_state))
        self._storage.append(self._log_file, b"".join(records))
        self._storage.sync(self._log_file)

    def _rotate_log(self, tail: tuple[Entry, ...]) -> None:
        """Write the snapshot, then a log file that builds on it."""
        self._storage.write_atomically(
            SNAPSHOT_FILE, frame_record(_encode(self.snapshot))
        )
        old_file = self._log_file
        self._log_number += 1
        self._write_log(tail)
        self._remove_old_files([old_file])

    def _write_log(self, entries: tuple[Entry, ...]) -> None:
        header = LogHeader(identity=self.identity, base=self.snapshot.index)
        records = [_encode_record(header), _encode_record(self.hard_state)]
        records.extend(_encode_record(entry) for entry in entries)
        self._storage.write_atomically(self._log_file, b"".join(records))

    def _remove_old_files(self, names: list[str]) -> None:
        """Remove log files behind which there is a later one.

        The next start removes what a disk refuses to remove now.
        """
        try:
            for name in names:
                self._storage.remove(name)
            self._storage.sync_directory()
        except StorageError as error:
            logger.warning("old log files not removed", extra={"reason": str(error)})

    @property
    def _log_file(self) -> str:
        return f"{LOG_PREFIX}{self._log_number:016x}"

    def _open(self, random: RandomSource) -> None:
        self._log_number = 1
        names = self._storage.list_names()
        logs = [name for name in names if _LOG_NAME.fullmatch(name)]
        if IDENTITY_FILE not in names:
            # Without an identity file nothing was acknowledged yet, so log
            # files are left over from an interrupted first start.
            if SNAPSHOT_FILE in names:
                raise _build_missing_file_error(IDENTITY_FILE)
            self.identity = generate_identifier(random)
            for name in logs:
                self._storage.remove(name)
            self._write_log(())
            record = frame_record(self.identity.encode())
            self._storage.write_atomically(IDENTITY_FILE, record)
            return
        self.identity = self._read_single_record(IDENTITY_FILE).decode()
        if not logs:
            raise _build_missing_file_error(f"{LOG_PREFIX}*")
        if SNAPSHOT_FILE in names:
            self.snapshot = _decode_snapshot(self._read_single_record(SNAPSHOT_FILE))
        self._log_number = int(logs[-1].removeprefix(LOG_PREFIX), 16)
        self._read_log()
        # What was read counts as durable from here on, but the writer may have
        # ended or failed before it had synced the file or its name.
        self._storage.sync(self._log_file)
        self._storage.sync_directory()
        if len(logs) > 1:
            self._remove_old_files(logs[:-1])

    def _read_single_record(self, file: str) -> bytes:
        stored = self._storage.read(file)
        records = list(split_records(file, stored))
        if len(records) != 1 or records[0].end != len(stored):
            raise CorruptRecordError(file=file, offset=0, reason="truncated")
        return records[0].content

    def _read_log(self) -> None:
        stored = self._storage.read(self._log_file)
        entries: list[Entry] = []
        end = 0
        for record in split_records(self._log_file, stored):
            content = self._decode_record(record.content, offset=end)
            if isinstance(content, HardState):
                self.hard_state = content
            elif isinstance(content, Entry):
                self._replay(entries, content, offset=end)
            else:
                self._check_header(content)
            end = record.end
        if end == 0:
            raise CorruptRecordError(file=self._log_file, offset=0, reason="no header")
        if end < len(stored):
            self._storage.truncate(self._log_file, end)
        self.entries = self._select_entries_after_snapshot(entries)

    def _decode_record(
        self, content: bytes, *, offset: int
    ) -> LogHeader | HardState | Entry:
        try:
            decoder = _DECODERS[content[0]]
            return decoder.decode(memoryview(content)[1:])
        except (msgspec.MsgspecError, LookupError) as error:
            raise CorruptRecordError(
                file=self._log_file, offset=offset, reason=str(error)
            ) from error

    def _replay(self, entries: list[Entry], entry: Entry, *, offset: int) -> None:
        if entries:
            position = entry.index - entries[0].index
            if not 0 <= position <= len(entries):
                raise CorruptRecordError(
                    file=self._log_file, offset=offset, reason="gap"
                )
            del entries[position:]
        entries.append(entry)

    def _check_header(self, header: LogHeader) -> None:
        if header.identity != self.identity:
            raise CorruptRecordError(file=self._log_file, offset=0, reason="identity")
        if header.base > self.snapshot.index:
            raise _build_missing_file_error(SNAPSHOT_FILE)

    def _select_entries_after_snapshot(self, entries: list[Entry]) -> tuple[Entry, ...]:
        """Return the entries that follow the snapshot.

        A crash between writing a snapshot and its new log file leaves an older
        log file. Its entries follow the snapshot only if it has the entry at
        the snapshot's index and term.
        """
        snapshot = self.snapshot
        if entries and entries[0].index == snapshot.index + 1:
            return tuple(entries)
        for position, entry in enumerate(entries):
            if entry.index == snapshot.index and entry.term == snapshot.term:
                return tuple(entries[position + 1 :])
        return ()


def _build_missing_file_error(file: str) -> CorruptRecordError:
    return CorruptRecordError(file=file, offset=0, reason="the file is missing")
