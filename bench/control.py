"""Measures the control plane: spread of changes, and what its streams cost.

``python -m bench.control spread`` starts three replicas and entries in three
zones as processes, makes changes one by one, and says how long after its
acceptance each change was received on a stream of this process to each
replica, and reported as in force by every entry. The latter holds the entry's
report and the poll of this script, so it is an upper bound.

``python -m bench.control streams`` starts one replica and plays entries and
agents to it from this process, at three sizes, idle and with loads that change
each second; it says the replica's processor time and the bytes on its streams
a second, by the kernel's counts.
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

POLL_S = 0.005
SETTLE_S = 4.0
#: Offset of tcpi_bytes_acked and tcpi_bytes_received in struct tcp_info.
TCP_INFO_OFFSET = 120
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def build_change_request(number: int) -> ChangeRequestBody:
    """Return a change that builds on the revision before its number."""
    chat = ServiceClass(name="chat", priority=number % 100, target=LatencyTarget())
    return ChangeRequestBody(
        change_id=f"bench-{number}",
        base_revision=number - 1,
        changes=(Change(set_class=chat),),
    )


def format_distribution(name: str, times_s: list[float]) -> str:
    """Return a line with the median, p99 and largest of times."""
    ordered = sorted(times_s)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    median_ms = 1000 * statistics.median(ordered)
    return (
        f"{name:<34} n={len(ordered):<5} p50 {median_ms:7.1f} ms"
        f"  p99 {1000 * p99:7.1f} ms  max {1000 * ordered[-1]:7.1f} ms"
    )


async def measure_propagation(changes: int, entries: int) -> None:
    """Make changes one by one and print how fast they spread."""
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
        beats = [asyncio.create_task(send_heartbeats(stream)) for stream in streams]
        stack.callback(lambda: [beat.cancel() for beat in beats])
        # The zone of this process comes on top of the entries' zones.
        await wait_for_zones(client, len(zones) + 1, 0)
        accepted, received, in_force = [], [], []
        for number in range(1, changes + 1):
            started = time.monotonic()
            watches = [
                asyncio.create_task(wait_for_revision(stream, number))
                for stream in streams
            ]
            order = build_change_request(number)
            await asyncio.to_thread(client.post, "/v1/changes", order, ChangeReport)
            answered = time.monotonic()
            accepted.append(answered - started)
            for watch in watches:
                received.append(max(0.0, await watch - answered))
            await wait_for_zones(client, len(zones) + 1, number)
            in_force.append(time.monotonic() - answered)
        print(f"{changes} changes, 3 replicas with fsync, {entries} entries")
        print(format_distribution("accepted, from the request", accepted))
        print(format_distribution("received on a stream, from then", received))
        print(format_distribution("reported in force everywhere", in_force))


async def send_heartbeats(stream: StreamClient) -> None:
    """Report each second, as a stream that is silent is ended."""
    report = EntryReport(entry_id="probe", zone="probe", revision=2**31)
    while True:
        await stream.send(report)
        await asyncio.sleep(1.0)


async def wait_for_revision(stream: StreamClient, revision: int) -> float:
    """Return when a stream had brought a revision."""
    await stream.wait_for(
        lambda update: update.settings and update.settings.revision >= revision
    )
    return time.monotonic()


async def wait_for_zones(client: AdminClient, zones: int, revision: int) -> None:
    """Return when that many zones report a revision as in force."""
    while True:
        status = await asyncio.to_thread(client.get, "/v1/status", StatusReport)
        behind = [zone for zone in status.zones if zone.revision < revision]
        if len(status.zones) == zones and not behind:
            return
        await asyncio.sleep(POLL_S)


class SimulatedClients:
    """Entries and agents that this process plays to one replica."""

    def __init__(self, *, port: int, entries: int, agents: int) -> None:
        self._entries = [open_entry(port) for _ in range(entries)]
        self._agents = [open_agent(port) for _ in range(agents)]
        self._draw = random.Random(1)
        self._sequence = 0

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Open every stream."""
        for client in (*self._entries, *self._agents):
            await stack.enter_async_context(client)

    async def send_reports(self, *, busy: bool, seconds: float) -> None:
        """Report from everyone each second, spread over the second."""
        until = time.monotonic() + seconds
        clients = [*enumerate(self._agents), *enumerate(self._entries)]
        while time.monotonic() < until:
            self._sequence += 1
            started = time.monotonic()
            for done, (index, client) in enumerate(clients, 1):
                await client.send(self._make_report(index, client, busy))
                client.received.clear()
                left = started + done / len(clients) - time.monotonic()
                await asyncio.sleep(max(0.0, left))

    def _make_report(self, index: int, client: StreamClient, busy: bool) -> object:
        if client in self._entries:
            return EntryReport(entry_id=f"e{index}", zone="a")
        running = self._draw.randrange(9) if busy else 0
        load = LoadReport(
            sequence=self._sequence,
            running=running,
            limit=8,
            running_by_priority={90: running, 10: 0},
            waiting_by_priority={90: self._draw.randrange(4) if busy else 0, 10: 0},
            service_ms=812.5 + running,
            first_token_ms=120.0,
            token_gap_ms=21.5,
        )
        return AgentReport(server=make_server(f"m{index}"), load=load)

    def count_received_bytes(self) -> tuple[int, int]:
        """Return the bytes received from entries' and agents' streams.

        Both are seen from this side: what the replica sent, all streams.
        """
        return (
            sum(read_tcp_counts(client)[1] for client in self._entries),
            sum(read_tcp_counts(client)[1] for client in self._agents),
        )

    def count_sent_bytes(self) -> int:
        """Return the bytes that this side sent and the replica took."""
        clients = [*self._entries, *self._agents]
        return sum(read_tcp_counts(client)[0] for client in clients)


