"""Faults from outside the programs: a seeded schedule for the soak."""

import asyncio
import random
import shutil
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from bench.promises import CONFIGURATION_APPLY_BOUND_S, InvariantChecker
from standins.backend_server import StandInServer
from standins.instances import Instance, InstanceSet
from standins.link import Link

#: Mean seconds between two faults of one series.
MEAN_FAULT_INTERVAL_S: Final = 1.0


class FaultInjector:
    """Harms a deployment in series that may overlap.

    A program, and a server, is in the hand of one fault at a time.
    """

    def __init__(
        self,
        *,
        generator: random.Random,
        instances: InstanceSet,
        servers: Sequence[StandInServer],
        links: Sequence[Link],
        checker: InvariantChecker,
    ) -> None:
        self._generator = generator
        self._instances = instances
        self._servers = servers
        self._links = links
        self._checker = checker
        self._busy: set[str] = set()

    async def run(self, ends_at: float) -> None:
        """Play one series of faults; several series overlap."""
        faults: tuple[Callable[[], Awaitable[None]], ...] = (
            self._freeze,
            self._kill,
            self._stop,
            self._hang_up,
            self._empty_disk,
            self._harm_link,
            self._harm_server,
            self._replace_server,
        )
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._generator.expovariate(1 / MEAN_FAULT_INTERVAL_S))
            await self._generator.choice(faults)()

    def _choose(self, *, durable: bool | None = None) -> tuple[Instance, str] | None:
        """Return a program that no other fault has in hand.

        Of the control daemons only one is lost at a time, as the users' pages
        have it.
        """
        found = []
        for instance in self._instances.instances:
            for role in instance.programs:
                is_control = role == "carob-control"
                if durable in (None, is_control) and not (
                    is_control and "carob-control" in self._busy
                ):
                    found.append((instance, role))
        free = [each for each in found if f"{each[0].name}/{each[1]}" not in self._busy]
        return self._generator.choice(free) if free else None

    async def _lose(
        self,
        lose: Callable[[Instance, str], Awaitable[None]],
        *,
        durable: bool | None = None,
    ) -> None:
        """Take a program, lose it in some way, and have it back."""
        chosen = self._choose(durable=durable)
        if chosen is None:
            return
        instance, role = chosen
        marks = {f"{instance.name}/{role}"}
        if role == "carob-control":
            marks.add("carob-control")
        self._busy |= marks
        try:
            await lose(instance, role)
            if role == "carob-control":
                await asyncio.sleep(CONFIGURATION_APPLY_BOUND_S)
        finally:
            self._busy -= marks

    async def _freeze(self) -> None:
        async def lose(instance: Instance, role: str) -> None:
            program = instance.programs[role]
            program.suspend()
            await asyncio.sleep(self._generator.uniform(0.2, 4.0))
            program.resume()

        await self._lose(lose)

    async def _kill(self) -> None:
        async def lose(instance: Instance, role: str) -> None:
            await instance.programs[role].kill()
            await asyncio.sleep(self._generator.uniform(0.0, 1.5))
            await self._instances.start(instance, role)

        await self._lose(lose)

    async def _stop(self) -> None:
        async def lose(instance: Instance, role: str) -> None:
            program = instance.programs[role]
            if await program.stop() != 0:
                detail = f"{instance.name}/{role}: {program.returncode}"
                self._checker.record_violation("stops in order", detail)
            await self._instances.start(instance, role)

        await self._lose(lose)

    async def _hang_up(self) -> None:
        async def lose(instance: Instance, role: str) -> None:
            instance.programs[role].send_signal(signal.SIGHUP)

        await self._lose(lose)

    async def _empty_disk(self) -> None:
        async def lose(instance: Instance, role: str) -> None:
            await instance.programs[role].kill()
            if instance.data_folder is not None:
                shutil.rmtree(instance.data_folder, ignore_errors=True)
            await self._instances.start(instance, role)
            # It votes again once it has caught up.
            await asyncio.sleep(2 * CONFIGURATION_APPLY_BOUND_S)

        await self._lose(lose, durable=True)

    async def _harm_link(self) -> None:
        link = self._generator.choice(self._links)
        harm = self._generator.choice(("silence", "reset", "one way", "delay"))
        if harm == "reset":
            link.reset_connections()
        elif harm == "silence":
            link.silence_connections()
        elif harm == "delay":
            link.delay_s = 0.3
            await asyncio.sleep(self._generator.uniform(0.5, 3.0))
            link.delay_s = 0.0
        else:
            link.cut(downstream_only=True)
            await asyncio.sleep(self._generator.uniform(0.5, 3.0))
            link.heal()

    async def _harm_server(self) -> None:
        server = self._generator.choice(self._servers)
        server.fault = self._generator.choice(("shed", "error", "cut", "hang", "stray"))
        await asyncio.sleep(self._generator.uniform(0.5, 2.0))
        server.fault = ""

    async def _replace_server(self) -> None:
        server = self._generator.choice(self._servers)
        if server.server_id in self._busy:
            return
        self._busy.add(server.server_id)
        try:
            await server.crash()
            await asyncio.sleep(self._generator.uniform(0.2, 2.0))
            await server.start(is_restart=True)
        finally:
            self._busy.remove(server.server_id)
