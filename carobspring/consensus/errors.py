"""Errors of the replicated log."""


class ConsensusError(Exception):
    """Base class of the consensus errors."""


class CorruptRecordError(ConsensusError):
    """A stored record differs from what was written.

    No record after it can be trusted, so the replica must not start. Once its
    data directory is emptied, it rejoins under a new identity.

    Args:
        file: The name of the file inside the data directory.
        offset: The byte offset at which the record starts.
        reason: The check that failed.
    """

    def __init__(self, *, file: str, offset: int, reason: str) -> None:
        super().__init__(
            f"{file} is corrupt at byte {offset} ({reason}); "
            "empty the data directory to let this replica rejoin with a new identity"
        )
        self.file = file
        self.offset = offset
        self.reason = reason


class JournalFailedError(ConsensusError):
    """The storage failed: the replica must stop and acknowledge nothing.

    Args:
        reason: The message of the storage error.
    """

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"storage of the log failed, the replica stops: {reason}")
        self.reason = reason


class MembershipChangeRefusedError(ConsensusError):
    """A membership change can't start now.

    Args:
        reason: The condition that does not hold.
    """

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the members can't be changed now: {reason}")
        self.reason = reason
