"""Runs the real programs under a seeded schedule of faults and checks them.

Control daemons and entries run as separate processes on loopback
addresses; callers, backend servers and the operator are stand-ins in this
process. Faults come from outside: signals, restarts, emptied disks, links
that delay, reset, go silent or pass one way only, servers that misbehave, and
changes of the configuration, in series that overlap. What callers, backend
servers and the operator see is checked while it runs.

Example:
    ``python -m bench.soak --seed 7 --minutes 0.5 --processes 12``
"""

import asyncio
import random
import shutil
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import aiohttp
import fire

from standins.deployment import Deployment, DeploymentError, open_client, wait_until
from standins.instances import (
    CALLERS_PORT,
    Instance,
    InstanceSet,
    Operator,
    StandInServer,
    build_configuration,
    find_free_network,
)
from standins.link import Link

#: Seconds that the users' pages give an instance to put a configuration in
#: force, and to be back in service after the last fault.
CONFIGURATION_BOUND_S: Final = 2.0
RECOVERY_S: Final = 15.0
#: Seconds that a caller waits, in the requests' headers and in its client.
PATIENCE_S: Final = 4.0
CALLER_PAUSE_S: Final = 0.05
#: Mean seconds between two faults of one series, and how many series run.
FAULT_PAUSE_S: Final = 1.0
SERIES: Final = 3
CALLERS: Final = 6
EVENTS: Final = 5
ENGINES: Final = 2
#: Prompt and output tokens of a request that asks the gate of its engine.
LONG_PROMPT: Final = "6000,50"


@dataclass(frozen=True, kw_only=True)
class Breach:
    """A promise that was not kept."""

    promise: str
    detail: str


@dataclass(kw_only=True)
class Promises:
    """What callers and the operator saw, and what of it must not be."""

    breaches: list[Breach] = field(default_factory=list)
    #: How many answers there were of each status; 0 for none.
    answers: Counter[int] = field(default_factory=Counter)
    #: Identifiers of requests that may run once, and of those refused.
    once: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    #: Confirmed versions and when.
    confirmed: list[tuple[float, int]] = field(default_factory=list)

    def note_breach(self, promise: str, detail: str) -> None:
        """Keep a broken promise, and say so at once."""
        self.breaches.append(Breach(promise=promise, detail=detail))
        print(f"broken: {promise}: {detail}", flush=True)

    def check_answer(self, name: str, kind: str, status: int, body: bytes) -> None:
        """Check an answer that came whole."""
        self.answers[status] += 1
        if status in (408, 421, 429, 503):
            self.refused.add(name)
        if status != 200:
            return
        if kind in ("stream", "model"):
            numbers = [
                int(line[4:]) for line in body.splitlines() if line.startswith(b"id: ")
            ]
            if numbers != list(range(1, EVENTS + 1)):
                self.note_breach("whole streams in order", f"{name}: {numbers}")
        elif body.split()[-1:] != [name.encode()]:
            self.note_breach("own answers", f"{name}: {body!r}")

    def check_read(self, sent_at: float, version: int, where: str) -> None:
        """Check that a read shows no version that was overtaken before."""
        known = [
            confirmed
            for at, confirmed in self.confirmed
            if at + CONFIGURATION_BOUND_S < sent_at
        ]
        if known and version < max(known):
            detail = f"{where} shows {version} after {max(known)}"
            self.note_breach("no configuration goes back", detail)

    def check_runs(self, servers: list[StandInServer]) -> None:
        """Check what the servers ran against what callers were told."""
        ran: Counter[str] = Counter()
        for server in servers:
            ran += server.ran
        for name in self.once:
            if ran[name] > 1:
                self.note_breach("at most once", f"{name} ran {ran[name]} times")
        for name in self.refused:
            if ran[name] and name in self.once:
                self.note_breach("true refusals", f"{name} was refused and has run")


