"""The leader role: appends commands, replicates them, confirms reads."""

from collections.abc import Mapping, Set

from carobspring.consensus.entries import Entry, EntryKind
from carobspring.consensus.errors import MembershipChangeRefusedError
from carobspring.consensus.events import (
    Accepted,
    AddLearner,
    MembershipChange,
    Refused,
)
from carobspring.consensus.lease import Lease
from carobspring.consensus.log import encode_configuration
from carobspring.consensus.messages import (
    AppendReply,
    Hello,
    Message,
    ReadRequest,
    SnapshotReply,
    TransferRequest,
)
from carobspring.consensus.reads import ReadQueue
from carobspring.consensus.reconfiguration import (
    change_configuration,
    choose_replacement_step,
)
from carobspring.consensus.replication import Progress
from carobspring.consensus.state import ReplicaState, RoleName


class Leader:
    """Leads the term for as long as a quorum replies."""

    name = RoleName.LEADER

    def __init__(self, *, state: ReplicaState, now: float) -> None:
        self._state = state
        self._lease = Lease(state=state, now=now)
        self._reads = ReadQueue(state=state, lease=self._lease)
        self._progress: dict[str, Progress] = {}
        self._heartbeat_due = now
        self._transfer_target = ""
        self._transfer_deadline = now
        state.leader = state.identity
        self._update_progress()
        self._append_entry(EntryKind.NO_OP, b"")

    def tick(self, now: float) -> RoleName | None:
        """Step down when the lease expires, and abandon a failed transfer.

        Once the transfer target was told to start an election, it may do so at
        any time in this term. The lease then can't be regained, so this
        replica has to step down.
        """
        transfer_failed = bool(self._transfer_target) and now >= self._transfer_deadline
        term_ended = transfer_failed and self._lease.is_released
        if (
            term_ended
            or self._lease.is_expired(now)
            or not self._state.can_become_candidate()
        ):
            self._state.leader = ""
            return RoleName.FOLLOWER
        if transfer_failed:
            self._transfer_target = ""
        return None

    def holds_lease(self, now: float) -> bool:
        """Return whether no other replica can be leader now."""
        return self._lease.is_held(now)

    def handle(self, message: Message, now: float) -> RoleName | None:
        """Handle replies and read requests of followers."""
        progress = self._progress.get(message.sender)
        if isinstance(message, ReadRequest):
            self._reads.add(token=message.token, reader=message.sender)
        elif isinstance(message, AppendReply | SnapshotReply) and progress:
            self._lease.record_reply(message.sender, message.round, now)
            if isinstance(message, AppendReply):
                progress.handle_append_reply(message)
            else:
                progress.handle_snapshot_reply(message)
            self._advance_commit()
            self._continue_transfer()
        return None

    def propose(self, *, token: int, command: bytes) -> None:
        """Append a command, or refuse it during a leadership transfer."""
        if self._transfer_target:
            self._state.outcomes.append(Refused(token=token, leader=""))
            return
        self._append_entry(EntryKind.COMMAND, command, token=token)

    def add_local_read(self, token: int) -> None:
        """Queue a read that was requested on this replica."""
        self._reads.add(token=token, reader=self._state.identity)

    def change_membership(self, change: MembershipChange, now: float) -> None:
        """Append a membership change, or refuse it."""
        state = self._state
        lag = self._compute_lags(now).get(change.identity)
        try:
            configuration = change_configuration(state=state, change=change, lag=lag)
        except MembershipChangeRefusedError as error:
            refused = Refused(
                token=change.token, leader=state.identity, reason=error.reason
            )
            state.outcomes.append(refused)
            return
        if isinstance(change, AddLearner):
            self._lease.start_member(change.identity, now)
        data = encode_configuration(configuration)
        self._append_entry(EntryKind.CONFIGURATION, data, token=change.token)
        self._update_progress()

    def replace_lost_replica(
        self, hellos: Mapping[str, Hello], running: Set[str], now: float
    ) -> None:
        """Start the next step of replacing a lost replica, if there is one."""
        state = self._state
        change_pending = state.log.configuration_index > state.commit_index
        if change_pending or state.log.find_term(state.commit_index) != state.term:
            return
        lags = self._compute_lags(now)
        silent = self.find_silent_members(state.timing.replace_after_s, now)
        silent |= {hello.sender for hello in hellos.values() if hello.leaving}
        change = choose_replacement_step(
            state=state, hellos=hellos, running=running, lags=lags, silent=silent
        )
        if change is not None:
            self.change_membership(change, now)

    def find_silent_members(self, duration_s: float, now: float) -> frozenset[str]:
        """Return the other members that were silent for longer than this."""
        return frozenset(
            identity
            for identity in self._progress
            if self._lease.get_seconds_since_reply(identity, now) > duration_s
        )

    def transfer_leadership(self, target: str, now: float) -> None:
        """Transfer leadership to a voter that replied recently.

        Without a target, the most up-to-date of them is chosen.
        """
        lags = self._compute_lags(now)
        voters = self._state.log.configuration.find_voters()
        reachable = [voter for voter in voters if voter in lags]
        if not target and reachable:
            target = min(reachable, key=lambda voter: lags[voter])
        if target in reachable:
            self._transfer_target = target
            self._transfer_deadline = now + self._state.timing.election_timeout_s
            self._continue_transfer()

    def handle_log_synced(self) -> None:
        """Count the leader's own synced entries towards the commit index."""
        self._advance_commit()

    def replicate(self, now: float) -> None:
        """Send missing entries to followers, and heartbeats when due."""
        heartbeat = now >= self._heartbeat_due or self._reads.needs_round()
        if heartbeat:
            number = self._lease.start_round(now)
            self._reads.start_round(number)
            self._heartbeat_due = now + self._state.timing.heartbeat_interval_s
        for progress in self._progress.values():
            progress.send(current_round=self._lease.current_round, heartbeat=heartbeat)
        self._reads.confirm_ready()

    def _append_entry(self, kind: EntryKind, data: bytes, *, token: int = 0) -> None:
        state = self._state
        index = state.log.last_index + 1
        state.log.append(Entry(index=index, term=state.term, kind=kind, data=data))
        if token:
            accepted = Accepted(token=token, index=index, term=state.term)
            state.outcomes.append(accepted)

    def _advance_commit(self) -> None:
        state = self._state
        match_indexes = []
        for voter in state.log.configuration.find_voters():
            if voter == state.identity:
                match_indexes.append(state.log.synced_index)
            else:
                match_indexes.append(self._progress[voter].match_index)
        match_indexes.sort()
        index = match_indexes[(len(match_indexes) - 1) // 2] if match_indexes else 0
        # Only a majority for an entry of the leader's own term guarantees that
        # no later leader overwrites the entries before it.
        if index > state.commit_index and state.log.find_term(index) == state.term:
            state.commit_index = index

    def _update_progress(self) -> None:
        state = self._state
        members = state.log.configuration.members
        self._progress = {
            member.identity: self._progress.get(member.identity)
            or Progress(state=state, identity=member.identity)
            for member in members
            if member.identity != state.identity
        }

    def _compute_lags(self, now: float) -> dict[str, int]:
        last = self._state.log.last_index
        return {
            identity: last - progress.match_index
            for identity, progress in self._progress.items()
            if self._lease.has_recent_reply(identity, now)
        }

    def _continue_transfer(self) -> None:
        state = self._state
        progress = self._progress.get(self._transfer_target)
        if progress is None or progress.match_index < state.log.last_index:
            return
        self._lease.release()
        state.queue_message(
            TransferRequest(
                sender=state.identity,
                receiver=self._transfer_target,
                cluster=state.cluster,
                term=state.term,
            )
        )
