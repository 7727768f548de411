"""An in-memory log of a single replica, for trials and tests."""

from carobspring.ports import ReplicatedLog, StateMachine


class LocalLog(ReplicatedLog):
    """Applies each command immediately; a restart loses the state."""

    def __init__(self, *, replica_id: str, machine: StateMachine) -> None:
        self._replica_id = replica_id
        self._machine = machine
        self._index = 0

    async def propose(self, command: bytes) -> bytes:
        """Apply a command and return its result."""
        self._index += 1
        return self._machine.apply(self._index, command)

    async def confirm_read(self) -> None:
        """Return immediately: there is no other replica."""

    def find_leader(self) -> str:
        """Return the name of the only replica."""
        return self._replica_id

    def is_leader(self) -> bool:
        """Return True: the only replica leads."""
        return True
