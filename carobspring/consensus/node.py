"""The Raft state machine of a replica: from events to actions."""

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
from carobspring.consensus.reconfiguration import find_spares
from carobspring.consensus.state import ReplicaState, RoleName, Timing
from carobspring.ports import RandomSource

#: The number of entries kept in memory after a snapshot covers them, so that
#: followers slightly behind need no snapshot.
KEPT_ENTRIES = 512


class Node:
    """A replica of the log, without any I/O of its own.

    The caller passes each event to ``step`` and then executes the result of
    ``take_actions``. Several steps may share one call of ``take_actions`` and
    thereby one sync of the disk.
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
        rejoins: bool = False,
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
            state=self._state,
            name=name,
            peers=peers - {name},
            bootstrap=bootstrap,
            rejoins=rejoins,
        )
        self._applied_index = snapshot.index
        self._pending_snapshot: Snapshot | None = None
        self._should_restore = False

    @property
    def identity(self) -> str:
        """The identity of this replica's data directory."""
        return self._state.identity

    @property
    def role(self) -> RoleName:
        """The current role."""
        return self._role.name

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def vote(self) -> str:
        """The identity that this replica voted for in the term, or empty."""
        return self._state.vote

    @property
    def leader(self) -> str:
        """The identity of the leader, or empty if it is not known."""
        return self._state.leader

    @property
    def log(self) -> Log:
        """The log; callers must not change it."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """The index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def hellos(self) -> Mapping[str, Hello]:
        """The last hello from each name."""
        return self._peers.hellos

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._state.log.configuration

    def is_current(self, now: float) -> bool:
        """Return whether all that the leader knew as committed is applied.

        A replica that has just started hears its leader before it has the
        entries that were committed without it, and a new leader knows of them
        once an entry of its own term is committed.
        """
        state = self._state
        if isinstance(self._role, Leader):
            has_contact = self._role.holds_lease(now)
        else:
            has_contact = bool(state.leader) and state.has_recent_leader(now)
        return (
            has_contact
            and state.log.find_term(state.commit_index) == state.term
            and self._applied_index >= state.known_commit_index
        )

    def is_leader(self, now: float) -> bool:
        """Return whether this replica leads and no other replica can."""
        return isinstance(self._role, Leader) and self._role.holds_lease(now)

    def list_silent_voters(self, now: float) -> tuple[str, ...]:
        """Return the names of the voters that this leader does not hear."""
        if not isinstance(self._role, Leader):
            return ()
        timeout_s = self._state.timing.election_timeout_s
        silent = self._role.find_silent_members(timeout_s, now)
        return tuple(
            member.name
            for member in self.configuration.members
            if member.voter and member.identity in silent
        )

    def list_spares(self, now: float) -> tuple[str, ...]:
        """Return the names of the replicas that could replace a voter."""
        running = self._peers.find_running(now)
        spares = find_spares(self.configuration, self._peers.hellos, running)
        return tuple(hello.name for hello in spares)

    def add_peer(self, name: str) -> None:
        """Accept hellos from another name from now on."""
        self._peers.add_peer(name)

    def build_hello(self) -> Hello:
        """Return the message that introduces this replica to its peers."""
        return self._peers.build_hello()

    def start_leaving(self) -> None:
        """Say in each hello from now on that this replica is about to stop."""
        self._peers.is_leaving = True

    def step(self, event: Event, now: float) -> None:
        """Handle an event."""
        if self._peers.has_no_peers and not self._state.cluster:
            self._try_bootstrap()
        self._tick(now)
        if isinstance(event, MessageReceived):
            self._handle_message(event.message, now)
        elif isinstance(event, LogSynced):
            self._state.log.mark_synced()
            if isinstance(self._role, Leader):
                self._role.handle_log_synced()
        elif isinstance(event, SnapshotTaken):
            self._compact_log(event)
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
        self._tick(now)

    def take_actions(self, now: float) -> Actions:
        """Return the actions resulting from the steps since the last call."""
        state = self._state
        if isinstance(self._role, Leader):
            running = self._peers.find_running(now)
            self._role.replace_lost_replica(self._peers.hellos, running, now)
            self._role.replicate(now)
        hard_state = None
        if state.hard_state != state.persisted:
            hard_state = state.persisted = state.hard_state
        committed: tuple[Entry, ...] = ()
        if state.commit_index > self._applied_index:
            committed = state.log.get_range(self._applied_index + 1, state.commit_index)
            self._applied_index = state.commit_index
        actions = Actions(
            hard_state=hard_state,
            snapshot=self._pending_snapshot,
            entries=state.log.take_unsynced(),
            messages=tuple(state.messages),
            should_restore=self._should_restore,
            committed_entries=committed,
            outcomes=tuple(state.outcomes),
        )
        self._pending_snapshot = None
        self._should_restore = False
        state.messages.clear()
        state.outcomes.clear()
        return actions

    def _change_role(self, name: RoleName, now: float) -> None:
        if name is RoleName.FOLLOWER:
            self._role = Follower(state=self._state, now=now)
        elif name is RoleName.LEADER:
            self._role = Leader(state=self._state, now=now)
        else:
            self._role = Candidate(state=self._state, name=name, now=now)

    def _tick(self, now: float) -> None:
        next_role = self._role.tick(now)
        while next_role is not None:
            self._change_role(next_role, now)
            next_role = self._role.tick(now)

    def _handle_message(self, message: Message, now: float) -> None:
        if self.configuration.find_member(message.sender) is not None:
            self._state.heard_at[message.sender] = now
        if isinstance(message, Hello):
            self._peers.handle_hello(message, now)
            if not self._state.cluster:
                self._try_bootstrap()
        elif message.receiver == self._state.identity:
            if not self._state.cluster:
                self._handle_without_cluster(message, now)
            elif message.cluster == self._state.cluster:
                self._handle_cluster_message(message, now)

    def _handle_without_cluster(self, message: Message, now: float) -> None:
        """Let a replica without a cluster join one; it has no vote before."""
        if isinstance(message, BootstrapRequest):
            if message.configuration.is_voter(self._state.identity):
                self._adopt_configuration(message.configuration)
        elif isinstance(message, AppendRequest | SnapshotRequest):
            self._handle_cluster_message(message, now)

    def _try_bootstrap(self) -> None:
        """Bootstrap the cluster once all initial members sent a hello."""
        configuration = self._peers.build_initial_configuration()
        if configuration is not None:
            self._adopt_configuration(configuration)

    def _adopt_configuration(self, configuration: Configuration) -> None:
        self._pending_snapshot = Snapshot(configuration=configuration)
        self._state.log.restore(self._pending_snapshot)
        self._peers.send_bootstrap_requests()

    def _handle_cluster_message(self, message: Message, now: float) -> None:
        state = self._state
        if isinstance(message, VoteRequest):
            if not message.transfer and self._has_recent_leader(now):
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
            self._reject_stale_leader(message)
            return
        is_from_leader = isinstance(message, AppendRequest | SnapshotRequest)
        if is_from_leader and not isinstance(self._role, Follower):
            self._change_role(RoleName.FOLLOWER, now)
        next_role = self._role.handle(message, now)
        if next_role is not None:
            self._change_role(next_role, now)
        if (
            isinstance(self._role, Follower)
            and self._role.received_snapshot is not None
        ):
            self._pending_snapshot = self._role.received_snapshot
            self._applied_index = self._pending_snapshot.index
            self._should_restore = True
            self._role.received_snapshot = None

    def _has_recent_leader(self, now: float) -> bool:
        return isinstance(self._role, Leader) or self._state.has_recent_leader(now)

    def _enter_term(self, term: int, now: float) -> None:
        if term > self._state.term:
            self._state.advance_term(term)
            self._change_role(RoleName.FOLLOWER, now)

    def _reject_stale_leader(self, message: Message) -> None:
        """Tell the leader of an earlier term that there is a later one."""
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

    def _compact_log(self, event: SnapshotTaken) -> None:
        log = self._state.log
        term = log.find_term(event.index)
        if term is None or event.index <= log.snapshot.index:
            return
        self._pending_snapshot = Snapshot(
            index=event.index,
            term=term,
            configuration=log.find_configuration(event.index),
            data=event.data,
        )
        log.compact(self._pending_snapshot, keep=self._kept_entries)

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
