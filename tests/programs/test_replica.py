"""Tests of replicas in one process, with real streams and disks."""

import asyncio
import shutil
import socket
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from grpclib.server import Server

from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.disk import DiskStorage
from carobspring.adapters.peer_link import PeerAddress
from carobspring.adapters.rpc import RpcService, build_server
from carobspring.consensus import ConsensusError, MembershipChangeRefusedError
from carobspring.ports import NotLeaderError, QuorumLostError, StorageError
from carobspring.programs.replica import Replica
from carobspring.protocol.peers import PeerBatch
from tests.consensus.simulation import ListMachine


class FullDisk(DiskStorage):
    """A disk without free space once ``full`` is set."""

    full = False

    def append(self, name: str, data: bytes) -> None:
        if self.full:
            raise StorageError(path=name, action="append to", reason="disk full")
        super().append(name, data)


class BlackholeProxy:
    """Forwards bytes until ``drop_traffic``; later connections work again."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._generation = 0
        self._writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(0.1)

    def drop_traffic(self) -> None:
        """Drop all further bytes of the current connections."""
        self._generation += 1

    async def _accept(self, reader, writer) -> None:
        try:
            pair = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            writer.close()
            return
        self._writers += [pair[1], writer]
        generation = self._generation
        await asyncio.gather(
            self._forward(reader, pair[1], generation),
            self._forward(pair[0], writer, generation),
        )

    async def _forward(self, reader, writer, generation: int) -> None:
        try:
            while data := await reader.read(65536):
                if generation == self._generation:
                    writer.write(data)
        except OSError:
            pass
        writer.close()


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.peers: dict[str, PeerAddress] = {}
        self.sockets: dict[str, socket.socket] = {}
        for name in "abc":
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(("127.0.0.1", 0))
            self.sockets[name] = listener
            port = listener.getsockname()[1]
            self.peers[name] = PeerAddress(name=name, host="127.0.0.1", port=port)
        self.replicas: dict[str, Replica] = {}
        self.machines: dict[str, ListMachine] = {}
        self.servers: dict[str, Server] = {}
        self.disks: dict[str, FullDisk] = {}
        self.failures: list[ConsensusError] = []

    async def asyncTearDown(self) -> None:
        for name in list(self.replicas):
            await self.stop(name)
        for listener in self.sockets.values():
            listener.close()

    async def start(self, name: str, peers: dict[str, PeerAddress] | None = None):
        self.disks[name] = FullDisk(self.directory / name)
        self.machines[name] = ListMachine()
        replica = Replica(
            name=name,
            peers=peers or self.peers,
            bootstrap=True,
            storage=self.disks[name],
            clock=SystemClock(),
            random=SystemRandom(),
            machine=self.machines[name],
            secret="secret",
            on_failure=self.failures.append,
        )
        server = build_server(
            services=[RpcService(replica.list_methods())], secret="secret"
        )
        await server.start(sock=self.sockets[name].dup())
        await replica.start()
        self.replicas[name] = replica
        self.servers[name] = server

    async def stop(self, name: str) -> None:
        replica = self.replicas.pop(name)
        self.servers[name].close()
        await replica.stop()
        await self.servers[name].wait_closed()
        self.disks[name].close()

    async def wait_for(self, condition: Callable[[], object]) -> None:
        async with asyncio.timeout(60):
            while not condition():
                await asyncio.sleep(0.02)

    def find_leader(self) -> Replica | None:
        for replica in self.replicas.values():
            if replica.is_leader():
                return replica
        return None

    async def wait_for_leader(self) -> Replica:
        await self.wait_for(self.find_leader)
        leader = self.find_leader()
        assert leader is not None
        return leader

    async def start_all(self) -> Replica:
        for name in "abc":
            await self.start(name)
        return await self.wait_for_leader()

    async def test_commands_and_reads(self) -> None:
        """A command returns its result; every replica reads it afterwards."""
        leader = await self.start_all()
        self.assertEqual(await leader.propose(b"x"), b"1")
        results = await asyncio.gather(*(leader.propose(b"y") for _ in range(50)))
        self.assertEqual(results, [b"%d" % number for number in range(2, 52)])
        for name, replica in self.replicas.items():
            await replica.confirm_read()
            self.assertEqual(self.machines[name].commands, [b"x"] + [b"y"] * 50)
            self.assertEqual(replica.find_leader(), leader.name)
            if replica is not leader:
                with self.assertRaises(NotLeaderError) as caught:
                    await replica.propose(b"z")
                self.assertEqual(caught.exception.leader, leader.name)
        with self.assertRaisesRegex(
            MembershipChangeRefusedError, "must hand over first"
        ):
            await leader.remove(leader.name)

    async def test_message_that_cannot_be_read(self) -> None:
        """A message that can't be read ends no stream, nor those behind it."""
        leader = await self.start_all()
        received: list[bytes] = []
        leader.on_gossip(lambda peer, gossip: received.append(gossip))
        opened = [link.opened_streams for link in leader._links.values()]
        peer = next(name for name in "abc" if name != leader.name)
        batch = PeerBatch(messages=(b"\x01\xff", b"\x01"), gossip=(b"state",))
        with self.assertLogs("carobspring.programs.replica", "ERROR") as logs:
            leader._handle_batch(peer, batch)
            leader._handle_batch(peer, batch)
        self.assertEqual(received, [b"state"] * 2)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(await leader.propose(b"x"), b"1")
        self.assertEqual(
            [link.opened_streams for link in leader._links.values()], opened
        )

    async def test_rolling_restart(self) -> None:
        """A rolling restart with leadership transfers keeps the state."""
        await self.start_all()
        for name in "abc":
            leader = await self.wait_for_leader()
            await leader.propose(name.encode())
            if self.replicas[name] is leader:
                self.assertIs(await leader.transfer_leadership(), True)
            await self.stop(name)
            await self.wait_for_leader()
            await self.start(name)
        await self.wait_for_leader()
        await self.wait_for(
            lambda: all(
                m.commands == [b"a", b"b", b"c"] for m in self.machines.values()
            )
        )

    async def test_erased_disk(self) -> None:
        """An erased replica gets a new identity, the state and a vote."""
        leader = await self.start_all()
        await leader.propose(b"x")
        name = next(name for name in "abc" if name != leader.name)
        lost = self.replicas[name].node.identity
        await self.stop(name)
        shutil.rmtree(self.directory / name)
        await self.start(name)
        node = self.replicas[name].node
        self.assertNotEqual(node.identity, lost)
        # The node's configuration changes before its actions, which write and
        # apply the same entries, are executed.
        await self.wait_for(
            lambda: node.configuration.is_voter(node.identity)
            and not self.replicas[name]._is_execution_scheduled
        )
        self.assertIsNone(node.configuration.find_member(lost))
        self.assertEqual(self.machines[name].commands, [b"x"])

    async def test_full_disk(self) -> None:
        """A leader with a full disk stops for good; a new one is elected."""
        leader = await self.start_all()
        await leader.propose(b"x")
        self.disks[leader.name].full = True
        with self.assertRaises(QuorumLostError):
            await leader.propose(b"y")
        self.assertEqual(len(self.failures), 1)
        self.assertRegex(str(self.failures[0]), "disk full")
        self.assertIs(leader.is_leader(), False)
        self.disks[leader.name].full = False
        with self.assertRaises(QuorumLostError):
            await leader.propose(b"y")
        other = await self.wait_for_leader()
        self.assertEqual(await other.propose(b"z"), b"2")

    async def test_silent_stream_and_gossip(self) -> None:
        """A silent stream is replaced, and gossip arrives again."""
        proxy = BlackholeProxy(self.peers["b"].port)
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        address = PeerAddress(name="b", host="127.0.0.1", port=proxy.port)
        await self.start("a", peers={**self.peers, "b": address})
        await self.start("b")
        await self.start("c")
        await self.wait_for_leader()
        received: list[tuple[str, bytes]] = []
        self.replicas["b"].on_gossip(lambda *pair: received.append(pair))
        await self.wait_for(lambda: "a" in self.replicas["b"].list_peers())

        async def send_gossip_until_received(expected: tuple[str, bytes]) -> None:
            async with asyncio.timeout(60):
                while expected not in received:
                    self.replicas["a"].send_gossip("b", expected[1])
                    await asyncio.sleep(0.05)

        await send_gossip_until_received(("a", b"one"))
        proxy.drop_traffic()
        await send_gossip_until_received(("a", b"two"))
