"""A follower: takes the leader's entries and watches for its silence."""

from carobspring.consensus.entries import Snapshot
from carobspring.consensus.events import ReadConfirmed
from carobspring.consensus.messages import (
    AppendReply,
    AppendRequest,
    Message,
    ReadReply,
    SnapshotReply,
    SnapshotRequest,
    TransferRequest,
)
from carobspring.consensus.state import ReplicaState, RoleName


class Follower:
    """Follows a leader, or waits for one."""

    name = RoleName.FOLLOWER

    def __init__(self, *, state: ReplicaState, now: float) -> None:
        self._state = state
        self._parts = bytearray()
        self._parts_of = (0, 0)
        #: A snapshot of the leader that has just become complete.
        self.received: Snapshot | None = None
        state.reset_election_timer(now)

    def tick(self, now: float) -> RoleName | None:
        """Stand for election after a long silence."""
        state = self._state
        if now < state.election_deadline:
            return None
        state.leader = ""
        if state.can_become_candidate():
            return RoleName.PRE_CANDIDATE
        state.reset_election_timer(now)
        return None

    def handle(self, message: Message, now: float) -> RoleName | None:
        """Take what the leader of this term says."""
        state = self._state
        if isinstance(message, AppendRequest | SnapshotRequest):
            state.leader = message.sender
            state.leader_heard_at = now
            state.reset_election_timer(now)
            if isinstance(message, AppendRequest):
                self._take_entries(message)
            else:
                self._take_part(message)
        elif isinstance(message, ReadReply):
            confirmed = ReadConfirmed(token=message.token, index=message.index)
            state.outcomes.append(confirmed)
        elif isinstance(message, TransferRequest) and state.can_become_candidate():
            return RoleName.SUCCESSOR
        return None

    def _take_entries(self, request: AppendRequest) -> None:
        log = self._state.log
        if not self._state.cluster:
            # Even the founding configuration is missing here.
            self._reply(request, accepted=False, index=-1)
            return
        previous = request.previous_index
        if previous >= log.first_index - 1:
            if log.find_term(previous) != request.previous_term:
                hint = min(previous - 1, log.last_index)
                self._reply(
                    request, accepted=False, index=max(hint, log.snapshot.index)
                )
                return
        for entry in request.entries:
            if entry.index >= log.first_index:
                if log.find_term(entry.index) != entry.term:
                    log.append(entry)
        matched = previous + len(request.entries)
        matched = max(matched, min(self._state.commit_index, log.last_index))
        self._state.commit_index = max(
            self._state.commit_index, min(request.commit, matched)
        )
        self._reply(request, accepted=True, index=matched)

    def _take_part(self, request: SnapshotRequest) -> None:
        state = self._state
        if state.cluster and state.log.find_term(request.index) == request.index_term:
            # The entries after it may count for a commit: they must stay.
            state.commit_index = max(state.commit_index, request.index)
        done = bool(state.cluster) and request.index <= state.commit_index
        if not done:
            key = (request.index, request.index_term)
            if request.offset == 0 or key != self._parts_of:
                self._parts = bytearray()
                self._parts_of = key
            if request.offset == len(self._parts):
                self._parts += request.data
                done = request.done
                if done:
                    self._take_snapshot(request)
        state.queue_message(
            SnapshotReply(
                sender=state.identity,
                receiver=request.sender,
                cluster=request.cluster,
                term=state.term,
                index=request.index,
                offset=len(self._parts),
                done=done,
                round=request.round,
            )
        )

    def _take_snapshot(self, request: SnapshotRequest) -> None:
        snapshot = Snapshot(
            index=request.index,
            term=request.index_term,
            configuration=request.configuration,
            data=bytes(self._parts),
        )
        self._state.log.restore(snapshot)
        self._state.commit_index = snapshot.index
        self._parts = bytearray()
        self.received = snapshot

    def _reply(self, request: AppendRequest, *, accepted: bool, index: int) -> None:
        state = self._state
        state.queue_message(
            AppendReply(
                sender=state.identity,
                receiver=request.sender,
                cluster=request.cluster,
                term=state.term,
                accepted=accepted,
                index=index,
                previous_index=request.previous_index,
                round=request.round,
            )
        )