def read_tcp_counts(client: StreamClient) -> tuple[int, int]:
    """Return the bytes sent and received on a client's connection."""
    protocol = client._channel._protocol
    assert protocol is not None
    transport = protocol.connection._transport
    raw = transport.get_extra_info("socket").getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_OFFSET + 16
    )
    acknowledged, received = struct.unpack_from("QQ", raw, TCP_INFO_OFFSET)
    return acknowledged, received


def read_cpu_s(program: RunningProgram) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{program.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_mb(program: RunningProgram) -> float:
    """Return the resident memory of a process."""
    with open(f"/proc/{program.pid}/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure_streams(sizes: list[tuple[int, int]], seconds: float) -> None:
    """Print what one replica spends on streams, by size and load."""
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
                began, used = time.monotonic(), read_cpu_s(control)
                to_entries, to_agents = clients.count_received_bytes()
                taken = clients.count_sent_bytes()
                await clients.send_reports(busy=busy, seconds=seconds)
                elapsed = time.monotonic() - began
                spent = 1000 * (read_cpu_s(control) - used) / elapsed
                each_entry = (
                    (clients.count_received_bytes()[0] - to_entries) / elapsed / entries
                )
                each_agent = (
                    (clients.count_received_bytes()[1] - to_agents) / elapsed / agents
                )
                inward = (clients.count_sent_bytes() - taken) / elapsed
                word = "busy" if busy else "idle"
                resident = read_resident_mb(control)
                print(
                    f"{entries:7d} {agents:6d} {word}  {spent:9.1f}  "
                    f"{each_entry:12.0f}  {each_agent:12.0f}  {inward:6.0f}  "
                    f"{resident:6.1f}",
                    flush=True,
                )


def spread(changes: int = 50, entries: int = 6) -> None:
    """Measure how fast changes spread."""
    asyncio.run(measure_propagation(changes, entries))


def streams(seconds: float = 10.0) -> None:
    """Measure what streams cost at three sizes."""
    asyncio.run(measure_streams([(20, 30), (40, 60), (80, 120)], seconds))


if __name__ == "__main__":
    print(f"python {sys.version.split()[0]}, {os.cpu_count()} cores")
    fire.Fire({"spread": spread, "streams": streams})
