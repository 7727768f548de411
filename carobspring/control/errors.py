"""Errors of the control program."""


class ControlError(Exception):
    """The base class of the control program's errors.

    Args:
        kind: A stable identifier for replies, such as ``no_leader``.
        message: What happened and what to do next.
    """

    def __init__(self, *, kind: str, message: str) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message


class NoLeaderError(ControlError):
    """No replica leads, so nothing can be committed."""

    def __init__(self) -> None:
        super().__init__(
            kind="no_leader",
            message="no control replica leads at present; ask again in a second, "
            "and see `carobctl status` when it lasts",
        )


class NoQuorumError(ControlError):
    """The quorum did not answer in time."""

    def __init__(self) -> None:
        super().__init__(
            kind="no_quorum",
            message="the quorum of control replicas did not answer in time; it is "
            "not known whether this took: send it again with the same identifier",
        )
