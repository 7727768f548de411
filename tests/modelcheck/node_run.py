"""Runs consensus nodes through the steps of the specification."""

from carobspring.consensus import (
    Configuration,
    Driver,
    Entry,
    EntryKind,
    Event,
    Member,
    Message,
    MessageReceived,
    Outcome,
    OutputHandler,
    PromoteLearner,
    RemoveMember,
    RoleName,
    Timing,
)
from carobspring.consensus.messages import (
    AppendRequest,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from carobspring.ports import RandomSource
from tests.consensus.simulation import ListMachine
from tests.consensus.storage import MemoryStorage
from tests.modelcheck.consensus_spec import IDENTITIES, NO_REPLICA, Replica, State

ROLES = {
    RoleName.FOLLOWER: "F",
    RoleName.SUCCESSOR: "C",
    RoleName.LEADER: "L",
}


class FixedRandom(RandomSource):
    """Always draws the same number, so that identities are known."""

    def __init__(self, number: int) -> None:
        self._number = number

    def draw_uniform(self) -> float:
        return 0.5

    def draw_index(self, count: int) -> int:
        return self._number


class Recorder(OutputHandler):
    """Records the messages that a node sends."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def handle_outcome(self, outcome: Outcome) -> None:
        """The specification has no callers."""

    def handle_applied(self, entry: Entry, result: bytes) -> None:
        """The specification has no callers."""


class NodeRun:
    """Four nodes that start in the specification's initial state.

    Their time is always 0, so that no timer fires.
    """

    def __init__(self, voters: frozenset[int]) -> None:
        self._storages = [MemoryStorage() for _ in IDENTITIES]
        self._recorders = [Recorder() for _ in IDENTITIES]
        self._lost_replicas: set[int] = set()
        self.drivers = [self._start(i) for i in IDENTITIES]
        self._identities = [driver.node.identity for driver in self.drivers]
        members = tuple(
            Member(identity=self._identities[i], name=str(i), voter=i in voters)
            for i in IDENTITIES
        )
        configuration = Configuration(cluster="c", members=members)
        for i in IDENTITIES:
            request = SnapshotRequest(
                sender="",
                receiver=self._identities[i],
                cluster="c",
                term=0,
                index=0,
                index_term=0,
                configuration=configuration,
                offset=0,
                data=b"",
                done=True,
            )
            self._step(i, MessageReceived(message=request))
        self.apply("campaign 0")
        for i in voters - {0}:
            self.apply(f"vote 0 {i}")
        for i in IDENTITIES:
            if i in voters - {0}:
                self.apply(f"append 0 {i} 1 answered")
            elif i != 0:
                self._deliver_append(0, i, 0, answered=False)

    def apply(self, label: str) -> None:
        """Perform one step of the specification."""
        verb, *words = label.split()
        if verb == "campaign":
            # Starts without an election timeout, as on leadership transfer.
            node = self.drivers[int(words[0])].node
            node._change_role(RoleName.SUCCESSOR, 0.0)
            self.drivers[int(words[0])].execute_actions(0.0)
        elif verb == "vote":
            self._deliver_vote(int(words[0]), int(words[1]))
        elif verb == "append":
            i, j, size = (int(word) for word in words[:3])
            self._deliver_append(i, j, size, answered=words[3] == "answered")
        elif verb == "change":
            self._change(int(words[0]), words[1])
        elif verb == "restart":
            i = int(words[0])
            self._storages[i].restart()
            self.drivers[i] = self._start(i)
        elif verb == "lose":
            self._lost_replicas.add(int(words[0]))

    def describe(self, state: State) -> list[Replica | None]:
        """Return the state of the nodes, in the specification's terms.

        Votes and match indexes, which nodes store in another form, are copied
        from ``state``. The commit index counts only if the entry there has
        the node's own term, because a node also knows of commits of earlier
        terms.
        """
        replicas: list[Replica | None] = []
        for i in IDENTITIES:
            expected = state.replicas[i]
            if i in self._lost_replicas:
                replicas.append(expected if expected.role == "X" else None)
                continue
            node = self.drivers[i].node
            vote = self._identities.index(node.vote) if node.vote else NO_REPLICA
            is_own_term = node.log.find_term(node.commit_index) == node.term
            is_leader = node.role is RoleName.LEADER
            commit = node.commit_index if is_leader and is_own_term else 0
            replicas.append(
                expected._replace(
                    term=node.term,
                    vote=vote,
                    role=ROLES[node.role],
                    log=self._describe_log(i),
                    commit=commit,
                )
            )
        return replicas

    def find_highest_commit(self) -> int:
        """Return the highest commit index of all nodes."""
        return max(driver.node.commit_index for driver in self.drivers)

    def _describe_log(self, i: int) -> tuple[tuple[int, str], ...]:
        log = self.drivers[i].node.log
        described = []
        for entry in log.get_range(1, log.last_index):
            kind = "N"
            if entry.kind is EntryKind.CONFIGURATION:
                before = set(log.find_configuration(entry.index - 1).find_voters())
                after = set(log.find_configuration(entry.index).find_voters())
                (changed,) = before ^ after
                sign = "+" if changed in after else "-"
                kind = f"{sign}{self._identities.index(changed)}"
            described.append((entry.term, kind))
        return tuple(described)

    def _start(self, i: int) -> Driver:
        return Driver(
            name=str(i),
            peers=frozenset(str(other) for other in IDENTITIES),
            bootstrap=False,
            timing=Timing(),
            storage=self._storages[i],
            random=FixedRandom(i),
            machine=ListMachine(),
            output=self._recorders[i],
            now=0.0,
        )

    def _step(self, i: int, event: Event) -> list[Message]:
        """Pass an event to a node; return the messages that it then sends."""
        before = len(self._recorders[i].sent)
        self.drivers[i].step(event, 0.0)
        self.drivers[i].execute_actions(0.0)
        return self._recorders[i].sent[before:]

    def _deliver_vote(self, i: int, j: int) -> None:
        term = self.drivers[i].node.term
        request = next(
            message
            for message in self._recorders[i].sent
            if isinstance(message, VoteRequest)
            and (message.receiver, message.term) == (self._identities[j], term)
        )
        for reply in self._step(j, MessageReceived(message=request)):
            if isinstance(reply, VoteReply):
                self._step(i, MessageReceived(message=reply))

    def _deliver_append(self, i: int, j: int, size: int, *, answered: bool) -> None:
        """Deliver entries up to an index, as a batch truncated there."""
        leader, other = self.drivers[i].node, self.drivers[j].node
        previous = 0
        while previous < min(size, other.log.last_index):
            ours = leader.log.find_term(previous + 1)
            if ours != other.log.find_term(previous + 1):
                break
            previous += 1
        request = AppendRequest(
            sender=leader.identity,
            receiver=other.identity,
            cluster="c",
            term=leader.term,
            previous_index=previous,
            previous_term=leader.log.find_term(previous) or 0,
            entries=leader.log.get_range(previous + 1, size),
            commit=min(leader.commit_index, size),
        )
        for reply in self._step(j, MessageReceived(message=request)):
            if answered:
                self._step(i, MessageReceived(message=reply))

    def _change(self, i: int, kind: str) -> None:
        identity = self._identities[int(kind[1])]
        if kind[0] == "+":
            self._step(i, PromoteLearner(token=1, identity=identity))
        else:
            self._step(i, RemoveMember(token=1, identity=identity))
