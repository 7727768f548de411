"""The ports of replication: the log and the state machine."""

from abc import ABC, abstractmethod


class StateMachine(ABC):
    """A state machine that each replica runs on the same commands.

    ``apply`` must be deterministic: its result may depend only on the state
    and the arguments.
    """

    @abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result.

        The index increases with each command and is equal on all replicas.
        """

    @abstractmethod
    def take_snapshot(self) -> bytes:
        """Return a snapshot of the complete state."""

    @abstractmethod
    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of a snapshot."""


class ReplicationError(Exception):
    """The base class of the errors of replication."""


class NotLeaderError(ReplicationError):
    """This replica is not the leader.

    Args:
        leader: Identifier of the leader, or empty if it is unknown.
    """

    def __init__(self, *, leader: str) -> None:
        # The admin API sends this message in a 503 response: keep the text.
        super().__init__(f"not the leader; the leader is {leader or 'not known'}")
        self.leader = leader


class QuorumLostError(ReplicationError):
    """No quorum responded in time; the command may still be committed.

    Args:
        waited_s: Seconds until the timeout.
    """

    def __init__(self, *, waited_s: float) -> None:
        # The admin API sends this message in a 503 response: keep the text.
        super().__init__(f"no quorum within {waited_s:.1f} s; ask again")
        self.waited_s = waited_s


class ReplicatedLog(ABC):
    """The local replica of a replicated log."""

    @abstractmethod
    async def propose(self, command: bytes) -> bytes:
        """Commit a command and return the result of applying it.

        Raises:
            NotLeaderError: This replica is not the leader.
            QuorumLostError: It is unknown whether the command is committed.
        """

    @abstractmethod
    async def confirm_read(self) -> None:
        """Wait until the local state includes all earlier commits.

        A read of the local state is linearizable afterwards. A follower
        requests the commit index from the leader.

        Raises:
            NotLeaderError: No leader is known.
            QuorumLostError: The leader could not confirm its leadership in
                time.
        """

    @abstractmethod
    def find_leader(self) -> str:
        """Return the identifier of the leader, or empty if it is unknown."""

    @abstractmethod
    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""
