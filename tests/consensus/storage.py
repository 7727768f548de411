"""In-memory storage that simulates crashes, lost writes and full disks."""

import random

from carobspring.ports import Storage, StorageError


class Crash(BaseException):
    """A power failure: the replica's process ends at once.

    It derives from BaseException so that no handler for errors catches it.
    """


TEMPORARY_SUFFIX = ".new"


class MemoryStorage(Storage):
    """Storage that tracks synced and unsynced content separately.

    With ``crash_at`` set to N, the Nth write point raises a crash; with
    ``refuse_from``, the disk refuses from the Nth one on, as when it is full.
    There are write points before and after every write and sync, and within
    an append and an atomic write.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self.files: dict[str, bytes] = {}
        self._synced: dict[str, bytes] = {}
        self.points = 0
        self.crash_at: int | None = None
        self.refuse_from: int | None = None
        #: The bytes that can be written before the disk is full, or None.
        self.free_bytes: int | None = None
        self.fails_sync = False

    def restart(self) -> None:
        """Lose a random part of the unsynced content, as in a crash."""
        survived = dict(self._synced)
        for name, content in self.files.items():
            synced = self._synced.get(name)
            if synced is None:
                if self._random.random() < 0.5:
                    survived[name] = content[: self._random.randint(0, len(content))]
            elif content.startswith(synced):
                survived[name] = content[
                    : self._random.randint(len(synced), len(content))
                ]
        self.files = survived
        self._synced = dict(survived)
        self.crash_at = None

    def flip_bit(self, name: str, offset: int) -> None:
        """Flip a bit of the byte at an offset of a file."""
        content = bytearray(self.files[name])
        content[offset] ^= 0x10
        self.files[name] = self._synced[name] = bytes(content)

    def list_names(self) -> list[str]:
        names = (name for name in self.files if not name.endswith(TEMPORARY_SUFFIX))
        return sorted(names)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def append(self, name: str, data: bytes) -> None:
        self._reach_write_point()
        if self.free_bytes is not None and len(data) > self.free_bytes:
            self.files[name] = self.files.get(name, b"") + data[: self.free_bytes]
            self.free_bytes = 0
            raise StorageError(path=name, action="append to", reason="disk full")
        if self.free_bytes is not None:
            self.free_bytes -= len(data)
        self.files[name] = self.files.get(name, b"") + data[: len(data) // 2]
        self._reach_write_point()
        self.files[name] += data[len(data) // 2 :]
        self._reach_write_point()

    def truncate(self, name: str, size: int) -> None:
        self._reach_write_point()
        self.files[name] = self._synced[name] = self.files[name][:size]
        self._reach_write_point()

    def sync(self, name: str) -> None:
        self._reach_write_point()
        if self.fails_sync:
            raise StorageError(path=name, action="sync", reason="input/output error")
        self._synced[name] = self.files[name]
        self._reach_write_point()

    def write_atomically(self, name: str, data: bytes) -> None:
        self._reach_write_point()
        if self.free_bytes is not None and len(data) > self.free_bytes:
            raise StorageError(path=name, action="write", reason="disk full")
        # The temporary file of a write that fails stays behind.
        temporary = name + TEMPORARY_SUFFIX
        self.files[temporary] = data[: len(data) // 2]
        self._reach_write_point()
        del self.files[temporary]
        self.files[name] = self._synced[name] = data
        self._reach_write_point()

    def remove(self, name: str) -> None:
        self._reach_write_point()
        self.files.pop(name, None)
        self._reach_write_point()

    def sync_directory(self) -> None:
        self._reach_write_point()
        for name in set(self._synced) - set(self.files):
            del self._synced[name]
        self._reach_write_point()

    def _reach_write_point(self) -> None:
        self.points += 1
        if self.crash_at is not None and self.points >= self.crash_at:
            raise Crash()
        if self.refuse_from is not None and self.points >= self.refuse_from:
            raise StorageError(path="", action="write", reason="disk full")
