"""Linearizable reads, by the ReadIndex procedure of Raft."""

from dataclasses import dataclass

from carobspring.consensus.events import ReadConfirmed
from carobspring.consensus.lease import Lease
from carobspring.consensus.messages import ReadReply
from carobspring.consensus.state import ReplicaState


@dataclass(frozen=True, kw_only=True)
class PendingRead:
    """A read that waits for the replies to a heartbeat round."""

    token: int
    #: The identity of the replica that requested the read.
    reader: str
    index: int
    round: int


class ReadQueue:
    """The reads that the leader has to confirm.

    A read gets the commit index at the start of the first heartbeat round
    after its request, and is confirmed once a quorum has replied to that
    round, so it depends on no clock. Reads wait until an entry of the leader's
    own term is committed, because its commit index may lag before.
    """

    def __init__(self, *, state: ReplicaState, lease: Lease) -> None:
        self._state = state
        self._lease = lease
        self._requested: list[tuple[int, str]] = []
        self._pending: list[PendingRead] = []

    def add(self, *, token: int, reader: str) -> None:
        """Queue a read for the next heartbeat round."""
        self._requested.append((token, reader))

    def needs_round(self) -> bool:
        """Return whether reads wait for a new heartbeat round."""
        return bool(self._requested) and self._has_committed_own_term()

    def start_round(self, number: int) -> None:
        """Assign the reads requested so far to the round that starts now."""
        if not self._has_committed_own_term():
            return
        for token, reader in self._requested:
            pending = PendingRead(
                token=token, reader=reader, index=self._state.commit_index, round=number
            )
            self._pending.append(pending)
        self._requested.clear()

    def confirm_ready(self) -> None:
        """Confirm the reads whose round a quorum has replied to."""
        ready = [r for r in self._pending if r.round <= self._lease.confirmed_round]
        if not ready:
            return
        self._pending = self._pending[len(ready) :]
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

    def _has_committed_own_term(self) -> bool:
        return self._state.log.find_term(self._state.commit_index) == self._state.term
