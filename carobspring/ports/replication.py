"""The ports of replication: a log that agrees, and what it is applied to."""

from abc import ABC, abstractmethod


class StateMachine(ABC):
    """State that every replica builds by applying the same commands.

    ``apply`` must depend on nothing but the state and its arguments.
    """

    @abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result.

        The index grows with each command and is the same on every replica.
        """

    @abstractmethod
    def take_snapshot(self) -> bytes:
        """Return the whole state."""

    @abstractmethod
    def restore(self, snapshot: bytes) -> None:
        """Take over the state of a snapshot in place of the present one."""


class ReplicationError(Exception):
    """The root of the errors of replication."""


class NotLeaderError(ReplicationError):
    """Another replica leads, or none is known.

    Args:
        leader: Identifier of the leader, or empty when it is not known.
    """

    def __init__(self, *, leader: str) -> None:
        super().__init__(f"not the leader; the leader is {leader or 'not known'}")
        self.leader = leader


class QuorumLostError(ReplicationError):
    """No quorum answered in time; the command may still be committed.

    Args:
        waited_s: Seconds that were waited.
    """

    def __init__(self, *, waited_s: float) -> None:
        super().__init__(f"no quorum within {waited_s:.1f} s; ask again")
        self.waited_s = waited_s


class ReplicatedLog(ABC):
    """A replica of the log, as the control program uses it."""

    @abstractmethod
    async def propose(self, command: bytes) -> bytes:
        """Commit a command and return what applying it gave.

        Raises:
            NotLeaderError: This replica does not lead.
            QuorumLostError: It is not known whether the command is committed.
        """

    @abstractmethod
    async def confirm_read(self) -> None:
        """Wait until the local state holds all that was committed before.

        Works on every replica; a follower asks the leader for the index.

        Raises:
            NotLeaderError: No leader is known.
            QuorumLostError: The leader could not confirm its reign in time.
        """

    @abstractmethod
    def find_leader(self) -> str:
        """Return the identifier of the leader, or empty when not known."""

    @abstractmethod
    def is_leader(self) -> bool:
        """Say whether this replica leads at present."""
