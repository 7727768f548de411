"""The replica of a control daemon that discovers its peers at run time."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any, Final

from grpclib.const import Handler
from grpclib.server import Stream

from carobspring.adapters.disk import DiskStorage
from carobspring.adapters.paths import EXCHANGE_BATCHES
from carobspring.adapters.peer_link import PeerAddress
from carobspring.adapters.rpc import make_bidirectional_method
from carobspring.adapters.tasks import start_task
from carobspring.consensus import ConsensusError, JournalFailedError, Timing
from carobspring.control import ControlMachine, GossipTransport
from carobspring.domain import parse_address
from carobspring.ports import Clock, NotLeaderError, RandomSource, ReplicatedLog
from carobspring.programs.replica import Replica
from carobspring.protocol.peers import PeerBatch

#: Entries between two snapshots, and entries kept after one. Both are low
#: because a configuration may take tens of kilobytes and the disks are small.
SNAPSHOT_EVERY: Final = 64
KEPT_ENTRIES: Final = 16
#: Seconds until a replica that failed to write to its disk is opened again.
REOPEN_INTERVAL_S: Final = 1.0

logger = logging.getLogger(__name__)


def parse_peer_address(name: str) -> PeerAddress:
    """Return the address of a replica whose name is its gRPC address."""
    address = parse_address("replica", name)
    return PeerAddress(name=name, host=address.host, port=address.port)


class ReplicaSupervisor(ReplicatedLog, GossipTransport):
    """Starts the replica when its peers are known and after disk failures.

    A replica that failed to write to its disk acknowledges nothing more. While
    the process continues, the replica is reopened from the content of the disk
    until that succeeds.
    """

    def __init__(
        self,
        *,
        name: str,
        storage: DiskStorage,
        clock: Clock,
        random: RandomSource,
        machine: ControlMachine,
        secret: str,
        timing: Timing,
    ) -> None:
        self.name = name
        self._timing = timing
        self._storage = storage
        self._clock = clock
        self._random = random
        self._machine = machine
        self._secret = secret
        self._replica: Replica | None = None
        self._peers: dict[str, PeerAddress] = {}
        self._bootstrap = False
        self._gossip_callbacks: list[Callable[[str, bytes], None]] = []
        self._open_callbacks: list[Callable[[str], None]] = []
        self._reopen_task: asyncio.Task[None] | None = None

    @property
    def is_started(self) -> bool:
        """Whether there is a replica, or one that is being reopened."""
        return self._replica is not None or self._reopen_task is not None

    @property
    def replica(self) -> Replica | None:
        """The current replica, or None before the start or while reopening."""
        return self._replica

    @property
    def applied_index(self) -> int:
        """The index of the last applied entry; zero without a replica."""
        return self._replica.applied_index if self._replica is not None else 0

    def list_methods(self) -> list[tuple[str, Handler]]:
        """Return the gRPC methods that the program's server must offer."""
        return [
            make_bidirectional_method(
                EXCHANGE_BATCHES, self._serve_peer, PeerBatch, PeerBatch
            )
        ]

    async def start(self, *, peers: Iterable[str], bootstrap: bool) -> None:
        """Open the replica; the initial members are among the peers.

        While the disk refuses it, that is tried again in the background.
        """
        self._bootstrap = bootstrap
        self._peers = {name: parse_peer_address(name) for name in peers}
        try:
            await self._open()
        except JournalFailedError as error:
            self._handle_failure(error)

    def add_peers(self, names: Iterable[str]) -> None:
        """Add peers and keep streams to them."""
        for name in names:
            if name != self.name and name not in self._peers:
                self._peers[name] = parse_peer_address(name)
                if self._replica is not None:
                    self._replica.add_peer(self._peers[name])

    def list_members(self) -> tuple[str, ...]:
        """Return the names of the replicas in the log's configuration."""
        if self._replica is None:
            return ()
        members = self._replica.node.configuration.members
        return tuple(sorted({member.name for member in members}))

    async def stop(self) -> None:
        """Transfer leadership, let a spare take over, and end all streams."""
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        replica = self._replica
        if replica is not None:
            if replica.is_leader() and len(self._peers) > 1:
                is_transferred = await replica.transfer_leadership()
                logger.info("leadership transferred", extra={"done": is_transferred})
            await replica.leave()
            await replica.stop()

    async def propose(self, command: bytes) -> bytes:
        """Commit a command and return the result of applying it."""
        return await self._require_replica().propose(command)

    async def confirm_read(self) -> None:
        """Wait until the local state includes all earlier commits."""
        await self._require_replica().confirm_read()

    def find_leader(self) -> str:
        """Return the name of the leader, or empty if it is unknown."""
        return self._replica.find_leader() if self._replica is not None else ""

    def is_leader(self) -> bool:
        """Return whether this replica leads and no other one can lead now."""
        return self._replica is not None and self._replica.is_leader()

    def is_current(self) -> bool:
        """Return whether the state here has all that the quorum committed."""
        replica = self._replica
        if replica is None or replica.failure is not None:
            return False
        return replica.node.is_current(self._clock.read_monotonic())

    def find_leading_term(self) -> int | None:
        """Return the term that this replica leads, up to date, or None."""
        replica = self._replica
        if replica is None or not replica.is_leader() or not self.is_current():
            return None
        return replica.node.term

    def list_peers(self) -> list[str]:
        """Return the names of the other replicas with an open stream."""
        return self._replica.list_peers() if self._replica is not None else []

    def list_heard_peers(self) -> list[str]:
        """Return the names of the other replicas that were lately heard."""
        return self._replica.list_heard_peers() if self._replica is not None else []

    def send_gossip(self, peer: str, gossip: bytes) -> None:
        """Send gossip to another replica; it is lost if no stream is open."""
        if self._replica is not None:
            self._replica.send_gossip(peer, gossip)

    def on_gossip(self, callback: Callable[[str, bytes], None]) -> None:
        """Add a callback that receives each sender's name and gossip."""
        self._gossip_callbacks.append(callback)

    def on_open(self, callback: Callable[[str], None]) -> None:
        """Add a callback that receives the peer's name of each new stream."""
        self._open_callbacks.append(callback)

    def _require_replica(self) -> Replica:
        if self._replica is None:
            raise NotLeaderError(leader="")
        return self._replica

    async def _open(self) -> None:
        replica = Replica(
            name=self.name,
            peers=self._peers,
            bootstrap=self._bootstrap,
            storage=self._storage,
            clock=self._clock,
            random=self._random,
            machine=self._machine,
            secret=self._secret,
            snapshot_every=SNAPSHOT_EVERY,
            kept_entries=KEPT_ENTRIES,
            timing=self._timing,
            rejoins=True,
            on_failure=self._handle_failure,
        )
        for member in replica.node.configuration.members:
            if member.name not in self._peers:
                self._peers[member.name] = parse_peer_address(member.name)
                replica.add_peer(self._peers[member.name])
        for callback in self._gossip_callbacks:
            replica.on_gossip(callback)
        for handle_open in self._open_callbacks:
            replica.on_open(handle_open)
        try:
            await replica.start()
        except BaseException:
            await replica.stop()
            raise
        self._replica = replica
        logger.info(
            "replica opened",
            extra={
                "replica": self.name,
                "peers": sorted(self._peers),
                "founding": self._bootstrap,
                "applied": replica.applied_index,
                "term": replica.node.term,
            },
        )

    def _handle_failure(self, error: ConsensusError) -> None:
        logger.error("replica failed", extra={"error": str(error)})
        if self._reopen_task is None:
            self._reopen_task = start_task(self._reopen(), name="reopen replica")

    async def _reopen(self) -> None:
        """Open the replica again and again until one is in use.

        Whatever one attempt raises must not end the attempts, since nothing
        else would begin them anew while the process runs.
        """
        try:
            while not self._is_usable:
                failed, self._replica = self._replica, None
                try:
                    if failed is not None:
                        await failed.stop()
                    await asyncio.sleep(REOPEN_INTERVAL_S)
                    self._storage.close_files()
                    self._machine.reset()
                    await self._open()
                except ConsensusError as error:
                    extra = {"error": str(error)}
                    logger.error("replica cannot be opened", extra=extra)
                except Exception:
                    logger.exception("replica cannot be opened")
        finally:
            self._reopen_task = None

    @property
    def _is_usable(self) -> bool:
        return self._replica is not None and self._replica.failure is None

    async def _serve_peer(self, stream: Stream[Any, Any]) -> None:
        if self._replica is not None:
            await self._replica.serve_peer(stream)
