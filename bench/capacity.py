"""Measures how the cost of each role grows with the size of a deployment.

Run as ``python -m bench.capacity``. At each size it starts one control
replica, entries and agents (all agents share one simulated runner), leaves
them idle, then changes the settings at a fixed rate. For each role it prints
the mean per program of CPU time, bytes on the streams to control and resident
memory.
"""

import asyncio
import dataclasses
import json
import os
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from bench.processes import read_cpu_s, read_resident_mb
from carobspring.domain import LatencyTarget, ServiceClass
from carobspring.settings import Change
from standins.deployment import (
    LOOPBACK,
    Deployment,
    RunningProgram,
    open_client,
    wait_until,
)
from standins.link import Link
from standins.programs import parse_options
from standins.setup import apply_settings, send_changes

TARGET = LatencyTarget(first_token_ms=500)
#: Pause after the start before the idle measurement.
SETTLE_S = 5.0
#: Number of agents that are started in parallel.
START_BATCH_SIZE = 10
BYTES_PER_KB = 1024


@dataclass(frozen=True, kw_only=True)
class CapacityOptions:
    """The flags of the capacity benchmark; lists are separated by commas."""

    agents: str = "10,20,40"
    entries: str = "2"
    workspaces: str = "10"
    #: Length of each measurement in seconds.
    duration_s: float = 10.0
    changes_per_s: float = 1.0
    json: str = ""


@dataclass(frozen=True, kw_only=True)
class RoleCost:
    """The mean cost of one program of a role."""

    #: CPU time used per second.
    core_share: float
    #: Both directions of its stream to control; for control, all streams.
    stream_kb_per_s: float
    resident_mb: float


@dataclass(frozen=True, kw_only=True)
class SizeResult:
    """Costs at one size, idle and while the settings change."""

    agents: int
    entries: int
    workspaces: int
    changes_per_s: float
    load_average: float
    idle: Mapping[str, RoleCost]
    changing: Mapping[str, RoleCost]
    #: Longest time from sending a change until every entry applies it.
    in_force_s: float


class SizedDeployment:
    """A deployment of one size, with its programs grouped by role."""

    def __init__(
        self, *, deployment: Deployment, agents: int, entries: int, workspaces: int
    ) -> None:
        self._deployment = deployment
        self._sizes = (agents, entries, workspaces)
        self._revision = 0
        self.roles: dict[str, list[RunningProgram]] = {}
        self._links: dict[str, Link] = {}

    async def start(self) -> None:
        """Start all programs and wait until control lists every agent."""
        agents, entries, workspaces = self._sizes
        control = await self._deployment.start_control()
        for role in ("entry", "agent"):
            link = Link(target_host=LOOPBACK, target_port=control.ports["rpc"])
            await link.start()
            self._links[role] = link
        runner = await self._deployment.start_runner()
        self.roles = {"control": [control], "entry": [], "agent": []}
        self._connect_through("entry")
        for index in range(entries):
            entry = await self._deployment.start_entry(f"e{index}")
            self.roles["entry"].append(entry)
        self._connect_through("agent")
        for start in range(0, agents, START_BATCH_SIZE):
            batch = range(start, min(start + START_BATCH_SIZE, agents))
            started = await asyncio.gather(
                *(
                    self._deployment.start_agent(f"runner-{index}", runner)
                    for index in batch
                )
            )
            self.roles["agent"] += started
        await apply_settings(
            self._deployment,
            classes=[ServiceClass(name="chat", priority=90, target=TARGET)],
            workspaces={f"workspace-{index}": "chat" for index in range(workspaces)},
            plain_services={},
        )
        self._revision = 1
        await wait_until(self._has_all_agents, "control lists every agent")

    def _connect_through(self, role: str) -> None:
        """Make programs started from now on reach control through a link.

        The link of the role counts the bytes of its streams.
        """
        port = self._links[role].port
        self._deployment.controls = [f"{LOOPBACK}:{port}"]

    async def _has_all_agents(self) -> bool:
        return (await self._deployment.run_carobctl("status")).count(
            "runner-"
        ) >= self._sizes[0]

    async def measure(self, duration_s: float) -> dict[str, RoleCost]:
        """Return the mean cost of a program of each role."""
        before = {role: self._read_usage(role) for role in self.roles}
        await asyncio.sleep(duration_s)
        return {
            role: compute_cost(
                before[role], self._read_usage(role), programs, duration_s
            )
            for role, programs in self.roles.items()
        }

    def _read_usage(self, role: str) -> tuple[float, int]:
        """Return the CPU seconds and stream bytes of a role so far."""
        links = self._links.values() if role == "control" else [self._links[role]]
        stream_bytes = sum(link.received_bytes for link in links)
        return (
            sum(read_cpu_s(program.pid) for program in self.roles[role]),
            stream_bytes,
        )

    async def close(self) -> None:
        """Close the links."""
        for link in self._links.values():
            await link.close()

    async def change_settings(self, duration_s: float, changes_per_s: float) -> float:
        """Change the settings at a rate.

        Returns the longest time until a change was in force at every entry.
        """
        longest = 0.0
        loop = asyncio.get_running_loop()
        deadline = loop.time() + duration_s
        async with open_client() as client:
            while changes_per_s and loop.time() < deadline:
                started = loop.time()
                name = f"class-{self._revision % 7}"
                service_class = ServiceClass(name=name, priority=1, target=TARGET)
                self._revision = await send_changes(
                    self._deployment,
                    [Change(set_class=service_class)],
                    base_revision=self._revision,
                )
                for entry in self.roles["entry"]:
                    await wait_until(
                        lambda url=entry.url(): self._is_in_force(  # type: ignore[misc]
                            client, url
                        ),
                        "the change is in force",
                    )
                elapsed_s = loop.time() - started
                longest = max(longest, elapsed_s)
                await asyncio.sleep(max(1 / changes_per_s - elapsed_s, 0))
        return longest

    async def _is_in_force(self, client, url: str) -> bool:  # type: ignore
        async with client.get(f"{url}/readyz") as response:
            return bool((await response.json())["revision"] >= self._revision)


