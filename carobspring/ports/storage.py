"""The storage port: named files in one directory."""

from abc import ABC, abstractmethod


class StorageError(Exception):
    """A file of the data directory could not be read or written.

    Args:
        path: The name of the file in the data directory.
        action: The operation that failed, as a verb.
        reason: The error of the operating system.
    """

    def __init__(self, *, path: str, action: str, reason: str) -> None:
        super().__init__(f"can't {action} {path}: {reason}")
        self.path = path
        self.action = action
        self.reason = reason


class Storage(ABC):
    """Reads and writes the files of the data directory.

    The content of a file is durable only after ``sync``. The creation,
    renaming or removal of a file is durable only after ``sync_directory``.
    """

    @abstractmethod
    def list_names(self) -> list[str]:
        """Return the names of all files, sorted.

        Files that an atomic write has not put into place are not among them.
        """

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append to a file, and create it if it does not exist."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    @abstractmethod
    def write_atomically(self, name: str, data: bytes) -> None:
        """Replace a file atomically and durably.

        The new content is written to a temporary file that is synced and
        renamed; then the directory is synced.
        """

    @abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    @abstractmethod
    def sync_directory(self) -> None:
        """Make file creations, renamings and removals durable."""
