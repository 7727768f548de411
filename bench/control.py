"""Measures the control plane: propagation of changes, cost of streams.

``python -m bench.control spread`` starts three replicas and entries in three
zones as processes, makes changes one by one and prints two delays from the
acceptance of a change: until this process receives it on a stream from each
replica, and until every entry reports it as in force. The second delay
includes the interval of the entry's reports and the polling interval of this
script, so it is an upper bound.

``python -m bench.control streams`` starts one replica and simulates entries
and agents from this process, at three sizes, idle and with loads that change
every second. It prints the replica's CPU time and the bytes per second on its
streams, as the kernel counts them.
"""

import asyncio
import contextlib
import os
import random
import socket
import statistics
import struct
import sys
import time

import fire

from carobspring.control.reports import ChangeReport, ChangeRequestBody, StatusReport
from carobspring.domain import LatencyTarget, LoadReport, ServiceClass
from carobspring.operator import AdminClient
from carobspring.protocol import AgentReport, EntryReport
from carobspring.settings import Change
from standins.deployment import Deployment, RunningProgram
from tests.control.harness import (
    SECRET,
    StreamClient,
    make_server,
    open_agent,
    open_entry,
)

POLL_INTERVAL_S = 0.005
#: Time for the streams to become steady before measuring.
SETTLE_S = 4.0
#: Offset of tcpi_bytes_acked and tcpi_bytes_received in struct tcp_info.
TCP_INFO_OFFSET = 120
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def build_change_request(revision: int) -> ChangeRequestBody:
    """Return the change that leads to a revision from the one before."""
    chat = ServiceClass(name="chat", priority=revision % 100, target=LatencyTarget())
    return ChangeRequestBody(
        change_id=f"bench-{revision}",
        base_revision=revision - 1,
        changes=(Change(set_class=chat),),
    )


def format_distribution(name: str, times_s: list[float]) -> str:
    """Return a line with the median, p99 and maximum of the times."""
    ordered = sorted(times_s)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    median_ms = 1000 * statistics.median(ordered)
    return (
        f"{name:<34} n={len(ordered):<5} p50 {median_ms:7.1f} ms"
        f"  p99 {1000 * p99:7.1f} ms  max {1000 * ordered[-1]:7.1f} ms"
    )


async def measure_propagation(changes: int, entries: int) -> None:
    """Make changes one by one and print how fast they propagate."""
    zones = ["a", "b", "c"]
    async with Deployment() as deployment, contextlib.AsyncExitStack() as stack:
        deployment.secret = SECRET
        replicas = await deployment.start_controls(zones)
        for index in range(entries):
            await deployment.start_entry(f"e{index}", zones[index % len(zones)])
        client = AdminClient(
            addresses=(replicas[0].address("admin"),),
            token=deployment.operator_token,
        )
        streams = [
            await stack.enter_async_context(open_entry(replica.ports["rpc"]))
            for replica in replicas
        ]
        for stream in streams:
            await stream.wait_for(lambda update: update.complete)
        heartbeats = [
            asyncio.create_task(send_heartbeats(stream)) for stream in streams
        ]
        stack.callback(lambda: [heartbeat.cancel() for heartbeat in heartbeats])
        # The streams of this process report a zone of their own.
        await wait_for_zones(client, len(zones) + 1, 0)
        accepted, received, in_force = [], [], []
        for revision in range(1, changes + 1):
            started = time.monotonic()
            receivers = [
                asyncio.create_task(wait_for_revision(stream, revision))
                for stream in streams
            ]
            request = build_change_request(revision)
            await asyncio.to_thread(client.post, "/v1/changes", request, ChangeReport)
            answered = time.monotonic()
            accepted.append(answered - started)
            for receiver in receivers:
                received.append(max(0.0, await receiver - answered))
            await wait_for_zones(client, len(zones) + 1, revision)
            in_force.append(time.monotonic() - answered)
        print(f"{changes} changes, 3 replicas with fsync, {entries} entries")
        print(format_distribution("accepted, from the request", accepted))
        print(format_distribution("received on a stream, from then", received))
        print(format_distribution("reported in force everywhere", in_force))


async def send_heartbeats(stream: StreamClient) -> None:
    """Send a report every second; control closes a silent stream."""
    report = EntryReport(entry_id="probe", zone="probe", revision=2**31)
    while True:
        await stream.send(report)
        await asyncio.sleep(1.0)


async def wait_for_revision(stream: StreamClient, revision: int) -> float:
    """Wait until a stream delivers a revision; return the time."""
    await stream.wait_for(
        lambda update: update.settings and update.settings.revision >= revision
    )
    return time.monotonic()


async def wait_for_zones(client: AdminClient, zones: int, revision: int) -> None:
    """Wait until that many zones report a revision as in force."""
    while True:
        status = await asyncio.to_thread(client.get, "/v1/status", StatusReport)
        behind = [zone for zone in status.zones if zone.revision < revision]
        if len(status.zones) == zones and not behind:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


