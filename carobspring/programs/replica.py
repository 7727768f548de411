"""A replica of the log on the asyncio loop, its disk and its peer streams."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from grpclib.const import Handler
from grpclib.server import Stream

from carobspring.adapters.paths import EXCHANGE_BATCHES
from carobspring.adapters.peer_link import PeerAddress, PeerLink
from carobspring.adapters.rpc import make_bidirectional_method
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
from carobspring.protocol.peers import PeerBatch

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
#: How long a command or read may wait for a quorum.
QUORUM_TIMEOUT_S = 5.0


class Replica(ReplicatedLog):
    """Drives the core of consensus: disk, streams, timers, state machine.

    All events of one turn of the loop share one sync of the disk. A write
    that fails stops the replica for good: it acknowledges nothing more and
    ``on_failure`` is called.

    Example:
        ``replica = Replica(name="a", peers=peers, ...)``; give
        ``replica.list_methods()`` to the server; ``await replica.start()``.
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
        self._started = False
        self._gossip_callbacks: list[Callable[[str, bytes], None]] = []
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
        )
        self._scheduled = False
        self._ticker: asyncio.Task[None] | None = None
        self._leading = False
        self._configuration = Configuration()
        self.failure: ConsensusError | None = None

    @property
    def node(self) -> Node:
        """The core, to be read only."""
        return self._driver.node

    @property
    def applied_index(self) -> int:
        """The last index that the state machine holds."""
        return self._driver.applied_index

    @property
    def sync_count(self) -> int:
        """Batches written and synced since the start."""
        return self._driver.sync_count

    @property
    def sent_bytes(self) -> int:
        """Bytes of messages sent to the peers since the start."""
        return sum(link.sent_bytes for link in self._links.values())

    def list_methods(self) -> list[tuple[str, Handler]]:
        """Return the gRPC methods that the program's server must offer."""
        return [
            make_bidirectional_method(
                EXCHANGE_BATCHES, self.serve_peer, PeerBatch, PeerBatch
            )
        ]

    async def start(self) -> None:
        """Start timers and dial the peers."""
        self._ticker = asyncio.create_task(self._tick())
        self._started = True
        for link in self._links.values():
            link.start()
        self._step(Tick())

    def add_peer(self, address: PeerAddress) -> None:
        """Keep a stream to another replica too."""
        if address.name == self.name or address.name in self._links:
            return
        self._links[address.name] = self._build_link(address)
        self.node.add_peer(address.name)
        if self._started:
            self._links[address.name].start()

    async def stop(self) -> None:
        """End all streams and timers; hand over first for a planned stop."""
        if self._ticker is not None:
            self._ticker.cancel()
        await asyncio.gather(*(link.stop() for link in self._links.values()))
        self._pending_requests.fail_all()

    async def propose(self, command: bytes) -> bytes:
        """Commit a command and return what applying it gave."""
        token = self._make_token()
        self._step(CommandProposed(token=token, command=command))
        return await self._pending_requests.wait(token, QUORUM_TIMEOUT_S)

    async def confirm_read(self) -> None:
        """Wait until the local state holds all that was committed before."""
        token = self._make_token()
        self._step(ConfirmRead(token=token))
        await self._pending_requests.wait(token, QUORUM_TIMEOUT_S)

    def find_leader(self) -> str:
        """Return the name of the leader, or empty when not known."""
        leader = self.node.leader
        member = self.node.configuration.find_member(leader) if leader else None
        return member.name if member else ""

    def is_leader(self) -> bool:
        """Say whether this replica leads and no other can at present."""
        return self.failure is None and self.node.is_leader(
            self._clock.read_monotonic()
        )

    async def transfer_leadership(self, target: str = "") -> bool:
        """Hand over and say whether this replica no longer leads.

        Args:
            target: Name of the successor, or empty for the most advanced.
        """
        self._step(TransferLeadership(target=self._find_identity(target)))
        deadline = self._clock.read_monotonic() + QUORUM_TIMEOUT_S
        while self.node.leader == self.node.identity:
            if self._clock.read_monotonic() > deadline:
                return False
            await asyncio.sleep(TICK_INTERVAL_S)
        return True

    async def add_learner(self, name: str) -> None:
        """Let an empty replica that said hello get the log, without a vote."""
        hello = self.node.hellos.get(name)
        if hello is None:
            raise MembershipChangeRefusedError(reason=f"{name} has not said hello")
        token = self._make_token()
        self._step(AddLearner(token=token, identity=hello.sender, name=name))
        await self._pending_requests.wait(token, QUORUM_TIMEOUT_S)

    async def promote(self, name: str) -> None:
        """Give a learner that caught up its vote."""
        token = self._make_token()
        identity = self._find_identity(name)
        self._step(PromoteLearner(token=token, identity=identity))
        await self._pending_requests.wait(token, QUORUM_TIMEOUT_S)

    async def remove(self, name: str) -> None:
        """Take a replica out of the configuration."""
        token = self._make_token()
        self._step(RemoveMember(token=token, identity=self._find_identity(name)))
        await self._pending_requests.wait(token, QUORUM_TIMEOUT_S)

    def send_gossip(self, peer: str, gossip: bytes) -> None:
        """Send soft state to another replica; lost when there's no stream."""
        self._links[peer].send_gossip(gossip)

    def on_gossip(self, callback: Callable[[str, bytes], None]) -> None:
        """Have a callback get the soft state of others: their name, bytes."""
        self._gossip_callbacks.append(callback)

    def list_peers(self) -> list[str]:
        """Return the names of the other replicas with a stream at present."""
        return sorted(name for name, link in self._links.items() if link.is_open)

    def _build_link(self, address: PeerAddress) -> PeerLink:
        return PeerLink(
            own_name=self.name,
            peer=address,
            secret=self._secret,
            clock=self._clock,
            on_open=self._greet,
            on_batch=self._take_batch,
        )

    def _find_identity(self, name: str) -> str:
        for member in self.node.configuration.members:
            if member.name == name:
                return member.identity
        return name

    def _make_token(self) -> int:
        if self.failure is not None:
            raise QuorumLostError(waited_s=0.0)
        return self._pending_requests.register()

    async def serve_peer(self, stream: Stream[Any, Any]) -> None:
        """Exchange messages on a stream that a peer opened, until it ends."""
        first: PeerBatch | None = await stream.recv_message()
        if first is not None and first.name in self._links and not self.failure:
            self._take_batch(first.name, first)
            await self._links[first.name].exchange(stream)

    def _greet(self, peer: str) -> None:
        self._links[peer].send(encode_message(self.node.make_hello()))

    def _take_batch(self, peer: str, batch: PeerBatch) -> None:
        for data in batch.messages:
            message = decode_message(data)
            if message is not None:
                self._step(MessageReceived(message=message))
        for gossip in batch.gossip:
            for callback in self._gossip_callbacks:
                callback(peer, gossip)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._step(Tick())
            for link in self._links.values():
                link.tick()

    def _step(self, event: Event) -> None:
        if self.failure is not None:
            return
        self._driver.step(event, self._clock.read_monotonic())
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._carry_out)

    def _carry_out(self) -> None:
        """Carry out the actions of all events of this turn of the loop."""
        self._scheduled = False
        if self.failure is not None:
            return
        try:
            self._driver.execute_actions(self._clock.read_monotonic())
        except ConsensusError as error:
            self._fail(error)
            return
        self._pending_requests.release_reads(self._driver.applied_index)
        self._note_leader()
        self._note_members()

    def _note_members(self) -> None:
        configuration = self.node.configuration
        if configuration == self._configuration:
            return
        self._configuration = configuration
        own = configuration.find_member(self.node.identity)
        logger.info(
            "members changed",
            extra={
                "voters": [m.name for m in configuration.members if m.voter],
                "learners": [m.name for m in configuration.members if not m.voter],
                "votes": own is not None and own.voter,
                "cluster": configuration.cluster,
            },
        )

    def _note_leader(self) -> None:
        leading = self.node.leader == self.node.identity
        if self._leading and not leading:
            self._pending_requests.fail_all()
        if leading != self._leading:
            logger.info("leads=%s term=%d", leading, self.node.term)
        self._leading = leading

    def _fail(self, error: ConsensusError) -> None:
        logger.error("%s", error)
        self.failure = error
        self._pending_requests.fail_all()
        for link in self._links.values():
            link.disconnect()
        self._on_failure(error)


class _ReplicaOutputHandler(OutputHandler):
    """Sends a replica's messages over its links, answers its callers."""

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
        """Send a message to the peer that has the receiver's identity."""
        link = self._links.get(self._find_name(message.receiver))
        if link is not None:
            link.send(encode_message(message))

    def handle_outcome(self, outcome: Outcome) -> None:
        """Answer a caller, or note what it waits for now."""
        replica = self._replica
        self._pending_requests.handle_outcome(
            outcome, applied=replica.applied_index, leader=replica.find_leader()
        )

    def handle_applied(self, entry: Entry, result: bytes) -> None:
        """Answer the caller that proposed an entry, if it is here."""
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
