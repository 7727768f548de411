"""The storage port on the files of one folder."""

import fcntl
import os
from pathlib import Path

from carobspring.ports import Storage, StorageError

LOCK_NAME = "lock"
NEW_SUFFIX = ".new"


class FolderInUseError(StorageError):
    """Another process holds the data folder.

    Args:
        path: The data folder.
    """

    def __init__(self, *, path: str) -> None:
        super().__init__(
            path=path, action="lock", reason="another process uses this data folder"
        )


class DiskStorage(Storage):
    """Files in a data folder that one process uses at a time.

    The folder is created when it doesn't exist, and locked until ``close`` or
    the end of the process.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._open: dict[str, int] = {}
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._folder_file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            self._lock = os.open(folder / LOCK_NAME, flags, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise FolderInUseError(path=str(folder)) from None
        except OSError as error:
            raise _describe(str(folder), "open", error) from error
        for path in folder.glob(f"*{NEW_SUFFIX}"):
            path.unlink()

    def close(self) -> None:
        """Give the folder free."""
        self.close_files()
        os.close(self._lock)
        os.close(self._folder_file)

    def close_files(self) -> None:
        """Close the files, so that the next use opens them anew."""
        for name in list(self._open):
            self._close_file(name)

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""
        names = [path.name for path in self._folder.iterdir()]
        return sorted(name for name in names if name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Return a file's whole content."""
        try:
            return (self._folder / name).read_bytes()
        except OSError as error:
            raise _describe(name, "read", error) from error

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file, creating it when it does not exist."""
        try:
            _write_all(self._find_file(name), data)
        except OSError as error:
            raise _describe(name, "append to", error) from error

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        try:
            os.truncate(self._folder / name, size)
        except OSError as error:
            raise _describe(name, "truncate", error) from error

    def sync(self, name: str) -> None:
        """Make a file's content last."""
        try:
            os.fsync(self._find_file(name))
        except OSError as error:
            raise _describe(name, "sync", error) from error

    def write_atomically(self, name: str, data: bytes) -> None:
        """Write, sync and rename a file into place as one step, and sync."""
        path = self._folder / f"{name}{NEW_SUFFIX}"
        try:
            file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                _write_all(file, data)
                os.fsync(file)
            finally:
                os.close(file)
            self._close_file(name)
            os.rename(path, self._folder / name)
        except OSError as error:
            raise _describe(name, "write", error) from error
        self.sync_directory()

    def remove(self, name: str) -> None:
        """Remove a file; nothing happens when it does not exist."""
        self._close_file(name)
        try:
            (self._folder / name).unlink(missing_ok=True)
        except OSError as error:
            raise _describe(name, "remove", error) from error

    def sync_directory(self) -> None:
        """Make creations, renamings and removals last."""
        try:
            os.fsync(self._folder_file)
        except OSError as error:
            raise _describe(str(self._folder), "sync", error) from error

    def _find_file(self, name: str) -> int:
        file = self._open.get(name)
        if file is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            file = self._open[name] = os.open(self._folder / name, flags, 0o600)
        return file

    def _close_file(self, name: str) -> None:
        file = self._open.pop(name, None)
        if file is not None:
            os.close(file)


def _write_all(file: int, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(file, rest) :]


def _describe(path: str, action: str, error: OSError) -> StorageError:
    reason = error.strerror or str(error)
    return StorageError(path=path, action=action, reason=reason)
