"""Injects external faults on a seeded schedule, for the soak test."""

import asyncio
import contextlib
import random
import shutil
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from typing import Final

import aiohttp

from bench.promises import (
    CONFIGURATION_APPLY_BOUND_S,
    CONTACT_BOUND_S,
    Disruption,
    InvariantChecker,
    PlannedStop,
)
from bench.stops import STOP_SERIES, send_stop_series
from standins.backend_server import StandInServer
from standins.instances import CATCH_UP_S, Instance, InstanceSet
from standins.link import Link
from standins.odd_check_ins import build_odd_check_ins, send_check_in
from standins.odd_continuations import ODD_CONTINUATIONS

#: Mean seconds between consecutive faults of one series.
MEAN_FAULT_INTERVAL_S: Final = 1.0
#: Mean seconds between two stops of the series that has nothing else.
MEAN_STOP_INTERVAL_S: Final = 0.5
#: Mean seconds between two times of odd continuations.
MEAN_ODD_INTERVAL_S: Final = 3.0
#: Seconds behind a signal of a stop, one of which is drawn each time.
SIGNAL_DELAYS_S: Final = (0.0, 0.02, 0.3, 1.0, 2.5)
CONTROL_ROLE: Final = "carob-control"
ENTRY_ROLE: Final = "carob-entry"
#: Software versions, one of which a server has from each start on.
SERVER_VERSIONS: Final = ("v1", "v2")