class SimulatedClients:
    """Simulated entries and agents that connect to one replica."""

    def __init__(self, *, port: int, entries: int, agents: int) -> None:
        self._entries = [open_entry(port) for _ in range(entries)]
        self._agents = [open_agent(port) for _ in range(agents)]
        self._generator = random.Random(1)
        self._sequence = 0

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Open every stream."""
        for client in (*self._entries, *self._agents):
            await stack.enter_async_context(client)

    async def send_reports(self, *, busy: bool, seconds: float) -> None:
        """Send a report from each client every second, evenly spaced."""
        deadline = time.monotonic() + seconds
        clients = [*enumerate(self._agents), *enumerate(self._entries)]
        while time.monotonic() < deadline:
            self._sequence += 1
            started = time.monotonic()
            for sent_count, (index, client) in enumerate(clients, 1):
                await client.send(self._build_report(index, client, busy))
                client.received.clear()
                delay_s = started + sent_count / len(clients) - time.monotonic()
                await asyncio.sleep(max(0.0, delay_s))

    def _build_report(self, index: int, client: StreamClient, busy: bool) -> object:
        if client in self._entries:
            return EntryReport(entry_id=f"e{index}", zone="a")
        running = self._generator.randrange(9) if busy else 0
        load = LoadReport(
            sequence=self._sequence,
            running=running,
            limit=8,
            running_by_priority={90: running, 10: 0},
            waiting_by_priority={
                90: self._generator.randrange(4) if busy else 0,
                10: 0,
            },
            service_ms=812.5 + running,
            first_token_ms=120.0,
            token_gap_ms=21.5,
        )
        return AgentReport(server=make_server(f"m{index}"), load=load)

    def count_received_bytes(self) -> tuple[int, int]:
        """Return the bytes that the replica sent to entries and to agents."""
        return (
            sum(read_tcp_counts(client)[1] for client in self._entries),
            sum(read_tcp_counts(client)[1] for client in self._agents),
        )

    def count_sent_bytes(self) -> int:
        """Return the bytes of all clients that the replica acknowledged."""
        clients = [*self._entries, *self._agents]
        return sum(read_tcp_counts(client)[0] for client in clients)


def read_tcp_counts(client: StreamClient) -> tuple[int, int]:
    """Return the bytes acknowledged and received on a client's connection."""
    protocol = client._channel._protocol
    assert protocol is not None
    transport = protocol.connection._transport
    raw = transport.get_extra_info("socket").getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_OFFSET + 16
    )
    acknowledged, received = struct.unpack_from("QQ", raw, TCP_INFO_OFFSET)
    return acknowledged, received


def read_cpu_s(program: RunningProgram) -> float:
    """Return the CPU time that a process has used, in seconds."""
    with open(f"/proc/{program.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_mb(program: RunningProgram) -> float:
    """Return the resident memory of a process, in megabytes."""
    with open(f"/proc/{program.pid}/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure_streams(sizes: list[tuple[int, int]], seconds: float) -> None:
    """Print the cost of the streams for one replica, by size and load."""
    print("entries agents load   cpu ms/s  to entry B/s  to agent B/s  in B/s  RSS MB")
    for entries, agents in sizes:
        for busy in (False, True):
            async with Deployment() as deployment, contextlib.AsyncExitStack() as stack:
                deployment.secret = SECRET
                control = await deployment.start_control()
                clients = SimulatedClients(
                    port=control.ports["rpc"], entries=entries, agents=agents
                )
                await clients.open(stack)
                await clients.send_reports(busy=busy, seconds=SETTLE_S)
                started, cpu_before_s = time.monotonic(), read_cpu_s(control)
                to_entries, to_agents = clients.count_received_bytes()
                sent_before = clients.count_sent_bytes()
                await clients.send_reports(busy=busy, seconds=seconds)
                elapsed = time.monotonic() - started
                cpu_ms_per_s = 1000 * (read_cpu_s(control) - cpu_before_s) / elapsed
                each_entry = (
                    (clients.count_received_bytes()[0] - to_entries) / elapsed / entries
                )
                each_agent = (
                    (clients.count_received_bytes()[1] - to_agents) / elapsed / agents
                )
                received_per_s = (clients.count_sent_bytes() - sent_before) / elapsed
                load_label = "busy" if busy else "idle"
                resident = read_resident_mb(control)
                print(
                    f"{entries:7d} {agents:6d} {load_label}  {cpu_ms_per_s:9.1f}  "
                    f"{each_entry:12.0f}  {each_agent:12.0f}  {received_per_s:6.0f}  "
                    f"{resident:6.1f}",
                    flush=True,
                )


def spread(changes: int = 50, entries: int = 6) -> None:
    """Measure how fast changes propagate."""
    asyncio.run(measure_propagation(changes, entries))


def streams(seconds: float = 10.0) -> None:
    """Measure the cost of streams at three sizes."""
    asyncio.run(measure_streams([(20, 30), (40, 60), (80, 120)], seconds))


if __name__ == "__main__":
    print(f"python {sys.version.split()[0]}, {os.cpu_count()} cores")
    fire.Fire({"spread": spread, "streams": streams})
