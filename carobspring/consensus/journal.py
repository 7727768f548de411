"""The write-ahead log and the snapshot in a data folder.

Files: ``identity``, ``snapshot``, and ``log-N`` with N growing. A log file
starts with what it builds on and is put in place as one step; of several, the
last one counts and the others are remains of a crash. Records are added with
one sync for all entries of a batch.
"""

from dataclasses import dataclass

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


@dataclass(frozen=True, kw_only=True)
class LogHeader:
    """The first record of a log file."""

    identity: str
    #: The index of the snapshot that the entries build on.
    base: int


_TYPES: dict[int, type[LogHeader | HardState | Entry]] = {
    1: LogHeader,
    2: HardState,
    3: Entry,
}
_DECODERS = {kind: msgspec.msgpack.Decoder(known) for kind, known in _TYPES.items()}
_KINDS = {known: bytes([kind]) for kind, known in _TYPES.items()}
_encode = msgspec.msgpack.Encoder().encode
_decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


def _encode_record(content: LogHeader | HardState | Entry) -> bytes:
    return frame_record(_KINDS[type(content)] + _encode(content))


class Journal:
    """Keeps what a replica must not forget.

    Opening it reads everything back; ``save`` returns only when what it was
    given lasts. After a failed write nothing more is written: what the disk
    holds then is not known.

    Raises:
        CorruptRecordError: A file is not what was written.
        JournalFailedError: The storage refused a write or a read.
    """

    def __init__(self, *, storage: Storage, random: RandomSource) -> None:
        self._storage = storage
        self._failed = ""
        self.identity = ""
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.entries: tuple[Entry, ...] = ()
        try:
            self._open(random)
        except StorageError as error:
            raise JournalFailedError(reason=str(error)) from error

    def save(self, actions: Actions, tail: tuple[Entry, ...]) -> None:
        """Write and sync what the actions give to keep.

        Args:
            actions: The actions of one batch.
            tail: All entries after the snapshot, for a new log file; used
                only when the actions hold a snapshot.
        """
        if self._failed:
            raise JournalFailedError(reason=self._failed)
        try:
            if actions.hard_state is not None:
                self.hard_state = actions.hard_state
            if actions.snapshot is not None:
                self.snapshot = actions.snapshot
                self._start_log(tail)
            elif actions.must_sync():
                self._append(actions)
        except StorageError as error:
            self._failed = str(error)
            raise JournalFailedError(reason=self._failed) from error

    def _append(self, actions: Actions) -> None:
        records = [_encode_record(entry) for entry in actions.entries]
        if actions.hard_state is not None:
            records.insert(0, _encode_record(actions.hard_state))
        self._storage.append(self._file, b"".join(records))
        self._storage.sync(self._file)

    def _start_log(self, tail: tuple[Entry, ...]) -> None:
        """Put the snapshot in place, then a log file that builds on it."""
        self._storage.write_new(SNAPSHOT_FILE, frame_record(_encode(self.snapshot)))
        old = self._file
        self._number += 1
        self._write_log(tail)
        self._storage.remove(old)
        self._storage.sync_folder()

    def _write_log(self, entries: tuple[Entry, ...]) -> None:
        start = LogHeader(identity=self.identity, base=self.snapshot.index)
        records = [_encode_record(start), _encode_record(self.hard_state)]
        records.extend(_encode_record(entry) for entry in entries)
        self._storage.write_new(self._file, b"".join(records))

    @property
    def _file(self) -> str:
        return f"{LOG_PREFIX}{self._number:016x}"

    def _open(self, random: RandomSource) -> None:
        self._number = 1
        names = self._storage.list_names()
        logs = [name for name in names if name.startswith(LOG_PREFIX)]
        if IDENTITY_FILE not in names:
            # Nothing is promised under an identity before its file is there.
            if SNAPSHOT_FILE in names:
                raise _find_missing(IDENTITY_FILE)
            self.identity = generate_identifier(random)
            for name in logs:
                self._storage.remove(name)
            self._write_log(())
            record = frame_record(self.identity.encode())
            self._storage.write_new(IDENTITY_FILE, record)
            return
        self.identity = self._read_whole(IDENTITY_FILE).decode()
        if not logs:
            raise _find_missing(f"{LOG_PREFIX}*")
        if SNAPSHOT_FILE in names:
            self.snapshot = _decode_snapshot(self._read_whole(SNAPSHOT_FILE))
        self._number = int(logs[-1].removeprefix(LOG_PREFIX), 16)
        self._read_log()
        for name in logs[:-1]:
            self._storage.remove(name)

    def _read_whole(self, file: str) -> bytes:
        stored = self._storage.read(file)
        records = list(split_records(file, stored))
        if len(records) != 1 or records[0].end != len(stored):
            raise CorruptRecordError(file=file, offset=0, reason="cut short")
        return records[0].content

    def _read_log(self) -> None:
        stored = self._storage.read(self._file)
        entries: list[Entry] = []
        end = 0
        for record in split_records(self._file, stored):
            decoder = _DECODERS[record.content[0]]
            content = decoder.decode(memoryview(record.content)[1:])
            if isinstance(content, HardState):
                self.hard_state = content
            elif isinstance(content, Entry):
                self._replay(entries, content, offset=end)
            else:
                self._check_start(content)
            end = record.end
        if end == 0:
            raise CorruptRecordError(file=self._file, offset=0, reason="no start")
        if end < len(stored):
            self._storage.truncate(self._file, end)
            self._storage.sync(self._file)
        self.entries = self._fit_to_snapshot(entries)

    def _replay(self, entries: list[Entry], entry: Entry, *, offset: int) -> None:
        if entries:
            position = entry.index - entries[0].index
            if not 0 <= position <= len(entries):
                raise CorruptRecordError(file=self._file, offset=offset, reason="gap")
            del entries[position:]
        entries.append(entry)

    def _check_start(self, start: LogHeader) -> None:
        if start.identity != self.identity:
            raise CorruptRecordError(file=self._file, offset=0, reason="identity")
        if start.base > self.snapshot.index:
            raise _find_missing(SNAPSHOT_FILE)

    def _fit_to_snapshot(self, entries: list[Entry]) -> tuple[Entry, ...]:
        """Return the entries that go on from the snapshot.

        A crash between a snapshot and its new log file leaves an older log.
        It goes on from the snapshot only when it holds the snapshot's entry.
        """
        snapshot = self.snapshot
        if entries and entries[0].index == snapshot.index + 1:
            return tuple(entries)
        for position, entry in enumerate(entries):
            if entry.index == snapshot.index and entry.term == snapshot.term:
                return tuple(entries[position + 1 :])
        return ()


def _find_missing(file: str) -> CorruptRecordError:
    return CorruptRecordError(file=file, offset=0, reason="the file is missing")
