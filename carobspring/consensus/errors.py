"""Errors of the replicated log."""


class ConsensusError(Exception):
    """The root of the errors of consensus."""


class CorruptRecordError(ConsensusError):
    """A stored record is not what was written, so nothing after it counts.

    The replica must not start: empty its data folder and start it again, and
    it joins under a new identity.

    Args:
        file: The name of the file inside the data folder.
        offset: Where the record starts, in bytes.
        reason: What does not fit.
    """

    def __init__(self, *, file: str, offset: int, reason: str) -> None:
        super().__init__(
            f"{file} is damaged at byte {offset} ({reason}); "
            "empty the data folder to let this replica rejoin as a new one"
        )
        self.file = file
        self.offset = offset
        self.reason = reason


class JournalFailedError(ConsensusError):
    """A write did not last, so the replica must stop and acknowledge nothing.

    Args:
        reason: What the storage said.
    """

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the log can't be written, the replica stops: {reason}")
        self.reason = reason


class MembershipChangeRefusedError(ConsensusError):
    """A change of the members may not start now.

    Args:
        reason: Which condition does not hold yet.
    """

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the members can't be changed now: {reason}")
        self.reason = reason
