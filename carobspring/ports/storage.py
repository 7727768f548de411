"""The storage port: named files in one folder that last once synced."""

from abc import ABC, abstractmethod


class StorageError(Exception):
    """A file of the data folder could not be read or written.

    Args:
        path: The name of the file inside the data folder.
        action: What was tried, as a verb.
        reason: What the operating system said.
    """

    def __init__(self, *, path: str, action: str, reason: str) -> None:
        super().__init__(f"can't {action} {path}: {reason}")
        self.path = path
        self.action = action
        self.reason = reason


class Storage(ABC):
    """Reads and writes files of the data folder.

    Consensus calls it. A write has happened only after ``sync`` of the file;
    a file's creation, renaming or removal only after ``sync_directory``.
    """

    @abstractmethod
    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Return a file's whole content."""

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file, creating it when it does not exist."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Make a file's content last."""

    @abstractmethod
    def write_atomically(self, name: str, data: bytes) -> None:
        """Write, sync and rename a file into place as one step, and sync."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file; nothing happens when it does not exist."""

    @abstractmethod
    def sync_directory(self) -> None:
        """Make creations, renamings and removals last."""
