"""A simulated cluster in one process, deterministic for a seed.

Time, network and disks are simulated.
"""

import heapq
import random
from dataclasses import dataclass, field

from carobspring.consensus import (
    Accepted,
    CommandProposed,
    ConfirmRead,
    Driver,
    Entry,
    EntryKind,
    JournalFailedError,
    Message,
    MessageReceived,
    Outcome,
    OutputHandler,
    ReadConfirmed,
    RoleName,
    Tick,
    Timing,
    TransferLeadership,
)
from carobspring.consensus.messages import Hello
from carobspring.ports import RandomSource, StateMachine
from tests.consensus.storage import Crash, MemoryStorage

STEP_S = 0.02
TIMING = Timing()


class SeededRandom(RandomSource):
    """A random source that is deterministic for a seed."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)

    def draw_uniform(self) -> float:
        return self._random.random()

    def draw_index(self, count: int) -> int:
        return self._random.randrange(count)


class ListMachine(StateMachine):
    """A state machine whose state is the list of applied commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command)
        return b"%d" % len(self.commands)

    def take_snapshot(self) -> bytes:
        return b"\n".join(self.commands)

    def restore(self, snapshot: bytes) -> None:
        self.commands = snapshot.split(b"\n") if snapshot else []


@dataclass(kw_only=True)
class Faults:
    """Faults that the network applies to messages."""

    loss: float = 0.0
    duplication: float = 0.0
    max_delay_s: float = 0.01
    #: Pairs of names (sender, receiver) between which all messages are lost.
    cut: set[tuple[str, str]] = field(default_factory=set)
    #: Message types that are always lost.
    dropped_types: tuple[type[Message], ...] = ()


@dataclass(frozen=True, kw_only=True)
class PendingRead:
    """A read in progress, with the commands that it must see."""

    name: str
    must_see: frozenset[bytes]


