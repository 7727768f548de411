"""Implements the storage port with the files of one directory."""

import contextlib
import fcntl
import os
from pathlib import Path

from carobspring.ports import Storage, StorageError

LOCK_NAME = "lock"
#: Suffix of a file that is written but not yet renamed into place.
TEMPORARY_SUFFIX = ".new"


class DirectoryInUseError(StorageError):
    """Another process has locked the data directory.

    Args:
        path: The data directory.
    """

    def __init__(self, *, path: str) -> None:
        super().__init__(
            path=path, action="lock", reason="another process uses this data directory"
        )


class DiskStorage(Storage):
    """Stores files in a data directory that one process uses at a time.

    The directory is created if it doesn't exist, and locked until ``close``
    or the end of the process.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._descriptors: dict[str, int] = {}
        try:
            directory.mkdir(parents=True, exist_ok=True)
            self._directory_descriptor = os.open(
                directory, os.O_RDONLY | os.O_DIRECTORY
            )
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            self._lock_descriptor = os.open(directory / LOCK_NAME, flags, 0o600)
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise DirectoryInUseError(path=str(directory)) from None
        except OSError as error:
            raise _build_error(str(directory), "open", error) from error
        for path in directory.glob(f"*{TEMPORARY_SUFFIX}"):
            _discard(path)

    def close(self) -> None:
        """Close all files and unlock the directory."""
        self.close_files()
        os.close(self._lock_descriptor)
        os.close(self._directory_descriptor)

    def close_files(self) -> None:
        """Close the open files; the next use opens them again."""
        for name in list(self._descriptors):
            self._close_file(name)

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""
        names = [path.name for path in self._directory.iterdir()]
        return sorted(
            name
            for name in names
            if name != LOCK_NAME and not name.endswith(TEMPORARY_SUFFIX)
        )

    def read(self, name: str) -> bytes:
        """Return a file's whole content."""
        try:
            return (self._directory / name).read_bytes()
        except OSError as error:
            raise _build_error(name, "read", error) from error

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if it does not exist."""
        try:
            _write_all(self._get_descriptor(name), data)
        except OSError as error:
            raise _build_error(name, "append to", error) from error

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        try:
            os.truncate(self._directory / name, size)
        except OSError as error:
            raise _build_error(name, "truncate", error) from error

    def sync(self, name: str) -> None:
        """Flush a file's content to the disk."""
        try:
            os.fsync(self._get_descriptor(name))
        except OSError as error:
            raise _build_error(name, "sync", error) from error

    def write_atomically(self, name: str, data: bytes) -> None:
        """Write and sync a temporary file, rename it, sync the directory."""
        path = self._directory / f"{name}{TEMPORARY_SUFFIX}"
        try:
            descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                _write_all(descriptor, data)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            self._close_file(name)
            os.rename(path, self._directory / name)
        except OSError as error:
            # What was written takes room that the disk may not have.
            _discard(path)
            raise _build_error(name, "write", error) from error
        self.sync_directory()

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self._close_file(name)
        try:
            (self._directory / name).unlink(missing_ok=True)
        except OSError as error:
            raise _build_error(name, "remove", error) from error

    def sync_directory(self) -> None:
        """Flush created, renamed and removed names to the disk."""
        try:
            os.fsync(self._directory_descriptor)
        except OSError as error:
            raise _build_error(str(self._directory), "sync", error) from error

    def _get_descriptor(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            descriptor = self._descriptors[name] = os.open(
                self._directory / name, flags, 0o600
            )
        return descriptor

    def _close_file(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _discard(path: Path) -> None:
    """Remove a temporary file if the disk allows it; nobody reads it."""
    with contextlib.suppress(OSError):
        path.unlink(missing_ok=True)


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def _build_error(path: str, action: str, error: OSError) -> StorageError:
    reason = error.strerror or str(error)
    return StorageError(path=path, action=action, reason=reason)
