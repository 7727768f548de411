"""A replica of the log, run on the asyncio loop with storage and peers."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from grpclib.const import Handler
from grpclib.server import Stream

from carobspring.adapters.paths import EXCHANGE_BATCHES
from carobspring.adapters.peer_link import PeerAddress, PeerLink
from carobspring.adapters.rpc import make_bidirectional_method
from carobspring.adapters.tasks import start_service_task
from carobspring.consensus import (
    KEPT_ENTRIES,
    SNAPSHOT_EVERY,
    AddLearner,
    CommandProposed,
    Configuration,
    ConfirmRead,
    ConsensusError,
    Driver,
    Entry,
    Event,
    MembershipChangeRefusedError,
    Message,
    MessageReceived,
    Node,
    Outcome,
    OutputHandler,
    PromoteLearner,
    RemoveMember,
    Tick,
    Timing,
    TransferLeadership,
    decode_message,
    encode_message,
)
from carobspring.ports import (
    Clock,
    QuorumLostError,
    RandomSource,
    ReplicatedLog,
    StateMachine,
    Storage,
)
from carobspring.programs.pending_requests import PendingRequests
from carobspring.protocol import DECODE_ERRORS
from carobspring.protocol.peers import PeerBatch

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
#: Seconds to wait for a quorum to complete a request, or for a transfer of
#: leadership.
QUORUM_TIMEOUT_S = 5.0
#: Seconds in which a spare gets the log and the vote of a leaving voter.
LEAVE_TIME_S = 1.0


class Replica(ReplicatedLog):
    """Connects the consensus node to storage, peers and a state machine.

    All events of one iteration of the loop share one sync of the disk. A
    failed write stops the replica permanently: it acknowledges nothing more,
    and ``on_failure`` is called.

    Example:
        Create ``replica = Replica(name="a", peers=peers, ...)``, add
        ``replica.list_methods()`` to the server, then call
        ``await replica.start()``.
    """

    def __init__(
        self,
        *,
        name: str,
        peers: Mapping[str, PeerAddress],
        bootstrap: bool,
        storage: Storage,
        clock: Clock,
        random: RandomSource,
        machine: StateMachine,
        secret: str,
        timing: Timing | None = None,
        snapshot_every: int = SNAPSHOT_EVERY,
        kept_entries: int = KEPT_ENTRIES,
        rejoins: bool = False,
        on_failure: Callable[[ConsensusError], None] = lambda error: None,
    ) -> None:
        self.name = name
        self._clock = clock
        self._secret = secret
        self._on_failure = on_failure
        self._links = {
            peer: self._build_link(address)
            for peer, address in peers.items()
            if peer != name
        }
        self._is_started = False
        self._gossip_callbacks: list[Callable[[str, bytes], None]] = []
        #: Peers that sent a message which can't be read, each logged once.
        self._unreadable_peers: set[str] = set()
        self._open_callbacks: list[Callable[[str], None]] = []
        self._pending_requests = PendingRequests()
        self._driver = Driver(
            name=name,
            peers=frozenset(peers),
            bootstrap=bootstrap,
            timing=timing or Timing(),
            storage=storage,
            random=random,
            machine=machine,
            output=_ReplicaOutputHandler(
                replica=self, links=self._links, pending_requests=self._pending_requests
            ),
            now=clock.read_monotonic(),
            snapshot_every=snapshot_every,
            kept_entries=kept_entries,
            rejoins=rejoins,
        )
        self._hello_interval_s = (timing or Timing()).hello_interval_s
        self._next_hello_at = clock.read_monotonic()
        self._is_execution_scheduled = False
        self._tick_task: asyncio.Task[None] | None = None
        self._is_leading = False
        self._silent_voters: tuple[str, ...] = ()
        self._configuration = Configuration()
        self.failure: ConsensusError | None = None

    @property
    def node(self) -> Node:
        """The consensus node; callers must not change it."""
        return self._driver.node

    @property
    def applied_index(self) -> int:
        """The index of the last entry applied to the state machine."""
        return self._driver.applied_index

    @property
    def sync_count(self) -> int:
        """The number of batches written and synced since the start."""
        return self._driver.sync_count

    @property
    def sent_bytes(self) -> int:
        """The number of bytes sent to the peers since the start."""
        return sum(link.sent_bytes for link in self._links.values())

    def list_methods(self) -> list[tuple[str, Handler]]:
        """Return the gRPC methods that the program's server must offer."""
        return [
            make_bidirectional_method(
                EXCHANGE_BATCHES, self.serve_peer, PeerBatch, PeerBatch
            )
        ]

    async def start(self) -> None:
        """Start the timer and connect to the peers."""
        self._tick_task = start_service_task(
            self._tick_periodically, name="consensus tick"
        )
        self._is_started = True
        for link in self._links.values():
            link.start()
        self._step(Tick())

    def add_peer(self, address: PeerAddress) -> None:
        """Add a peer and keep a stream to it."""
        if address.name == self.name or address.name in self._links:
            return
        self._links[address.name] = self._build_link(address)
        self.node.add_peer(address.name)
        if self._is_started:
            self._links[address.name].start()

    async def stop(self) -> None:
        """End all streams and the timer.

        Before a planned stop, a leader should transfer its leadership.
        """
        if self._tick_task is not None:
            self._tick_task.cancel()
        await asyncio.gather(*(link.stop() for link in self._links.values()))
        self._pending_requests.fail_all()

    async def propose(self, command: bytes) -> bytes:
        """Commit a command and return the result of applying it."""
        token = self._register_request()
        self._step(CommandProposed(token=token, command=command))
        return await self._pending_requests.wait(token, QUORUM_TIMEOUT_S)

    async def confirm_read(self) -> None:
        """Wait until the local state includes all earlier commits."""
        token = self._register_request()
        self._step(ConfirmRead(token=token))
        await self._pending_requests.wait(token, QUORUM_TIMEOUT_S)

    def find_leader(self) -> str:
        """Return the name of the leader, or empty if it is unknown."""
        leader = self.node.leader
        member = self.node.configuration.find_member(leader) if leader else None
        return member.name if member else ""

    def is_leader(self) -> bool:
        """Return whether this replica leads and no other one can lead now."""
        return self.failure is None and self.node.is_leader(
            self._clock.read_monotonic()
        )

    async def transfer_leadership(self, target: str = "") -> bool:
        """Transfer leadership and return whether this replica stopped leading.

        Args:
            target: Name of the successor, or empty for the replica with the
                most complete log.
        """
        self._step(TransferLeadership(target=self._find_identity(target)))
        deadline = self._clock.read_monotonic() + QUORUM_TIMEOUT_S
        while self.node.leader == self.node.identity:
            if self._clock.read_monotonic() > deadline:
                return False
            await asyncio.sleep(TICK_INTERVAL_S)
        return True

    async def leave(self) -> None:
        """Let a spare, if any, take this voter's place before a stop."""
        node = self.node
        is_voter = node.configuration.is_voter(node.identity)
        if not is_voter or not node.list_spares(self._clock.read_monotonic()):
            return
        node.start_leaving()
        self._next_hello_at = self._clock.read_monotonic()
        self._send_hellos()
        # The leader tells a member nothing of its own removal.
        await asyncio.sleep(LEAVE_TIME_S)

    async def add_learner(self, name: str) -> None:
        """Add an empty replica that sent a hello, without a vote."""
        hello = self.node.hellos.get(name)
        if hello is None:
            raise MembershipChangeRefusedError(reason=f"{name} has not said hello")
        token = self._register_request()
        self._step(AddLearner(token=token, identity=hello.sender, name=name))
        await self._pending_requests.wait(token, QUORUM_TIMEOUT_S)

    async def promote(self, name: str) -> None:
        """Make a learner that has caught up a voter."""
        token = self._register_request()
        identity = self._find_identity(name)
        self._step(PromoteLearner(token=token, identity=identity))
        await self._pending_requests.wait(token, QUORUM_TIMEOUT_S)

    async def remove(self, name: str) -> None:
        """Remove a replica from the configuration."""
        token = self._register_request()
        self._step(RemoveMember(token=token, identity=self._find_identity(name)))
        await self._pending_requests.wait(token, QUORUM_TIMEOUT_S)

    def send_gossip(self, peer: str, gossip: bytes) -> None:
        """Send gossip to another replica; it is lost if no stream is open."""
        self._links[peer].send_gossip(gossip)

    def on_gossip(self, callback: Callable[[str, bytes], None]) -> None:
        """Add a callback that receives each sender's name and gossip."""
        self._gossip_callbacks.append(callback)

    def on_open(self, callback: Callable[[str], None]) -> None:
        """Add a callback that receives the peer's name of each new stream."""
        self._open_callbacks.append(callback)

    def list_peers(self) -> list[str]:
        """Return the names of the other replicas that respond on a stream."""
        return sorted(name for name, link in self._links.items() if link.is_responding)

    def list_heard_peers(self) -> list[str]:
        """Return the names of the other replicas that were lately heard."""
        return sorted(name for name, link in self._links.items() if link.is_heard)

    def _build_link(self, address: PeerAddress) -> PeerLink:
        return PeerLink(
            own_name=self.name,
            peer=address,
            secret=self._secret,
            clock=self._clock,
            on_open=self._handle_open,
            on_batch=self._handle_batch,
        )

    def _find_identity(self, name: str) -> str:
        for member in self.node.configuration.members:
            if member.name == name:
                return member.identity
        return name

    def _register_request(self) -> int:
        if self.failure is not None:
            raise QuorumLostError(waited_s=0.0)
        return self._pending_requests.register()

    async def serve_peer(self, stream: Stream[Any, Any]) -> None:
        """Exchange batches on a stream opened by a peer until it ends."""
        first_batch: PeerBatch | None = await stream.recv_message()
        if (
            first_batch is not None
            and first_batch.name in self._links
            and not self.failure
        ):
            await self._links[first_batch.name].exchange(stream, first_batch)

    def _handle_open(self, peer: str) -> None:
        self._links[peer].send(encode_message(self.node.build_hello()))
        for callback in self._open_callbacks:
            callback(peer)

    def _handle_batch(self, peer: str, batch: PeerBatch) -> None:
        for data in batch.messages:
            try:
                message = decode_message(data)
            except DECODE_ERRORS as error:
                # Like a message that was lost; the peer sends it again.
                self._log_unreadable(peer, error)
                continue
            if message is not None:
                self._step(MessageReceived(message=message))
        for gossip in batch.gossip:
            for callback in self._gossip_callbacks:
                callback(peer, gossip)

    def _log_unreadable(self, peer: str, error: Exception) -> None:
        if peer not in self._unreadable_peers:
            self._unreadable_peers.add(peer)
            extra = {"peer": peer, "reason": str(error)}
            logger.error("message of a peer can't be read", extra=extra)

    async def _tick_periodically(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._step(Tick())
            self._send_hellos()
            self._log_silent_voters()
            for link in self._links.values():
                link.tick()

    def _step(self, event: Event) -> None:
        if self.failure is not None:
            return
        self._driver.step(event, self._clock.read_monotonic())
        if not self._is_execution_scheduled:
            self._is_execution_scheduled = True
            asyncio.get_running_loop().call_soon(self._execute_actions)

    def _execute_actions(self) -> None:
        """Execute the actions of all events of this iteration of the loop."""
        self._is_execution_scheduled = False
        if self.failure is not None:
            return
        try:
            self._driver.execute_actions(self._clock.read_monotonic())
        except ConsensusError as error:
            self._fail(error)
            return
        self._pending_requests.release_reads(self._driver.applied_index)
        self._update_leadership()
        self._update_members()

    def _update_members(self) -> None:
        configuration = self.node.configuration
        if configuration == self._configuration:
            return
        self._configuration = configuration
        own_member = configuration.find_member(self.node.identity)
        logger.info(
            "members changed",
            extra={
                "voters": [m.name for m in configuration.members if m.voter],
                "learners": [m.name for m in configuration.members if not m.voter],
                "votes": own_member is not None and own_member.voter,
                "cluster": configuration.cluster,
            },
        )

    def _send_hellos(self) -> None:
        """Show every peer that this replica runs, whatever its role is."""
        now = self._clock.read_monotonic()
        if self.failure is not None or now < self._next_hello_at:
            return
        self._next_hello_at = now + self._hello_interval_s
        hello = encode_message(self.node.build_hello())
        for link in self._links.values():
            link.send(hello)

    def _log_silent_voters(self) -> None:
        now = self._clock.read_monotonic()
        silent = self.node.list_silent_voters(now)
        if silent != self._silent_voters:
            self._silent_voters = silent
            spares = self.node.list_spares(now)
            logger.info(
                "silent voters changed", extra={"silent": silent, "spares": spares}
            )

    def _update_leadership(self) -> None:
        is_leading = self.node.leader == self.node.identity
        if self._is_leading and not is_leading:
            self._pending_requests.fail_all()
        if is_leading != self._is_leading:
            logger.info("leading=%s term=%d", is_leading, self.node.term)
        self._is_leading = is_leading

    def _fail(self, error: ConsensusError) -> None:
        logger.error("%s", error)
        self.failure = error
        self._pending_requests.fail_all()
        for link in self._links.values():
            link.disconnect()
        self._on_failure(error)


class _ReplicaOutputHandler(OutputHandler):
    """Sends a replica's messages to its peers and completes its requests."""

    def __init__(
        self,
        *,
        replica: Replica,
        links: Mapping[str, PeerLink],
        pending_requests: PendingRequests,
    ) -> None:
        self._replica = replica
        self._links = links
        self._pending_requests = pending_requests

    def send(self, message: Message) -> None:
        """Send a message to the peer with the receiver's identity."""
        link = self._links.get(self._find_name(message.receiver))
        if link is not None:
            link.send(encode_message(message))

    def handle_outcome(self, outcome: Outcome) -> None:
        """Pass on the outcome of a request."""
        replica = self._replica
        self._pending_requests.handle_outcome(
            outcome, applied_index=replica.applied_index, leader=replica.find_leader()
        )

    def handle_applied(self, entry: Entry, result: bytes) -> None:
        """Complete the local request that proposed an entry, if any."""
        self._pending_requests.handle_applied(
            index=entry.index,
            term=entry.term,
            result=result,
            leader=self._replica.find_leader(),
        )

    def _find_name(self, identity: str) -> str:
        node = self._replica.node
        member = node.configuration.find_member(identity)
        if member is not None:
            return member.name
        for hello in node.hellos.values():
            if hello.sender == identity:
                return hello.name
        return ""