class FaultInjector:
    """Injects faults into a deployment, in series that may overlap.

    At most one fault at a time affects a program. A backend server is
    restarted by at most one series at a time.
    """

    def __init__(
        self,
        *,
        generator: random.Random,
        instances: InstanceSet,
        servers: Sequence[StandInServer],
        links: Sequence[Link],
        checker: InvariantChecker,
        controls: list[str],
        new_ips: Iterator[str],
        send_body: Callable[[bytes], Awaitable[None]],
        send_parts: Callable[[Sequence[str]], Awaitable[object]],
    ) -> None:
        """Create an injector.

        ``send_body`` sends a repeatable request with a body to some entry, and
        ``send_parts`` a stream whose prompt shares some parts.
        """
        self._controls = controls
        self._new_ips = new_ips
        self._send_body = send_body
        self._send_parts = send_parts
        #: Parts of sound requests that came beside the cause of crashes.
        self.sound_parts: set[str] = set()
        self._crashing_count = 0
        self._generator = generator
        self._instances = instances
        self._servers = servers
        self._links = links
        self._checker = checker
        self._disrupted: set[str] = set()

    async def run(self, ends_at: float) -> None:
        """Inject one series of faults until ``ends_at``.

        Several series may run at the same time.
        """
        faults: tuple[Callable[[], Awaitable[None]], ...] = (
            self._freeze,
            self._kill,
            self._stop,
            self._stop_instance,
            self._send_hangup,
            self._erase_disk,
            self._replace_control,
            self._disrupt_link,
            self._disrupt_server,
            self._replace_server,
            self._announce_limit,
            self._ask_for_rest,
            self._announce_leaving,
            self._break_streams,
            self._send_crashing_request,
            self._send_crashing_part,
            self._send_odd_check_ins,
            self._lose_entries_at_release,
        )
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._generator.expovariate(1 / MEAN_FAULT_INTERVAL_S))
            await self._generator.choice(faults)()

    async def run_stops(self, ends_at: float) -> None:
        """Stop one entry after another by plan until ``ends_at``."""
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._generator.expovariate(1 / MEAN_STOP_INTERVAL_S))
            await self._disrupt_program(
                self._stop_by_series, durable=False, is_planned=True
            )

    async def run_odd_continuations(self, ends_at: float) -> None:
        """Let servers go on with streams wrongly, again and again."""
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._generator.expovariate(1 / MEAN_ODD_INTERVAL_S))
            await self._continue_oddly()

    def _choose_program(
        self, *, durable: bool | None = None
    ) -> tuple[Instance, str] | None:
        """Return a random program that no other fault affects, if any.

        At most one control daemon is disrupted at a time, as the user
        documentation assumes.
        """
        candidates = []
        for instance in self._instances.instances:
            for role in instance.programs:
                is_control = role == "carob-control"
                if durable in (None, is_control) and not (
                    is_control and "carob-control" in self._disrupted
                ):
                    candidates.append((instance, role))
        available = [
            candidate
            for candidate in candidates
            if f"{candidate[0].name}/{candidate[1]}" not in self._disrupted
        ]
        return self._generator.choice(available) if available else None

    async def _disrupt_program(
        self,
        disrupt: Callable[[Instance, str], Awaitable[None]],
        *,
        durable: bool | None = None,
        is_planned: bool = False,
    ) -> None:
        """Run ``disrupt`` on a random program.

        No other fault affects the program until that is done. After a control
        daemon was disrupted, the next one has to wait for the time in which
        an instance applies a configuration.
        """
        chosen = self._choose_program(durable=durable)
        if chosen is None:
            return
        instance, role = chosen
        async with self._reserve(instance, (role,), is_planned=is_planned):
            await disrupt(instance, role)

    @contextlib.asynccontextmanager
    async def _reserve(
        self, instance: Instance, roles: Sequence[str], *, is_planned: bool = False
    ) -> AsyncIterator[None]:
        """Let no other fault affect some programs until the body is done."""
        affected = {f"{instance.name}/{role}" for role in roles}
        if CONTROL_ROLE in roles:
            affected.add(CONTROL_ROLE)
        self._disrupted |= affected
        started_at = time.monotonic()
        try:
            yield
            if CONTROL_ROLE in roles:
                await asyncio.sleep(CONFIGURATION_APPLY_BOUND_S)
        finally:
            self._disrupted -= affected
            self._record_disruption(instance, started_at, is_planned=is_planned)

    def _record_disruption(
        self, instance: Instance, started_at: float, *, is_planned: bool = False
    ) -> None:
        self._checker.disruptions.append(
            Disruption(
                entry=instance.name,
                started_at=started_at,
                ended_at=time.monotonic(),
                is_planned=is_planned,
            )
        )

    async def _freeze(self) -> None:
        async def disrupt(instance: Instance, role: str) -> None:
            program = instance.programs[role]
            program.suspend()
            await asyncio.sleep(self._generator.uniform(0.2, 4.0))
            program.resume()

        await self._disrupt_program(disrupt)

    async def _kill(self) -> None:
        async def disrupt(instance: Instance, role: str) -> None:
            await instance.programs[role].kill()
            await asyncio.sleep(self._generator.uniform(0.0, 1.5))
            await self._instances.start(instance, role)

        await self._disrupt_program(disrupt)

    async def _stop(self) -> None:
        await self._disrupt_program(self._stop_by_series, is_planned=True)

    async def _stop_instance(self) -> None:
        """Stop both programs of an instance at once."""
        instances = [
            instance
            for instance in self._instances.instances
            if len(instance.programs) > 1
            and CONTROL_ROLE not in self._disrupted
            and f"{instance.name}/{ENTRY_ROLE}" not in self._disrupted
        ]
        if not instances:
            return
        instance = self._generator.choice(instances)
        roles = tuple(instance.programs)
        async with self._reserve(instance, roles, is_planned=True):
            await self._stop_programs(instance, roles)

    async def _stop_by_series(self, instance: Instance, role: str) -> None:
        await self._stop_programs(instance, (role,))

    async def _stop_programs(self, instance: Instance, roles: Sequence[str]) -> None:
        """Stop programs by a series of signals, and start them at once."""
        programs = [instance.programs[role] for role in roles]
        numbers = STOP_SERIES[self._generator.choice(tuple(STOP_SERIES))]
        started_at = time.monotonic()
        signalled_at = await send_stop_series(
            programs, numbers, lambda: self._generator.choice(SIGNAL_DELAYS_S)
        )
        if signal.SIGSTOP in numbers:
            # It stood still, which is more than a planned stop.
            self._record_disruption(instance, started_at)
        if ENTRY_ROLE in roles:
            stop = PlannedStop(entry=instance.name, signalled_at=signalled_at)
            self._checker.planned_stops.append(stop)
        await asyncio.gather(
            *(self._await_end(instance, role) for role in roles),
        )

    async def _await_end(self, instance: Instance, role: str) -> None:
        program = instance.programs[role]
        if await program.wait() != 0:
            detail = f"{instance.name}/{role}: {program.returncode}"
            self._checker.record_violation("clean shutdown", detail)
        await self._instances.start(instance, role)

    async def _send_hangup(self) -> None:
        async def disrupt(instance: Instance, role: str) -> None:
            instance.programs[role].send_signal(signal.SIGHUP)

        await self._disrupt_program(disrupt, is_planned=True)

    async def _erase_disk(self) -> None:
        async def disrupt(instance: Instance, role: str) -> None:
            await instance.programs[role].kill()
            if instance.data_folder is not None:
                shutil.rmtree(instance.data_folder, ignore_errors=True)
            await self._instances.start(instance, role)
            # The replica votes again once it has caught up.
            await asyncio.sleep(2 * CONFIGURATION_APPLY_BOUND_S)

        await self._disrupt_program(disrupt, durable=True)

    async def _replace_control(self) -> None:
        """Lose a control daemon for good; its successor has another address.

        The next control daemon may be disrupted after the successor's time.
        """

        async def disrupt(instance: Instance, role: str) -> None:
            ip = next(self._new_ips, None)
            if ip is None:
                return
            lost = instance.control_url
            await instance.programs[role].kill()
            await asyncio.sleep(self._generator.uniform(0.0, 1.5))
            successor = await self._instances.replace_control(instance, ip)
            self._controls[self._controls.index(lost)] = successor.control_url
            await asyncio.sleep(CATCH_UP_S - CONFIGURATION_APPLY_BOUND_S)

        await self._disrupt_program(disrupt, durable=True)

    async def _disrupt_link(self) -> None:
        link = self._generator.choice(self._links)
        disruption = self._generator.choice(("silence", "reset", "one way", "delay"))
        if disruption == "reset":
            link.reset_connections()
        elif disruption == "silence":
            link.silence_connections()
        elif disruption == "delay":
            link.delay_s = 0.3
            await asyncio.sleep(self._generator.uniform(0.5, 3.0))
            link.delay_s = 0.0
        else:
            link.cut(downstream_only=True)
            await asyncio.sleep(self._generator.uniform(0.5, 3.0))
            link.heal()

    async def _disrupt_server(self) -> None:
        server = self._generator.choice(self._servers)
        server.fault = self._generator.choice(
            ("shed", "error", "cut", "hang", "stray", "endless", "repeated refusal")
        )
        await asyncio.sleep(self._generator.uniform(0.5, 2.0))
        server.fault = ""

    async def _replace_server(self) -> None:
        server = self._generator.choice(self._servers)
        name = f"server {server.address}"
        if name in self._disrupted:
            return
        self._disrupted.add(name)
        try:
            await server.crash()
            await asyncio.sleep(self._generator.uniform(0.2, 2.0))
            server.version = self._generator.choice(SERVER_VERSIONS)
            await server.start(is_restart=True)
        finally:
            self._disrupted.remove(name)

    async def _announce_limit(self) -> None:
        """Let a server announce a limit for a while, with changing figures."""
        server = self._generator.choice(self._servers)
        if server.announcements:
            return
        limit = self._generator.uniform(1.0, 4.0)
        for _ in range(self._generator.randint(2, 4)):
            limit *= self._generator.uniform(0.95, 1.05)
            server.announcements = {"Server-Limit": f"{limit:.2f}"}
            await asyncio.sleep(self._generator.uniform(1.0, 3.0))
        server.announcements = {}

    async def _ask_for_rest(self) -> None:
        """Let a server turn requests away for a while and ask for rest."""
        server = self._generator.choice(self._servers)
        if server.announcements or server.fault:
            return
        for _ in range(self._generator.randint(1, 3)):
            server.fault = "shed"
            rest_s = self._generator.choice((0.2, 1.0, 2.5))
            server.announcements = {"Retry-After": str(rest_s)}
            await asyncio.sleep(self._generator.uniform(0.3, 2.0))
        server.fault = ""
        server.announcements = {}

    async def _announce_leaving(self) -> None:
        """Let a server say that it leaves, go, and start anew."""
        server = self._generator.choice(self._servers)
        name = f"server {server.address}"
        if server.announcements or name in self._disrupted:
            return
        self._disrupted.add(name)
        try:
            server.announcements = {"Server-Leaving": "1"}
            await asyncio.sleep(self._generator.uniform(1.0, 5.0))
            await server.crash()
            server.announcements = {}
            await server.start(is_restart=True)
        finally:
            self._disrupted.remove(name)

    async def _break_streams(self) -> None:
        """Let servers break new streams off for a while."""
        for server in self._servers:
            server.cut_after_events = self._generator.randint(0, 3)
        await asyncio.sleep(self._generator.uniform(0.5, 2.0))
        for server in self._servers:
            server.cut_after_events = 0

    async def _continue_oddly(self) -> None:
        """Let servers break streams off, and go on with none rightly."""
        for server in self._servers:
            server.cut_after_events = self._generator.randint(1, 3)
            server.odd_continuation = self._generator.choice(ODD_CONTINUATIONS)
        await asyncio.sleep(self._generator.uniform(0.5, 2.0))
        for server in self._servers:
            server.cut_after_events = 0
            server.odd_continuation = ""

    async def _send_crashing_request(self) -> None:
        """Send a body again and again that crashes each server it reaches."""
        async with self._reserve_servers() as servers:
            if not servers:
                return
            self._crashing_count += 1
            body = b"crashes %d" % self._crashing_count
            for server in servers:
                server.crashing_body = body
            await self._repeat(lambda: self._send_body(body))
            for server in servers:
                server.crashing_body = b""

    async def _send_crashing_part(self) -> None:
        """Send streams with a part that crashes each server that runs them.

        Sound streams beside them have the other parts.
        """
        async with self._reserve_servers() as servers:
            if not servers:
                return
            self._crashing_count += 1
            deadly = f"{self._crashing_count:x}dead"
            sound = f"{self._crashing_count:x}50d"
            self.sound_parts.add(sound)
            for server in servers:
                server.crashing_parts |= {deadly}

            async def send() -> None:
                parts = self._generator.choice(
                    ((sound, deadly), (deadly, sound), (sound,), (sound, "ab"))
                )
                await self._send_parts(parts)

            await self._repeat(send)

    async def _send_odd_check_ins(self) -> None:
        """Check in like a server, with what no server writes."""
        control = self._generator.choice(self._controls)
        async with aiohttp.ClientSession() as client:
            for name, body in build_odd_check_ins().items():
                status = await send_check_in(client, control, "i-foreign", body)
                self._checker.check_odd_check_in(name, status)

    async def _lose_entries_at_release(self) -> None:
        """Kill all entries while servers make way for another version."""
        names = {f"{instance.name}/carob-entry" for instance in self._instances.entries}
        async with self._reserve_servers() as servers:
            if not servers or names & self._disrupted:
                return
            self._disrupted |= names
            started_at = time.monotonic()
            entries = self._instances.entries
            try:
                leaving = servers[: len(servers) // 2 + 1]
                await asyncio.gather(
                    *(entry.programs["carob-entry"].kill() for entry in entries),
                    *(server.crash() for server in leaving),
                )
                version = self._generator.choice(SERVER_VERSIONS)
                for server in leaving:
                    server.version = version
                    await server.start(is_restart=True)
                await asyncio.sleep(self._generator.uniform(0.0, 1.5))
                await asyncio.gather(
                    *(self._instances.start(entry, "carob-entry") for entry in entries)
                )
            finally:
                self._disrupted -= names
                for entry in entries:
                    self._record_disruption(entry, started_at)

    @contextlib.asynccontextmanager
    async def _reserve_servers(self) -> AsyncIterator[Sequence[StandInServer]]:
        """Yield servers that no other series replaces meanwhile, or none."""
        servers = [server for server in self._servers if server.service == "svc"]
        names = {f"server {server.address}" for server in servers}
        if names & self._disrupted:
            yield ()
            return
        self._disrupted |= names
        try:
            yield servers
            await asyncio.sleep(max(server.restart_delay_s for server in servers))
        finally:
            self._disrupted -= names

    async def _repeat(self, send: Callable[[], Awaitable[None]]) -> None:
        ends_at = time.monotonic() + 2 * CONTACT_BOUND_S
        while time.monotonic() < ends_at:
            await send()
            await asyncio.sleep(self._generator.uniform(0.05, 0.5))
