import unittest

from carobspring.consensus import (
    Actions,
    Configuration,
    CorruptRecordError,
    Entry,
    HardState,
    Journal,
    JournalFailedError,
    Member,
    Snapshot,
)
from carobspring.consensus.records import frame_record, split_records
from tests.consensus.simulation import SeededRandom
from tests.consensus.storage import MemoryStorage

RANDOM = SeededRandom("journal")
MEMBERS = Configuration(cluster="c", members=(Member(identity="i", name="a"),))


def make_entries(first: int, last: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(
        Entry(index=index, term=term, data=b"data") for index in range(first, last + 1)
    )


def open_journal(storage: MemoryStorage) -> Journal:
    return Journal(storage=storage, random=RANDOM)


class JournalTest(unittest.TestCase):
    def test_reads_back_what_was_saved(self) -> None:
        """Term, vote, snapshot and entries are the same after a restart."""
        state = HardState(term=3, vote="i")
        snapshot = Snapshot(index=4, term=1, configuration=MEMBERS, data=b"state")
        cases = [
            ("nothing", [], HardState(), Snapshot(), ()),
            ("vote", [Actions(hard_state=state)], state, Snapshot(), ()),
            (
                "entries",
                [Actions(entries=make_entries(1, 3)), Actions(hard_state=state)],
                state,
                Snapshot(),
                make_entries(1, 3),
            ),
            (
                "replaced entries",
                [
                    Actions(entries=make_entries(1, 5)),
                    Actions(entries=make_entries(3, 4, term=2)),
                ],
                HardState(),
                Snapshot(),
                make_entries(1, 2) + make_entries(3, 4, term=2),
            ),
            (
                "snapshot",
                [
                    Actions(hard_state=state, entries=make_entries(1, 6)),
                    Actions(snapshot=snapshot),
                    Actions(entries=make_entries(7, 8)),
                ],
                state,
                snapshot,
                make_entries(5, 8),
            ),
        ]
        for name, batches, hard_state, kept, entries in cases:
            with self.subTest(name=name):
                storage = MemoryStorage()
                journal = open_journal(storage)
                for actions in batches:
                    journal.save(actions, make_entries(5, 6))
                storage.restart()
                again = open_journal(storage)
                self.assertEqual(again.identity, journal.identity)
                self.assertEqual(again.hard_state, hard_state)
                self.assertEqual(again.snapshot, kept)
                self.assertEqual(again.entries, entries)

    def test_torn_tail(self) -> None:
        """A torn last record is dropped, and later writes replace it."""
        storage = MemoryStorage()
        journal = open_journal(storage)
        journal.save(Actions(entries=make_entries(1, 2)), ())
        name = storage.list_names()[-1]
        whole = len(storage.files[name])
        journal.save(Actions(entries=make_entries(3, 3)), ())
        content = storage.files[name]
        for size in range(whole, len(content)):
            for zeros in (0, 100):
                with self.subTest(size=size, zeros=zeros):
                    torn = content[:size] + bytes(zeros)
                    if 0 < size - whole < 12 and zeros:
                        continue  # A partly zeroed header may be corrupt.
                    storage.files[name] = torn
                    again = open_journal(storage)
                    self.assertEqual(again.entries, make_entries(1, 2))
                    again.save(Actions(entries=make_entries(3, 4)), ())
                    last = open_journal(storage)
                    self.assertEqual(last.entries, make_entries(1, 4))

    def test_missing_files(self) -> None:
        """A data directory without a file is rejected, not treated as new."""
        for missing in ("identity", "log-0000000000000002", "snapshot"):
            with self.subTest(missing=missing):
                storage = MemoryStorage()
                journal = open_journal(storage)
                journal.save(Actions(entries=make_entries(1, 6)), ())
                snapshot = Snapshot(index=4, term=1, configuration=MEMBERS)
                journal.save(Actions(snapshot=snapshot), make_entries(5, 6))
                del storage.files[missing]
                with self.assertRaisesRegex(CorruptRecordError, "missing"):
                    open_journal(storage)

    def test_writes_nothing_after_a_failure(self) -> None:
        """After a failed write, every later write is rejected."""
        storage = MemoryStorage()
        journal = open_journal(storage)
        storage.free_bytes = 5
        for _ in range(2):
            with self.assertRaisesRegex(JournalFailedError, "disk full"):
                journal.save(Actions(entries=make_entries(1, 2)), ())
            storage.free_bytes = None
        self.assertEqual(open_journal(storage).entries, ())

    def test_one_sync_for_a_batch(self) -> None:
        """All entries of a batch share one write and one sync."""
        storage = MemoryStorage()
        journal = open_journal(storage)
        before = storage.points
        journal.save(
            Actions(hard_state=HardState(term=1), entries=make_entries(1, 100)), ()
        )
        self.assertEqual(storage.points - before, 5)

    def test_record_that_cannot_be_decoded(self) -> None:
        """A record of no known kind, or of another form, is named."""
        for name, content in (
            ("kind", b"\x63\x80"),
            ("empty", b""),
            ("form", b"\x03\x81\xa5index\xa1x"),
        ):
            with self.subTest(name):
                storage = MemoryStorage()
                open_journal(storage)
                file = next(n for n in storage.list_names() if n.startswith("log-"))
                offset = len(storage.read(file))
                storage.append(file, frame_record(content))
                with self.assertRaises(CorruptRecordError) as caught:
                    open_journal(storage)
                self.assertEqual(caught.exception.file, file)
                self.assertEqual(caught.exception.offset, offset)


class RecordsTest(unittest.TestCase):
    def test_corruption_is_located(self) -> None:
        """The error has the file and offset of the first corrupt record."""
        stored = frame_record(b"one") + frame_record(b"two") + frame_record(b"three")
        second = len(frame_record(b"one"))
        for offset in range(second, 2 * second):
            with self.subTest(offset=offset):
                corrupt = bytearray(stored)
                corrupt[offset] ^= 1
                with self.assertRaises(CorruptRecordError) as caught:
                    list(split_records("log", bytes(corrupt)))
                self.assertEqual(caught.exception.file, "log")
                self.assertEqual(caught.exception.offset, second)