def compute_cost(
    before: tuple[float, int],
    after: tuple[float, int],
    programs: Sequence[RunningProgram],
    duration_s: float,
) -> RoleCost:
    """Return the mean cost of a program between two usage readings."""
    scale = 1 / (duration_s * len(programs))
    return RoleCost(
        core_share=(after[0] - before[0]) * scale,
        stream_kb_per_s=(after[1] - before[1]) * scale / BYTES_PER_KB,
        resident_mb=statistics.mean(
            read_resident_mb(program.pid) for program in programs
        ),
    )


async def measure_size(
    options: CapacityOptions, *, agents: int, entries: int, workspaces: int
) -> SizeResult:
    """Measure a deployment of one size."""
    async with Deployment() as deployment:
        sized = SizedDeployment(
            deployment=deployment,
            agents=agents,
            entries=entries,
            workspaces=workspaces,
        )
        await sized.start()
        await asyncio.sleep(SETTLE_S)
        idle = await sized.measure(options.duration_s)
        changing, in_force_s = await asyncio.gather(
            sized.measure(options.duration_s),
            sized.change_settings(options.duration_s, options.changes_per_s),
        )
        await sized.close()
        return SizeResult(
            agents=agents,
            entries=entries,
            workspaces=workspaces,
            changes_per_s=options.changes_per_s,
            load_average=os.getloadavg()[0],
            idle=idle,
            changing=changing,
            in_force_s=in_force_s,
        )


def main() -> None:
    """Run the capacity benchmark at each size."""
    options = parse_options(CapacityOptions)
    results = []
    for agents in map(int, options.agents.split(",")):
        for entries in map(int, options.entries.split(",")):
            for workspaces in map(int, options.workspaces.split(",")):
                result = asyncio.run(
                    measure_size(
                        options, agents=agents, entries=entries, workspaces=workspaces
                    )
                )
                results.append(dataclasses.asdict(result))
                print(json.dumps(results[-1]), flush=True)
    if options.json:
        Path(options.json).write_text(json.dumps(results, indent=1) + os.linesep)


if __name__ == "__main__":
    main()
