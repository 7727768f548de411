"""A data folder in memory that can crash, lose writes and fill up."""

import random

from carobspring.ports import Storage, StorageError


class Crash(BaseException):
    """The power went: nothing of the replica's process goes on."""


class MemoryStorage(Storage):
    """Keeps synced and unsynced content apart.

    With ``crash_at`` N the Nth write point ends in a crash; every write and
    sync has points before, within and after it.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self.files: dict[str, bytes] = {}
        self._synced: dict[str, bytes] = {}
        self.points = 0
        self.crash_at: int | None = None
        #: Bytes that may still be written, for a disk that fills up.
        self.room: int | None = None
        self.fails_sync = False

    def restart(self) -> None:
        """Lose a random part of what was not synced, as a crash does."""
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
        """Damage a byte of a file."""
        content = bytearray(self.files[name])
        content[offset] ^= 0x10
        self.files[name] = self._synced[name] = bytes(content)

    def list_names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def append(self, name: str, data: bytes) -> None:
        self._pass_point()
        if self.room is not None and len(data) > self.room:
            self.files[name] = self.files.get(name, b"") + data[: self.room]
            self.room = 0
            raise StorageError(path=name, action="append to", reason="disk full")
        if self.room is not None:
            self.room -= len(data)
        self.files[name] = self.files.get(name, b"") + data[: len(data) // 2]
        self._pass_point()
        self.files[name] += data[len(data) // 2 :]
        self._pass_point()

    def truncate(self, name: str, size: int) -> None:
        self._pass_point()
        self.files[name] = self._synced[name] = self.files[name][:size]
        self._pass_point()

    def sync(self, name: str) -> None:
        self._pass_point()
        if self.fails_sync:
            raise StorageError(path=name, action="sync", reason="input/output error")
        self._synced[name] = self.files[name]
        self._pass_point()

    def write_new(self, name: str, data: bytes) -> None:
        self._pass_point()
        if self.room is not None and len(data) > self.room:
            raise StorageError(path=name, action="write", reason="disk full")
        self.files[name] = self._synced[name] = data
        self._pass_point()

    def remove(self, name: str) -> None:
        self._pass_point()
        self.files.pop(name, None)
        self._pass_point()

    def sync_folder(self) -> None:
        self._pass_point()
        for name in set(self._synced) - set(self.files):
            del self._synced[name]
        self._pass_point()

    def _pass_point(self) -> None:
        self.points += 1
        if self.crash_at is not None and self.points >= self.crash_at:
            raise Crash()
