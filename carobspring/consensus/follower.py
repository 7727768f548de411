"""The follower role: replicates the leader's log and detects its loss."""

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
    """Follows the leader of the term, if there is one."""

    name = RoleName.FOLLOWER

    def __init__(self, *, state: ReplicaState, now: float) -> None:
        self._state = state
        self._snapshot_data = bytearray()
        self._snapshot_key = (0, 0)
        #: A snapshot from the leader whose last chunk has just arrived.
        self.received_snapshot: Snapshot | None = None
        state.reset_election_timer(now)

    def tick(self, now: float) -> RoleName | None:
        """Return the next role when the election timer expires."""
        state = self._state
        if now < state.election_deadline:
            return None
        state.leader = ""
        if state.can_become_candidate():
            return RoleName.PRE_CANDIDATE
        state.reset_election_timer(now)
        return None

    def handle(self, message: Message, now: float) -> RoleName | None:
        """Handle a message of the current term."""
        state = self._state
        if isinstance(message, AppendRequest | SnapshotRequest):
            state.leader = message.sender
            state.leader_heard_at = now
            state.reset_election_timer(now)
            if isinstance(message, AppendRequest):
                state.known_commit_index = max(state.known_commit_index, message.commit)
                self._handle_append(message)
            else:
                self._handle_snapshot_chunk(message)
        elif isinstance(message, ReadReply):
            confirmed = ReadConfirmed(token=message.token, index=message.index)
            state.outcomes.append(confirmed)
        elif isinstance(message, TransferRequest) and state.can_become_candidate():
            return RoleName.SUCCESSOR
        return None

    def _handle_append(self, request: AppendRequest) -> None:
        log = self._state.log
        if not self._state.cluster:
            # This replica does not have the initial configuration yet.
            self._send_append_reply(request, accepted=False, index=-1)
            return
        previous = request.previous_index
        if previous >= log.first_index - 1:
            if log.find_term(previous) != request.previous_term:
                hint = min(previous - 1, log.last_index)
                self._send_append_reply(
                    request, accepted=False, index=max(hint, log.snapshot.index)
                )
                return
        for entry in request.entries:
            if entry.index >= log.first_index:
                if log.find_term(entry.index) != entry.term:
                    log.append(entry)
        match_index = previous + len(request.entries)
        match_index = max(match_index, min(self._state.commit_index, log.last_index))
        self._state.commit_index = max(
            self._state.commit_index, min(request.commit, match_index)
        )
        self._send_append_reply(request, accepted=True, index=match_index)

    def _handle_snapshot_chunk(self, request: SnapshotRequest) -> None:
        state = self._state
        if state.cluster and state.log.find_term(request.index) == request.index_term:
            # The log matches the snapshot. Entries after it must stay, since
            # they may count towards a commit.
            state.commit_index = max(state.commit_index, request.index)
        done = bool(state.cluster) and request.index <= state.commit_index
        if not done:
            key = (request.index, request.index_term)
            if request.offset == 0 or key != self._snapshot_key:
                self._snapshot_data = bytearray()
                self._snapshot_key = key
            if request.offset == len(self._snapshot_data):
                self._snapshot_data += request.data
                done = request.done
                if done:
                    self._install_snapshot(request)
        state.queue_message(
            SnapshotReply(
                sender=state.identity,
                receiver=request.sender,
                cluster=request.cluster,
                term=state.term,
                index=request.index,
                offset=len(self._snapshot_data),
                done=done,
                round=request.round,
            )
        )

    def _install_snapshot(self, request: SnapshotRequest) -> None:
        snapshot = Snapshot(
            index=request.index,
            term=request.index_term,
            configuration=request.configuration,
            data=bytes(self._snapshot_data),
        )
        self._state.log.restore(snapshot)
        self._state.commit_index = snapshot.index
        self._snapshot_data = bytearray()
        self.received_snapshot = snapshot

    def _send_append_reply(
        self, request: AppendRequest, *, accepted: bool, index: int
    ) -> None:
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
