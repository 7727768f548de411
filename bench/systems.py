"""Starts the systems that the load benchmark compares."""

import asyncio
import subprocess
import tempfile
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from bench.profiles import Profile
from standins.deployment import Deployment, RunningProgram
from standins.setup import apply_settings, wait_for_model

#: Delay of the load that a simulated runner reports.
LOAD_REPORT_DELAY_MS = 500


class System(ABC):
    """A running system: its entry URLs, API keys and backend servers."""

    def __init__(self, *, deployment: Deployment, profile: Profile) -> None:
        self.deployment = deployment
        self.profile = profile
        self.entries: list[str] = []
        self.keys: dict[str, str] = {}
        self.runners: list[RunningProgram] = []
        self.plain_servers: list[RunningProgram] = []

    async def start(self) -> None:
        """Start the backend servers, then the programs that route to them."""
        speed = self.profile.speed
        self.runners = await asyncio.gather(
            *(
                self.deployment.start_runner(
                    models=self.profile.model,
                    slots=speed.slots,
                    token_ms=speed.token_ms,
                    crowding=speed.crowding,
                    load_lag_ms=LOAD_REPORT_DELAY_MS,
                )
                for _ in range(self.profile.runners)
            )
        )
        self.plain_servers = await asyncio.gather(
            *(
                self.deployment.start_booking_service(work_ms=20)
                for _ in range(self.profile.plain_servers)
            )
        )
        await self.start_routers()

    @abstractmethod
    async def start_routers(self) -> None:
        """Start the programs that callers send requests to."""

    async def count_tokens(self, client: aiohttp.ClientSession) -> list[int]:
        """Return the tokens that each runner has generated.

        A runner whose process has exited counts as 0.
        """
        return list(
            await asyncio.gather(
                *(self._count_tokens(client, runner) for runner in self.runners)
            )
        )

    async def _count_tokens(
        self, client: aiohttp.ClientSession, runner: RunningProgram
    ) -> int:
        if runner.returncode is not None:
            return 0
        async with client.get(f"{runner.url()}/standin/counters") as response:
            return int((await response.json())["generated_tokens"])


class CarobSystem(System):
    """The control replica, entries and agents of the current checkout."""

    async def start_routers(self) -> None:
        """Start control, agents and an entry per zone; apply the settings."""
        zones = self.profile.zones
        await self.deployment.start_control(zone=zones[0])
        entries = await asyncio.gather(*(self._start_entry(zone) for zone in zones))
        starts = [
            self.deployment.start_agent(
                f"runner-{index}",
                runner,
                zones[index % len(zones)],
                service=self.profile.model_service,
                models=self.profile.model,
                slots=self.profile.speed.slots,
            )
            for index, runner in enumerate(self.runners)
        ]
        starts += [
            self.deployment.start_agent(
                f"desk-{index}",
                plain_server,
                zones[index % len(zones)],
                service=self.profile.plain_service,
                kind="plain",
                models="",
                slots=16,
            )
            for index, plain_server in enumerate(self.plain_servers)
        ]
        await asyncio.gather(*starts)
        self.keys = await apply_settings(
            self.deployment,
            classes=[load.service_class for load in self.profile.classes],
            workspaces={
                name: self.profile.classes[0].name for name in self.profile.workspaces
            },
            plain_services={
                self.profile.plain_service: [self.profile.unrepeatable_path]
            },
        )
        self.entries = [entry.url() for entry in entries]
        key = next(iter(self.keys.values()))
        for entry in self.entries:
            await wait_for_model(entry, key=key, model=self.profile.model)

    async def _start_entry(self, zone: str) -> RunningProgram:
        return await self.deployment.start_entry(
            f"e-{zone}",
            zone,
            module="standins.delayed_entry",
            zone_delay_ms=self.profile.zone_delay_ms,
            zone_jitter_ms=self.profile.zone_jitter_ms,
        )


class CheckoutSystem(CarobSystem):
    """The same programs checked out from an earlier commit.

    The entries of that commit can't simulate the delay between zones.
    """

    async def _start_entry(self, zone: str) -> RunningProgram:
        return await self.deployment.start_entry(f"e-{zone}", zone)


class BaselineSystem(System):
    """The baseline router: first come, first served, round robin."""

    async def start_routers(self) -> None:
        """Start the baseline router."""
        flags = {
            "models": ",".join(runner.url() for runner in self.runners),
            "plain": ",".join(
                plain_server.url() for plain_server in self.plain_servers
            ),
        }
        router = await self.deployment.start("bench.baseline", flags)
        self.entries = [router.url()]


SYSTEMS: dict[str, type[System]] = {
    "carob": CarobSystem,
    "thin": CheckoutSystem,
    "baseline": BaselineSystem,
}


@asynccontextmanager
async def open_system(
    name: str, profile: Profile, thin_commit: str = ""
) -> AsyncIterator[System]:
    """Start a system by name: carob, thin or baseline.

    The system ``thin`` runs the programs of ``thin_commit``.
    """
    with tempfile.TemporaryDirectory(prefix="carob-thin-") as folder:
        source = None
        if name == "thin":
            source = Path(folder) / "tree"
            await asyncio.to_thread(check_out, thin_commit, source)
        system_type = SYSTEMS[name]
        try:
            async with Deployment(source=source) as deployment:
                system = system_type(deployment=deployment, profile=profile)
                await system.start()
                yield system
        finally:
            if source is not None:
                run_git("worktree", "remove", "--force", str(source))


def check_out(commit: str, folder: Path) -> None:
    """Check a commit out into a separate git worktree."""
    run_git("worktree", "add", "--detach", str(folder), commit)


def run_git(*arguments: str) -> None:
    """Run a git command at the root of this repository."""
    root = Path(__file__).resolve().parent.parent
    subprocess.run(["git", *arguments], cwd=root, check=True, capture_output=True)