class Soak:
    """One run: a deployment, its callers, its faults and its promises."""

    def __init__(self, *, seed: int, seconds: float, processes: int) -> None:
        self._seconds = seconds
        self._dice = random.Random(seed)
        self.promises = Promises()
        # Three control daemons with entries; the rest are entries.
        self._entries = max(1, processes - 6)
        self._links: dict[str, Link] = {}
        self._server_links: list[Link] = []
        self._servers: list[StandInServer] = []
        self._numbers = 0
        self._version = 1
        self._busy: set[str] = set()

    async def run(self) -> Promises:
        """Play the schedule and return what was seen."""
        async with Deployment() as deployment, open_client(50) as client:
            network = find_free_network()
            self._instances = InstanceSet(
                deployment, network=network, diskless_entries=self._entries
            )
            await self._instances.start_all()
            controls = [each.control_url for each in self._instances.controls]
            for number in range(3):
                server = StandInServer(
                    service="svc",
                    ip=f"127.{network}.{200 + number}.1",
                    controls=controls,
                )
                await server.start()
                self._servers.append(server)
            for number in range(ENGINES):
                ip = f"127.{network}.{210 + number}.1"
                engine = StandInServer(
                    service="engines", ip=ip, controls=controls, is_engine=True
                )
                await engine.start()
                self._servers.append(engine)
            for instance in self._instances.instances:
                link = Link(target_host=instance.ip, target_port=CALLERS_PORT)
                await link.start()
                self._links[instance.name] = link
            try:
                await self._play(controls, client)
            finally:
                for server in self._servers:
                    await server.crash()
                for link in self._links.values():
                    await link.close()
        return self.promises

    async def _play(self, controls: list[str], client: aiohttp.ClientSession) -> None:
        self._operator = Operator(controls, client)
        await self._operator.put(build_configuration(1))
        self.promises.confirmed.append((time.monotonic(), 1))
        await self._wait_serving(client)
        ends_at = time.monotonic() + self._seconds
        work = [self._call_often(client, ends_at) for _ in range(CALLERS)]
        work += [self._break_often(ends_at) for _ in range(SERIES)]
        work += [self._change_often(ends_at), self._read_often(controls, ends_at)]
        await asyncio.gather(*work)
        for server in self._servers:
            server.fault = ""
        await self._instances.start_all()
        await self._wait_serving(client)
        await self._check_end(controls)
        self.promises.check_runs(self._servers)

    async def _wait_serving(self, client: aiohttp.ClientSession) -> None:
        """Wait until every entry serves; not being able to is a breach."""

        async def serves() -> bool:
            found = [
                await self._call(client, instance.name, "read") == 200
                for instance in self._instances.instances
            ]
            return all(found)

        try:
            await wait_until(serves, "every entry serves", RECOVERY_S)
        except DeploymentError as error:
            self.promises.note_breach("recovery", str(error))

    async def _check_end(self, controls: list[str]) -> None:
        newest = max(version for _, version in self.promises.confirmed)
        for control in controls:
            shown: list[int] = []

            async def is_shown(
                control: str = control, shown: list[int] = shown
            ) -> bool:
                version = await self._operator.read(control)
                shown += [] if version is None else [version]
                return bool(shown)

            await wait_until(is_shown, f"{control} shows a version", RECOVERY_S)
            if shown[-1] < newest:
                detail = f"{control} shows {shown[-1]}, confirmed was {newest}"
                self.promises.note_breach("nothing confirmed is lost", detail)

    async def _call_often(self, client: aiohttp.ClientSession, ends_at: float) -> None:
        names = list(self._links)
        while time.monotonic() < ends_at:
            kind = self._dice.choice(("read", "book", "book", "stream", "model"))
            await self._call(client, self._dice.choice(names), kind)
            await asyncio.sleep(CALLER_PAUSE_S)

    async def _call(
        self, client: aiohttp.ClientSession, entry: str, kind: str
    ) -> int | None:
        """Send one request through the entry's link; return the status."""
        self._numbers += 1
        name = f"q{self._numbers}"
        if kind == "book":
            self.promises.once.add(name)
        headers = {
            "Host": "shop.example",
            "Carobspring-Attempt-Id": name,
            "Carobspring-Deadline-Ms": str(round(PATIENCE_S * 1000)),
            "Authorization": "Bearer key-1",
            "Carobspring-Token-Usage": LONG_PROMPT,
        }
        url = f"http://127.0.0.1:{self._links[entry].port}/{kind}/x"
        method = "POST" if kind == "book" else "GET"
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
        try:
            async with client.request(
                method, url, headers=headers, timeout=timeout
            ) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.promises.answers[0] += 1
            return None
        self.promises.check_answer(name, kind, answer.status, body)
        return answer.status

    async def _change_often(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._dice.uniform(0.2, 2.0))
            self._version += self._dice.choice((1, 2, 5))
            changed = build_configuration(self._version)
            try:
                async with asyncio.timeout(RECOVERY_S):
                    await self._operator.put(changed)
            except (TimeoutError, DeploymentError):
                continue
            self.promises.confirmed.append((time.monotonic(), self._version))

    async def _read_often(self, controls: list[str], ends_at: float) -> None:
        while time.monotonic() < ends_at:
            control = self._dice.choice(controls)
            sent_at = time.monotonic()
            version = await self._operator.read(control)
            if version is not None:
                self.promises.check_read(sent_at, version, control)
            await asyncio.sleep(0.1)

    async def _break_often(self, ends_at: float) -> None:
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
            await asyncio.sleep(self._dice.expovariate(1 / FAULT_PAUSE_S))
            await self._dice.choice(faults)()

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
        return self._dice.choice(free) if free else None

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
                await asyncio.sleep(CONFIGURATION_BOUND_S)
        finally:
            self._busy -= marks

    async def _freeze(self) -> None:
        async def lose(instance: Instance, role: str) -> None:
            program = instance.programs[role]
            program.freeze()
            await asyncio.sleep(self._dice.uniform(0.2, 4.0))
            program.thaw()

        await self._lose(lose)

    async def _kill(self) -> None:
        async def lose(instance: Instance, role: str) -> None:
            await instance.programs[role].kill()
            await asyncio.sleep(self._dice.uniform(0.0, 1.5))
            await self._instances.start(instance, role)

        await self._lose(lose)

    async def _stop(self) -> None:
        async def lose(instance: Instance, role: str) -> None:
            program = instance.programs[role]
            if await program.stop() != 0:
                detail = f"{instance.name}/{role}: {program.returncode}"
                self.promises.note_breach("stops in order", detail)
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
            await asyncio.sleep(2 * CONFIGURATION_BOUND_S)

        await self._lose(lose, durable=True)

    async def _harm_link(self) -> None:
        link = self._dice.choice(list(self._links.values()))
        harm = self._dice.choice(("silence", "reset", "one way", "delay"))
        if harm == "reset":
            link.reset()
        elif harm == "silence":
            link.forget()
        elif harm == "delay":
            link.delay_s = 0.3
            await asyncio.sleep(self._dice.uniform(0.5, 3.0))
            link.delay_s = 0.0
        else:
            link.cut(backward_only=True)
            await asyncio.sleep(self._dice.uniform(0.5, 3.0))
            link.heal()

    async def _harm_server(self) -> None:
        server = self._dice.choice(self._servers)
        server.fault = self._dice.choice(("shed", "error", "cut", "hang", "stray"))
        await asyncio.sleep(self._dice.uniform(0.5, 2.0))
        server.fault = ""

    async def _replace_server(self) -> None:
        server = self._dice.choice(self._servers)
        if server.server_id in self._busy:
            return
        self._busy.add(server.server_id)
        try:
            await server.crash()
            await asyncio.sleep(self._dice.uniform(0.2, 2.0))
            await server.start(new_start=True)
        finally:
            self._busy.remove(server.server_id)


def run(seed: int = 1, minutes: float = 0.5, processes: int = 8) -> None:
    """Play one seed and exit with 1 if a promise was broken.

    Args:
        seed: Draws the faults; times differ a little between runs.
        minutes: How long faults come.
        processes: Programs of the system; seven or more.
    """
    soak = Soak(seed=seed, seconds=minutes * 60, processes=processes)
    promises = asyncio.run(soak.run())
    counts = ", ".join(f"{k}: {v}" for k, v in sorted(promises.answers.items()))
    print(f"seed {seed}: {len(promises.breaches)} broken; answers {counts}", flush=True)
    sys.exit(1 if promises.breaches else 0)


if __name__ == "__main__":
    fire.Fire(run)