class SimulatedReplica(OutputHandler):
    """A replica with its disk; ``driver`` is None while it is down."""

    def __init__(self, simulation: "Simulation", name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.storage = MemoryStorage(seed=simulation.random.randrange(1 << 30))
        self.machine = ListMachine()
        self.driver: Driver | None = None
        self.failed = False
        self.frozen = False
        #: Seconds by which this replica's clock is behind.
        self.clock_lag_s = 0.0
        #: Whether the instance keeps its power when the process is killed.
        self.keeps_unsynced = False
        #: Messages that arrived while the process was frozen.
        self.held_messages: list[Message] = []
        self.starts = 0

    def start(self, *, bootstrap: bool = True) -> None:
        self.starts += 1
        self.machine = ListMachine()
        self.failed = self.frozen = False
        simulation = self.simulation
        self.driver = Driver(
            name=self.name,
            peers=frozenset(simulation.replicas),
            bootstrap=bootstrap,
            timing=simulation.timing,
            storage=self.storage,
            random=SeededRandom(f"{simulation.seed}/{self.name}/{self.starts}"),
            machine=self.machine,
            output=self,
            now=self.now,
            snapshot_every=simulation.snapshot_every,
            rejoins=True,
        )
        for other in simulation.replicas.values():
            if other is not self and other.driver:
                simulation.connect(self, other)

    @property
    def now(self) -> float:
        """The time on this replica's clock."""
        return self.simulation.now - self.clock_lag_s

    def run(self, event: object) -> None:
        """Handle an event and execute its actions, unless down or failed."""
        if self.driver is None or self.failed:
            return
        now = self.now
        try:
            self.driver.step(event, now)
            self.driver.execute_actions(now)
        except JournalFailedError:
            self.failed = True
        except Crash:
            self.crash()
        self.simulation.check(self)

    def thaw(self) -> None:
        """Resume after a freeze, first handling the messages held back."""
        self.frozen = False
        held_messages, self.held_messages = self.held_messages, []
        for message in held_messages:
            self.run(MessageReceived(message=message))

    def crash(self) -> None:
        """Kill the process; data that was not synced may be lost."""
        self.driver = None
        if not self.keeps_unsynced:
            self.storage.restart()

    def send(self, message: Message) -> None:
        self.simulation.transmit(self, message)

    def handle_outcome(self, outcome: Outcome) -> None:
        self.simulation.record_outcome(self, outcome)

    def handle_applied(self, entry: Entry, result: bytes) -> None:
        self.simulation.record_applied(self, entry)


class Simulation:
    """Three or more replicas; the invariants are checked after every step."""

    def __init__(
        self,
        *,
        seed: int,
        names: str = "abc",
        snapshot_every: int = 40,
        timing: Timing = TIMING,
    ) -> None:
        self.timing = timing
        self._next_hello_at = 0.0
        #: Keeps the draws of the recorded seeds free of the regular hellos.
        self._hello_random = random.Random(f"hellos {seed}")
        self.seed = seed
        self.random = random.Random(seed)
        self.now = 100.0
        self.snapshot_every = snapshot_every
        self.faults = Faults()
        self.replicas: dict[str, SimulatedReplica] = {}
        for name in names:
            self.replicas[name] = SimulatedReplica(self, name)
        self._messages: list[tuple[float, int, str, Message]] = []
        self._sent = 0
        self._token = 0
        #: Proposed commands by token, and accepted ones by replica name, index
        #: and term.
        self._proposed: dict[int, bytes] = {}
        self._accepted: dict[tuple[str, int, int], bytes] = {}
        self._reads: dict[int, PendingRead] = {}
        self._confirmed_reads: list[tuple[int, PendingRead]] = []
        self.completed_reads = 0
        self.refused: list[Outcome] = []
        self.acknowledged: list[bytes] = []
        self._log: dict[int, Entry] = {}
        self._leaders: dict[int, str] = {}
        self._votes: dict[tuple[str, int], str] = {}
        self.elections = 0

    def start(self) -> "Simulation":
        """Start all replicas and wait for a leader."""
        for replica in self.replicas.values():
            replica.start()
        self.run_until(lambda: self.find_leader() is not None)
        return self

    def add_spare(self, name: str) -> SimulatedReplica:
        """Start another replica with an empty disk."""
        for replica in self.replicas.values():
            if replica.driver:
                replica.driver.node.add_peer(name)
        spare = self.replicas[name] = SimulatedReplica(self, name)
        spare.start(bootstrap=False)
        return spare

    def empty_disk(self, replica: SimulatedReplica) -> None:
        """Restart a replica with an empty disk."""
        replica.crash()
        replica.storage = MemoryStorage(seed=self.random.randrange(1 << 30))
        replica.start()

    def send_hellos(self) -> None:
        """Let running replicas say hello to each other regularly."""
        if self.now < self._next_hello_at:
            return
        self._next_hello_at = self.now + self.timing.hello_interval_s
        running = [
            replica
            for replica in self.replicas.values()
            if replica.driver and not replica.frozen and not replica.failed
        ]
        for sender in running:
            for receiver in self.replicas.values():
                if receiver is sender or not receiver.driver or not sender.driver:
                    continue
                if (sender.name, receiver.name) not in self.faults.cut:
                    hello = sender.driver.node.build_hello()
                    self._push(receiver.name, hello, self._hello_random)

    def connect(self, one: SimulatedReplica, other: SimulatedReplica) -> None:
        """Exchange hellos, as on a new stream."""
        for sender, receiver in ((one, other), (other, one)):
            assert sender.driver is not None
            hello = sender.driver.node.build_hello()
            self._enqueue(sender.name, receiver.name, hello)

    def transmit(self, sender: SimulatedReplica, message: Message) -> None:
        for name, replica in self.replicas.items():
            driver = replica.driver
            if driver and driver.node.identity == message.receiver:
                self._enqueue(sender.name, name, message)

    def _enqueue(self, sender: str, receiver: str, message: Message) -> None:
        faults = self.faults
        copies = 1 + (self.random.random() < faults.duplication)
        for _ in range(copies):
            lost = self.random.random() < faults.loss
            if (sender, receiver) in faults.cut:
                continue
            if isinstance(message, faults.dropped_types):
                continue
            if lost and not isinstance(message, Hello):
                continue
            self._push(receiver, message, self.random)

    def _push(self, receiver: str, message: Message, draw: random.Random) -> None:
        self._sent += 1
        due = self.now + draw.random() * self.faults.max_delay_s
        heapq.heappush(self._messages, (due, self._sent, receiver, message))

    def run(self, seconds: float) -> None:
        """Advance the time, delivering messages and ticks."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.send_hellos()
            while self._messages and self._messages[0][0] <= self.now:
                _, _, name, message = heapq.heappop(self._messages)
                replica = self.replicas[name]
                if replica.frozen:
                    replica.held_messages.append(message)
                else:
                    replica.run(MessageReceived(message=message))
            for replica in self.replicas.values():
                if not replica.frozen:
                    replica.run(Tick())

    def run_until(self, condition, seconds: float = 30.0) -> None:
        """Advance the time until a condition holds."""
        end = self.now + seconds
        while not condition():
            assert self.now < end, "the condition was not met in time"
            self.run(STEP_S)

    def find_leader(self) -> SimulatedReplica | None:
        for replica in self.replicas.values():
            if replica.driver and not replica.frozen and not replica.failed:
                if replica.driver.node.is_leader(replica.now):
                    return replica
        return None

    def propose(self, command: bytes, replica: SimulatedReplica | None = None) -> None:
        replica = replica or self.find_leader()
        if replica is not None and not replica.frozen:
            self._token += 1
            self._proposed[self._token] = command
            replica.run(CommandProposed(token=self._token, command=command))

    def commit(self, *commands: bytes) -> None:
        """Propose each command until it is acknowledged."""
        for command in commands:
            while command not in self.acknowledged:
                self.run_until(lambda: self.find_leader() is not None)
                self.propose(command)
                self.run(0.3)

    def read(self, replica: SimulatedReplica) -> None:
        """Start a read, which must see all commands acknowledged so far."""
        self._token += 1
        read = PendingRead(name=replica.name, must_see=frozenset(self.acknowledged))
        self._reads[self._token] = read
        replica.run(ConfirmRead(token=self._token))

    def transfer(self) -> None:
        leader = self.find_leader()
        if leader is not None:
            leader.run(TransferLeadership())

    def record_outcome(self, replica: SimulatedReplica, outcome: Outcome) -> None:
        if isinstance(outcome, Accepted):
            command = self._proposed.get(outcome.token)
            if command is not None:
                key = (replica.name, outcome.index, outcome.term)
                self._accepted[key] = command
        elif isinstance(outcome, ReadConfirmed):
            read = self._reads.pop(outcome.token, None)
            if read is not None:
                self._confirmed_reads.append((outcome.index, read))
        else:
            self.refused.append(outcome)

    def record_applied(self, replica: SimulatedReplica, entry: Entry) -> None:
        known = self._log.setdefault(entry.index, entry)
        assert known == entry, f"two entries committed at {entry.index}"
        key = (replica.name, entry.index, entry.term)
        command = self._accepted.pop(key, None)
        if command is not None and entry.kind is EntryKind.COMMAND:
            assert command == entry.data
            self.acknowledged.append(command)

    def check(self, replica: SimulatedReplica) -> None:
        """Assert the invariants that must hold after every step."""
        driver = replica.driver
        if driver is None:
            return
        node = driver.node
        if node.role is RoleName.LEADER and not replica.failed:
            if node.term not in self._leaders:
                self.elections += 1
            leader = self._leaders.setdefault(node.term, node.identity)
            assert leader == node.identity, f"two leaders in term {node.term}"
        if node.vote and not replica.failed:
            vote = self._votes.setdefault((node.identity, node.term), node.vote)
            assert vote == node.vote, f"{node.identity} voted twice in {node.term}"
        for index, read in list(self._confirmed_reads):
            if read.name == replica.name and driver.applied_index >= index:
                missing = read.must_see - set(replica.machine.commands)
                assert not missing, f"a read of {replica.name} misses {missing}"
                self._confirmed_reads.remove((index, read))
                self.completed_reads += 1
        if any(other.clock_lag_s for other in self.replicas.values()):
            return  # The lease, unlike reads, relies on clocks that advance.
        lease_holders = [
            other.name
            for other in self.replicas.values()
            if other.driver
            and not other.failed
            and other.driver.node.is_leader(other.now)
        ]
        assert len(lease_holders) <= 1, f"{lease_holders} hold the lease"

    def mend(self) -> None:
        """End partitions and freezes, start replicas, reopen all streams."""
        self.faults.cut.clear()
        replicas = list(self.replicas.values())
        for replica in replicas:
            replica.thaw()
            if replica.driver is None:
                replica.start()
        for position, replica in enumerate(replicas):
            for other in replicas[:position]:
                if replica.driver and other.driver:
                    self.connect(replica, other)

    def settle_down(self) -> None:
        """End all faults, start all replicas, and compare their states."""
        self.faults = Faults()
        for replica in self.replicas.values():
            replica.storage.crash_at = None
        self.mend()
        self.run(6.0)
        self.commit(b"last")
        self.run(6.0)
        states = [replica.machine.commands for replica in self.replicas.values()]
        assert all(state == states[0] for state in states), "states differ"
        missing = set(self.acknowledged) - set(states[0])
        assert not missing, f"acknowledged commands were lost: {missing}"
        for replica in self.replicas.values():
            assert replica.driver is not None
            node = replica.driver.node
            assert node.configuration.is_voter(node.identity), replica.name
