"""A replica's core: takes events and the time, returns actions."""

from collections.abc import Mapping

from carobspring.consensus.election import Candidate, answer_vote_request
from carobspring.consensus.entries import Configuration, Entry, HardState, Snapshot
from carobspring.consensus.events import (
    Actions,
    AddLearner,
    CommandProposed,
    ConfirmRead,
    Event,
    LogSynced,
    MessageReceived,
    PromoteLearner,
    Refused,
    RemoveMember,
    SnapshotTaken,
    TransferLeadership,
)
from carobspring.consensus.follower import Follower
from carobspring.consensus.leader import Leader
from carobspring.consensus.log import Log
from carobspring.consensus.messages import (
    AppendReply,
    AppendRequest,
    BootstrapRequest,
    Hello,
    Message,
    ReadRequest,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from carobspring.consensus.peers import PeerDirectory
from carobspring.consensus.state import ReplicaState, RoleName, Timing
from carobspring.ports import RandomSource

#: Entries kept in memory before a snapshot, for followers a little behind.
KEPT_ENTRIES = 512


class Node:
    """One replica of the log, without any input or output of its own.

    Call ``step`` with each event, then ``take_actions`` and carry those out
    in their order. Several steps may share one ``take_actions``, and so one
    sync of the disk.
    """

    def __init__(
        self,
        *,
        identity: str,
        name: str,
        peers: frozenset[str],
        bootstrap: bool,
        timing: Timing,
        random: RandomSource,
        snapshot: Snapshot,
        entries: tuple[Entry, ...],
        hard_state: HardState,
        now: float,
        kept_entries: int = KEPT_ENTRIES,
    ) -> None:
        self.name = name
        self._kept_entries = kept_entries
        self._state = ReplicaState(
            identity=identity,
            timing=timing,
            random=random,
            log=Log(snapshot=snapshot, entries=entries),
            hard_state=hard_state,
            now=now,
        )
        self._role: Follower | Candidate | Leader = Follower(state=self._state, now=now)
        self._peers = PeerDirectory(
            state=self._state, name=name, peers=peers - {name}, bootstrap=bootstrap
        )
        self._applied = snapshot.index
        self._snapshot: Snapshot | None = None
        self._restores = False

    @property
    def identity(self) -> str:
        """The identity of this replica's data folder."""
        return self._state.identity

    @property
    def role(self) -> RoleName:
        """The present role."""
        return self._role.name

    @property
    def term(self) -> int:
        """The present term."""
        return self._state.term

    @property
    def vote(self) -> str:
        """The identity that got this replica's vote in the term."""
        return self._state.vote

    @property
    def leader(self) -> str:
        """The identity of the leader, or empty when it is not known."""
        return self._state.leader

    @property
    def log(self) -> Log:
        """The log, to be read only."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """The last index known to be committed."""
        return self._state.commit_index

    @property
    def hellos(self) -> Mapping[str, Hello]:
        """The last hello of each name."""
        return self._peers.hellos

    @property
    def configuration(self) -> Configuration:
        """The members at present."""
        return self._state.log.configuration

    def has_leader_contact(self, now: float) -> bool:
        """Say whether this replica leads, or heard its leader lately."""
        if isinstance(self._role, Leader):
            return self._role.holds_lease(now)
        return bool(self._state.leader) and self._state.has_recent_leader(now)

    def is_leader(self, now: float) -> bool:
        """Say whether this replica leads and no other can at this time."""
        return isinstance(self._role, Leader) and self._role.holds_lease(now)

    def add_peer(self, name: str) -> None:
        """Take the hello of another name from now on."""
        self._peers.add_peer(name)

    def make_hello(self) -> Hello:
        """Return the message that opens a connection."""
        return self._peers.make_hello()

    def step(self, event: Event, now: float) -> None:
        """Take in one event."""
        if self._peers.has_no_peers and not self._state.cluster:
            self._found()
        self._pass_time(now)
        if isinstance(event, MessageReceived):
            self._take_message(event.message, now)
        elif isinstance(event, LogSynced):
            self._state.log.mark_synced()
            if isinstance(self._role, Leader):
                self._role.handle_log_synced()
        elif isinstance(event, SnapshotTaken):
            self._take_snapshot(event)
        elif isinstance(event, ConfirmRead) and not isinstance(self._role, Leader):
            self._forward_read(event)
        elif not isinstance(self._role, Leader):
            token = getattr(event, "token", 0)
            if token:
                refused = Refused(token=token, leader=self._state.leader)
                self._state.outcomes.append(refused)
        elif isinstance(event, CommandProposed):
            self._role.propose(token=event.token, command=event.command)
        elif isinstance(event, ConfirmRead):
            self._role.add_local_read(event.token)
        elif isinstance(event, TransferLeadership):
            self._role.transfer_leadership(event.target, now)
        elif isinstance(event, AddLearner | PromoteLearner | RemoveMember):
            self._role.change_membership(event, now)
        self._pass_time(now)

    def take_actions(self, now: float) -> Actions:
        """Return what the steps so far call for."""
        state = self._state
        if isinstance(self._role, Leader):
            self._role.replace_lost_replica(self._peers.hellos, now)
            self._role.replicate(now)
        hard_state = None
        if state.hard_state != state.persisted:
            hard_state = state.persisted = state.hard_state
        committed: tuple[Entry, ...] = ()
        if state.commit_index > self._applied:
            committed = state.log.get_range(self._applied + 1, state.commit_index)
            self._applied = state.commit_index
        actions = Actions(
            hard_state=hard_state,
            snapshot=self._snapshot,
            entries=state.log.take_unsynced(),
            messages=tuple(state.messages),
            should_restore=self._restores,
            committed_entries=committed,
            outcomes=tuple(state.outcomes),
        )
        self._snapshot = None
        self._restores = False
        state.messages.clear()
        state.outcomes.clear()
        return actions

    def _become(self, name: RoleName, now: float) -> None:
        if name is RoleName.FOLLOWER:
            self._role = Follower(state=self._state, now=now)
        elif name is RoleName.LEADER:
            self._role = Leader(state=self._state, now=now)
        else:
            self._role = Candidate(state=self._state, name=name, now=now)

    def _pass_time(self, now: float) -> None:
        following = self._role.tick(now)
        while following is not None:
            self._become(following, now)
            following = self._role.tick(now)

    def _take_message(self, message: Message, now: float) -> None:
        if isinstance(message, Hello):
            self._peers.handle_hello(message)
            if not self._state.cluster:
                self._found()
        elif message.receiver == self._state.identity:
            if not self._state.cluster:
                self._join(message, now)
            elif message.cluster == self._state.cluster:
                self._take_term(message, now)

    def _join(self, message: Message, now: float) -> None:
        """Let an empty replica into a cluster; until then it has no vote."""
        if isinstance(message, BootstrapRequest):
            if message.configuration.is_voter(self._state.identity):
                self._take_over(message.configuration)
        elif isinstance(message, AppendRequest | SnapshotRequest):
            self._take_term(message, now)

    def _found(self) -> None:
        """Found the cluster, if every other founder has said hello."""
        founded = self._peers.build_initial_configuration()
        if founded is not None:
            self._take_over(founded)

    def _take_over(self, founded: Configuration) -> None:
        self._snapshot = Snapshot(configuration=founded)
        self._state.log.restore(self._snapshot)
        self._peers.send_bootstrap_requests()

    def _take_term(self, message: Message, now: float) -> None:
        state = self._state
        if isinstance(message, VoteRequest):
            if not message.transfer and self._hears_leader(now):
                return
            if not message.pre_vote:
                self._enter_term(message.term, now)
            answer_vote_request(state, message, now)
            return
        pre_vote_granted = (
            isinstance(message, VoteReply) and message.pre_vote and message.granted
        )
        if not pre_vote_granted:
            self._enter_term(message.term, now)
        if message.term < state.term:
            self._refuse_old_leader(message)
            return
        is_leaders = isinstance(message, AppendRequest | SnapshotRequest)
        if is_leaders and not isinstance(self._role, Follower):
            self._become(RoleName.FOLLOWER, now)
        following = self._role.handle(message, now)
        if following is not None:
            self._become(following, now)
        if isinstance(self._role, Follower) and self._role.received is not None:
            self._snapshot = self._role.received
            self._applied = self._snapshot.index
            self._restores = True
            self._role.received = None

    def _hears_leader(self, now: float) -> bool:
        return isinstance(self._role, Leader) or self._state.has_recent_leader(now)

    def _enter_term(self, term: int, now: float) -> None:
        if term > self._state.term:
            self._state.advance_term(term)
            self._become(RoleName.FOLLOWER, now)

    def _refuse_old_leader(self, message: Message) -> None:
        """Tell the leader of an earlier term that its reign is over."""
        if isinstance(message, AppendRequest | SnapshotRequest):
            state = self._state
            state.queue_message(
                AppendReply(
                    sender=state.identity,
                    receiver=message.sender,
                    cluster=message.cluster,
                    term=state.term,
                    accepted=False,
                    index=state.log.last_index,
                    previous_index=-1,
                )
            )

    def _take_snapshot(self, event: SnapshotTaken) -> None:
        log = self._state.log
        term = log.find_term(event.index)
        if term is None or event.index <= log.snapshot.index:
            return
        self._snapshot = Snapshot(
            index=event.index,
            term=term,
            configuration=log.find_configuration(event.index),
            data=event.data,
        )
        log.compact(self._snapshot, keep=self._kept_entries)

    def _forward_read(self, event: ConfirmRead) -> None:
        state = self._state
        if not state.leader:
            state.outcomes.append(Refused(token=event.token, leader=""))
            return
        state.queue_message(
            ReadRequest(
                sender=state.identity,
                receiver=state.leader,
                cluster=state.cluster,
                term=state.term,
                token=event.token,
            )
        )
