"""Measures three replicas in separate processes, on loopback, with fsync.

Run ``python -m bench.consensus FOLDER``; FOLDER must be on a real disk. It
prints commits per second with their latencies, the time without a leader
after a SIGKILL, the cost of idle replication, and restart times by log length.
"""

import asyncio
import json
import resource
import shutil
import signal
import socket
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.disk import DiskStorage
from carobspring.adapters.peer_link import PeerAddress
from carobspring.adapters.rpc import RpcService, build_server
from carobspring.ports import ReplicationError, StateMachine
from carobspring.programs.replica import Replica

COMMAND = b"x" * 200


class Counter(StateMachine):
    """A state machine that counts the applied commands."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.count += 1
        return b""

    def take_snapshot(self) -> bytes:
        return str(self.count).encode()

    def restore(self, snapshot: bytes) -> None:
        self.count = int(snapshot)


class ReplicaWorker:
    """One replica process with a JSON-lines request protocol on stdio."""

    def __init__(self, name: str, ports: dict[str, int], folder: Path) -> None:
        self._name = name
        self._peers = {
            peer: PeerAddress(name=peer, host="127.0.0.1", port=port)
            for peer, port in ports.items()
        }
        self._folder = folder
        self._machine = Counter()

    async def serve(self) -> None:
        started = time.perf_counter()
        replica = self._replica = Replica(
            name=self._name,
            peers=self._peers,
            bootstrap=True,
            storage=DiskStorage(self._folder),
            clock=SystemClock(),
            random=SystemRandom(),
            machine=self._machine,
            secret="bench",
            snapshot_every=10**9,
        )
        opened_s = time.perf_counter() - started
        server = build_server(
            services=[RpcService(replica.list_methods())], secret="bench"
        )
        await server.start("127.0.0.1", self._peers[self._name].port)
        await replica.start()
        print(json.dumps({"opened_s": opened_s}), flush=True)
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
        while line := await reader.readline():
            response = await self._handle_request(json.loads(line))
            print(json.dumps(response), flush=True)

    async def _handle_request(self, request: dict) -> object:
        if request["do"] == "load":
            return await self._load(request["seconds"], request["parallel"])
        if request["do"] == "write":
            await asyncio.gather(
                *(self._replica.propose(COMMAND) for _ in range(request["count"]))
            )
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "leads": self._replica.is_leader(),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "syncs": self._replica.sync_count,
            "count": self._machine.count,
            "rss_kb": usage.ru_maxrss,
            "sent_bytes": self._replica.sent_bytes,
        }

    async def _load(self, seconds: float, parallel: int) -> dict:
        delays: list[float] = []
        end = time.perf_counter() + seconds

        async def client() -> None:
            while time.perf_counter() < end:
                started = time.perf_counter()
                await self._replica.propose(COMMAND)
                delays.append(time.perf_counter() - started)

        syncs = self._replica.sync_count
        await asyncio.gather(*(client() for _ in range(parallel)))
        delays.sort()
        return {
            "parallel": parallel,
            "commits_per_s": round(len(delays) / seconds),
            "p50_ms": round(statistics.median(delays) * 1000, 2),
            "p99_ms": round(delays[int(len(delays) * 0.99)] * 1000, 2),
            "syncs_per_s": round((self._replica.sync_count - syncs) / seconds),
        }


class ClusterBench:
    """Starts, controls and kills the replica processes."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._ports: dict[str, int] = {}
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        for name in "abc":
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                self._ports[name] = probe.getsockname()[1]

    async def start(self, name: str) -> float:
        """Start a replica process; return the seconds to open its log."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.consensus",
            "worker",
            name,
            json.dumps(self._ports),
            str(self._folder / name),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self._processes[name] = process
        assert process.stdout is not None
        return json.loads(await process.stdout.readline())["opened_s"]

    async def send_request(self, name: str, **request: object) -> dict:
        process = self._processes[name]
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(json.dumps(request).encode() + b"\n")
        return json.loads(await process.stdout.readline())

    async def kill(self, name: str) -> None:
        process = self._processes.pop(name)
        process.send_signal(signal.SIGKILL)
        await process.wait()

    async def find_leader(self) -> str:
        while True:
            for name in list(self._processes):
                if (await self.send_request(name, do="status"))["leads"]:
                    return name
            await asyncio.sleep(0.01)

    async def run(self) -> None:
        """Run all measurements and print one line of JSON for each result."""
        for name in "abc":
            await self.start(name)
        leader = await self.find_leader()
        await self._measure_idle(10.0)
        for parallel in (1, 8, 64, 256):
            load = await self.send_request(
                leader, do="load", seconds=5, parallel=parallel
            )
            print(json.dumps({"load": load}), flush=True)
        await self._measure_failover(5)
        for name in list(self._processes):
            await self.kill(name)
        for count in (100, 1000, 10_000):
            await self._measure_restart(count)

    async def _measure_idle(self, seconds: float) -> None:
        before = {name: await self.send_request(name, do="status") for name in "abc"}
        await asyncio.sleep(seconds)
        for name in "abc":
            after = await self.send_request(name, do="status")
            share = (after["cpu_s"] - before[name]["cpu_s"]) / seconds
            leads = after["leads"]
            idle = {"leads": leads, "core_percent": round(share * 100, 2)}
            sent = after["sent_bytes"] - before[name]["sent_bytes"]
            idle["payload_bytes_per_s"] = round(sent / seconds)
            idle["rss_mb"] = round(after["rss_kb"] / 1024)
            print(json.dumps({"idle": idle}), flush=True)

    async def _measure_failover(self, rounds: int) -> None:
        leaderless_s = []
        for _ in range(rounds):
            leader = await self.find_leader()
            await self.kill(leader)
            started = time.perf_counter()
            await self.find_leader()
            leaderless_s.append(round(time.perf_counter() - started, 2))
            await self.start(leader)
            await asyncio.sleep(1.0)
        print(json.dumps({"without_leader_after_kill_s": leaderless_s}), flush=True)

    async def _measure_restart(self, count: int) -> None:
        for name in "abc":
            shutil.rmtree(self._folder / name, ignore_errors=True)
            await self.start(name)
        leader = await self.find_leader()
        for _ in range(0, count, 100):
            await self.send_request(leader, do="write", count=100)
        for name in "abc":
            await self.kill(name)
        open_s = await self.start("a")
        started = time.perf_counter()
        await self.start("b")
        leader = await self.find_leader()
        while (await self.send_request(leader, do="status"))["count"] < count:
            await asyncio.sleep(0.01)
        ready = time.perf_counter() - started
        restart = {"entries": count, "open_s": round(open_s, 3)}
        restart["until_all_applied_s"] = round(ready, 2)
        print(json.dumps({"restart": restart}), flush=True)
        for name in list(self._processes):
            await self.kill(name)


def main() -> None:
    run: Callable[[], Awaitable[None]]
    if sys.argv[1] == "worker":
        name, ports, folder = sys.argv[2:5]
        run = ReplicaWorker(name, json.loads(ports), Path(folder)).serve
    else:
        run = ClusterBench(Path(sys.argv[1])).run
    try:
        asyncio.run(run())  # type: ignore[arg-type]
    except (ReplicationError, KeyboardInterrupt) as error:
        sys.exit(str(error))


if __name__ == "__main__":
    main()
