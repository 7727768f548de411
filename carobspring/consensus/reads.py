"""Reads that see all that was committed before them."""

from dataclasses import dataclass

from carobspring.consensus.events import ReadConfirmed
from carobspring.consensus.lease import Lease
from carobspring.consensus.messages import ReadReply
from carobspring.consensus.state import ReplicaState


@dataclass(frozen=True, kw_only=True)
class PendingRead:
    """A read that waits for a round of heartbeats begun after it."""

    token: int
    #: Identity of the replica that asked.
    reader: str
    index: int
    round: int


class ReadQueue:
    """The reads that the leader has to confirm.

    A read gets the commit index of the moment it was taken up, and an answer
    once a quorum has answered a round of heartbeats begun afterwards. So it
    depends on no clock. Before an entry of the leader's own term is
    committed, its commit index may lag, and reads wait.
    """

    def __init__(self, *, state: ReplicaState, lease: Lease) -> None:
        self._state = state
        self._lease = lease
        self._asked: list[tuple[int, str]] = []
        self._waiting: list[PendingRead] = []

    def add(self, *, token: int, reader: str) -> None:
        """Take up a read."""
        self._asked.append((token, reader))

    def needs_round(self) -> bool:
        """Say whether a read waits for a round that hasn't begun."""
        return bool(self._asked) and self._knows_commit()

    def start_round(self, number: int) -> None:
        """Tie the reads taken up so far to the round that begins now."""
        if not self._knows_commit():
            return
        for token, reader in self._asked:
            waiting = PendingRead(
                token=token, reader=reader, index=self._state.commit_index, round=number
            )
            self._waiting.append(waiting)
        self._asked.clear()

    def answer(self) -> None:
        """Answer the reads whose round a quorum has answered."""
        ready = [r for r in self._waiting if r.round <= self._lease.confirmed_round]
        if not ready:
            return
        self._waiting = self._waiting[len(ready) :]
        for read in ready:
            self._confirm(read)

    def _confirm(self, read: PendingRead) -> None:
        state = self._state
        if read.reader == state.identity:
            state.outcomes.append(ReadConfirmed(token=read.token, index=read.index))
            return
        state.queue_message(
            ReadReply(
                sender=state.identity,
                receiver=read.reader,
                cluster=state.cluster,
                term=state.term,
                token=read.token,
                index=read.index,
            )
        )

    def _knows_commit(self) -> bool:
        return self._state.log.find_term(self._state.commit_index) == self._state.term
