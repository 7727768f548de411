"""Soak test: runs the real programs under a seeded schedule of faults.

Control daemons and entries run as separate processes on loopback addresses.
Callers, backend servers and the operator are simulated in this process. Faults
are external and come in series that overlap: signals, planned stops one after
another, restarts, erased disks, links that add delay, reset connections, go
silent or pass data one way only, faulty backend servers, servers that go on
with a stream as none should, and configuration changes. The invariants of
``bench.promises`` are checked during the run and at its end.

Example:
    ``python -m bench.soak --seed 7 --minutes 0.5 --processes 12``
"""

import asyncio
import collections
import itertools
import random
import sys
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final

import aiohttp
import fire

from bench.faults import SERVER_VERSIONS, FaultInjector
from bench.promises import RETRY_SLACK, STREAM_EVENT_COUNT, InvariantChecker
from standins.backend_server import StandInServer
from standins.deployment import Deployment, DeploymentError, open_client, wait_until
from standins.instances import (
    FRONTEND_PORT,
    Instance,
    InstanceSet,
    find_free_network,
)
from standins.kept_caller import KeptCaller
from standins.link import Link
from standins.operator import Operator, build_configuration
from standins.resuming_caller import ResumingCaller

#: Seconds in which service resumes after the last fault, as the user
#: documentation guarantees.
RECOVERY_BOUND_S: Final = 15.0
#: Timeout of a request, sent in its headers and applied by the caller.
REQUEST_TIMEOUT_S: Final = 4.0
CALLER_INTERVAL_S: Final = 0.05
#: Number of fault series that run at the same time.
FAULT_SERIES_COUNT: Final = 3
CALLER_COUNT: Final = 6
#: Callers that keep their connections, on the entries in turn, and what each
#: asks for, some of these again and again. Paths name seconds; the longest
#: outlast the end of a stop.
KEPT_CALLER_COUNT: Final = 16
KEPT_PATHS: Final = (
    "/book/lasting/0.1",
    "/book/lasting/2.5",
    "/book/lasting/5.5",
    "/stream/lasting/1.0",
    "/stream/lasting/5.0",
    "/stream/lasting/5.5",
)
KEPT_PATH_COUNT: Final = 4
#: Number of series of planned stops that run at the same time.
STOP_SERIES_COUNT: Final = 2
#: Callers that take their streams up again, and seconds between events of
#: these streams.
RESUMING_CALLER_COUNT: Final = 3
EVENT_INTERVAL_S: Final = 0.05
ENGINE_COUNT: Final = 2
#: Prompt and output tokens of a request, enough to need admission by its
#: engine.
LARGE_TOKEN_USAGE: Final = "6000,50"
#: Number of last versions whose own route each configuration has.
KEPT_ROUTES: Final = 20
#: Number of control daemons that a run may replace.
MAX_SUCCESSORS: Final = 40
#: Seconds in which a part that came beside the cause of crashes gets free.
SOUND_PART_BOUND_S: Final = 10.0
#: Directory for the logs of a run that violated an invariant.
LOG_DIRECTORY: Final = Path("out")


class SoakRun:
    """One run: a deployment with its callers, faults and invariants."""

    def __init__(self, *, seed: int, seconds: float, processes: int) -> None:
        self._seed = seed
        self._seconds = seconds
        self._generator = random.Random(seed)
        self.checker = InvariantChecker()
        # Three instances run a control daemon and an entry each; all others
        # run an entry only.
        self._entries = max(1, processes - 6)
        self._links: dict[str, Link] = {}
        self._server_links: list[Link] = []
        self._servers: list[StandInServer] = []
        self._call_count = 0
        self._version = 1
        #: Versions whose own route is in the configuration.
        self._routed_versions: collections.deque[int] = collections.deque(
            maxlen=KEPT_ROUTES
        )

    async def run(self) -> InvariantChecker:
        """Run the schedule and return the checker with its observations."""
        async with Deployment() as deployment, open_client(50) as client:
            network = find_free_network()
            self._instances = InstanceSet(
                deployment,
                network=network,
                diskless_entries=self._entries,
                bounds={"retry_slack": RETRY_SLACK},
            )
            await self._instances.start_all()
            controls = [instance.control_url for instance in self._instances.controls]
            begun_streams: set[str] = set()
            for number in range(3):
                server = StandInServer(
                    service="svc",
                    ip=f"127.{network}.{200 + number}.1",
                    controls=controls,
                    version=self._generator.choice(SERVER_VERSIONS),
                    begun_streams=begun_streams,
                )
                server.event_interval_s = EVENT_INTERVAL_S
                await server.start()
                self._servers.append(server)
            for number in range(ENGINE_COUNT):
                ip = f"127.{network}.{210 + number}.1"
                engine = StandInServer(
                    service="engines",
                    ip=ip,
                    controls=controls,
                    is_engine=True,
                    begun_streams=begun_streams,
                )
                await engine.start()
                self._servers.append(engine)
            self._new_ips = (
                f"127.{network}.{20 + number}.1" for number in range(MAX_SUCCESSORS)
            )
            for server in self._servers:
                server.event_count = STREAM_EVENT_COUNT
            for instance in self._instances.entries:
                link = Link(target_host=instance.ip, target_port=FRONTEND_PORT)
                await link.start()
                self._links[instance.name] = link
            try:
                await self._run_workload(controls, client)
            finally:
                for server in self._servers:
                    await server.close()
                for link in self._links.values():
                    await link.close()
                if self.checker.violations:
                    self._save_logs(deployment)
        return self.checker

    async def _run_workload(
        self, controls: list[str], client: aiohttp.ClientSession
    ) -> None:
        self._operator = Operator(controls, client)
        await self._operator.put(build_configuration(1))
        self.checker.confirmed_versions.append((time.monotonic(), 1))
        await self._wait_until_serving()
        ends_at = time.monotonic() + self._seconds
        tasks = [self._send_calls(client, ends_at) for _ in range(CALLER_COUNT)]
        tasks += [
            self._send_resumed_streams(client, ends_at)
            for _ in range(RESUMING_CALLER_COUNT)
        ]
        entries = self._instances.entries
        tasks += [
            self._keep_asking(entries[number % len(entries)], number, ends_at)
            for number in range(KEPT_CALLER_COUNT)
        ]
        fault_injector = FaultInjector(
            generator=self._generator,
            instances=self._instances,
            servers=self._servers,
            links=tuple(self._links.values()),
            checker=self.checker,
            controls=controls,
            new_ips=self._new_ips,
            send_body=lambda body: self._send_body(client, body),
            send_parts=lambda parts: self._send_parts(client, parts),
        )
        tasks += [fault_injector.run(ends_at) for _ in range(FAULT_SERIES_COUNT)]
        tasks += [fault_injector.run_stops(ends_at) for _ in range(STOP_SERIES_COUNT)]
        tasks.append(fault_injector.run_odd_continuations(ends_at))
        tasks += [self._send_changes(ends_at), self._poll_versions(controls, ends_at)]
        tasks.append(self._call_newest_routes(client, ends_at))
        await asyncio.gather(*tasks)
        self.checker.check_stream_versions()
        for server in self._servers:
            server.fault = ""
        await self._instances.start_all()
        await self._wait_until_serving()
        await self._check_final_versions(controls)
        await self._check_sound_parts(client, fault_injector.sound_parts)
        self.checker.check_executions(self._servers)
        self.checker.check_kept_requests(self._servers)
        self.checker.odd_response_count = sum(
            len(server.odd_responses) for server in self._servers
        )
        self.checker.check_crashing_requests(self._servers)
        self.checker.check_announced_limits(self._servers)
        self.checker.check_rests(self._servers)
        self.checker.check_leaving_servers(self._servers)
        for service in ("svc", "engines"):
            servers = [each for each in self._servers if each.service == service]
            self.checker.check_repeats(service, servers)

    async def _wait_until_serving(self) -> None:
        """Wait until every entry serves; a timeout is a violation.

        This uses new connections, because faults may have silenced the
        connections of the callers.
        """
        statuses: dict[str, list[int | None]] = {}

        async def all_serving() -> bool:
            for instance in self._instances.entries:
                status = await self._call(client, instance.name, "read")
                statuses.setdefault(instance.name, []).append(status)
            return all(seen[-1] == 200 for seen in statuses.values())

        try:
            async with open_client(keep_alive=False) as client:
                await wait_until(all_serving, "every entry serves", RECOVERY_BOUND_S)
        except DeploymentError as error:
            self.checker.record_violation("recovery", f"{error}: {statuses}")

    def _save_logs(self, deployment: Deployment) -> None:
        """Copy the programs' logs; a run can't be reproduced exactly."""
        folder = LOG_DIRECTORY / f"soak-{self._seed}-{time.time_ns()}"
        folder.mkdir(parents=True)
        for number, program in enumerate(deployment.programs, start=1):
            name = program.name.replace("/", "-")
            (folder / f"{number}-{name}.log").write_text(program.read_log())
        odd_responses = [
            f"{server.server_id} {attempt_id} {name}\n"
            for server in self._servers
            for attempt_id, name in server.odd_responses
        ]
        (folder / "odd-responses.txt").write_text("".join(odd_responses))
        print(f"logs saved in {folder}", flush=True)

    async def _check_final_versions(self, controls: list[str]) -> None:
        newest = max(version for _, version in self.checker.confirmed_versions)
        for control in controls:
            shown: list[int] = []

            async def is_shown(
                control: str = control, shown: list[int] = shown
            ) -> bool:
                version = await self._operator.read_version(control)
                shown += [] if version is None else [version]
                return bool(shown)

            await wait_until(is_shown, f"{control} shows a version", RECOVERY_BOUND_S)
            if shown[-1] < newest:
                detail = (
                    f"{control} shows version {shown[-1]}, but {newest} was confirmed"
                )
                self.checker.record_violation("no confirmed change is lost", detail)

    async def _send_calls(self, client: aiohttp.ClientSession, ends_at: float) -> None:
        names = list(self._links)
        while time.monotonic() < ends_at:
            kind = self._generator.choice(("read", "book", "book", "stream", "model"))
            await self._call(client, self._generator.choice(names), kind)
            await asyncio.sleep(CALLER_INTERVAL_S)

    async def _send_resumed_streams(
        self, client: aiohttp.ClientSession, ends_at: float
    ) -> None:
        """Send streams and take each up at other entries when it breaks."""
        entries = {
            f"http://127.0.0.1:{link.port}": name for name, link in self._links.items()
        }

        def record_try(attempt_id: str, url: str) -> None:
            self.checker.sent_requests[attempt_id] = (entries[url], time.monotonic())

        while time.monotonic() < ends_at:
            urls = self._generator.sample(list(entries), len(entries))
            caller = ResumingCaller(
                client=client,
                urls=urls,
                timeout_s=REQUEST_TIMEOUT_S,
                on_try=record_try,
            )
            self.checker.check_stream(await caller.run())
            await asyncio.sleep(CALLER_INTERVAL_S)

    async def _keep_asking(
        self, instance: Instance, number: int, ends_at: float
    ) -> None:
        """Ask one entry on a kept connection, anew after each of its ends."""
        paths = self._generator.sample(KEPT_PATHS, KEPT_PATH_COUNT)

        def record_send(attempt_id: str) -> None:
            self.checker.sent_requests[attempt_id] = (instance.name, time.monotonic())

        for generation in itertools.count():
            if time.monotonic() >= ends_at:
                return
            caller = KeptCaller(
                url=instance.frontend_url,
                paths=paths,
                name=f"k{number}-{generation}",
                on_send=record_send,
            )
            for result in await caller.run(ends_at):
                if result.path.startswith("/book/"):
                    self.checker.at_most_once.add(result.attempt_id)
                self.checker.record_kept(instance.name, result)
            await asyncio.sleep(CALLER_INTERVAL_S)

    async def _send_body(self, client: aiohttp.ClientSession, body: bytes) -> None:
        entry = self._generator.choice(list(self._links))
        await self._call(client, entry, "read", body)

    async def _send_parts(
        self, client: aiohttp.ClientSession, parts: Sequence[str]
    ) -> int | None:
        """Send a stream like no other whose prompt has some parts."""
        entry = self._generator.choice(list(self._links))
        own_part = f"{self._call_count:x}"
        prefix = ",".join(f"{part}:100" for part in (*parts, own_part))
        return await self._call(
            client, entry, "stream", own_part.encode(), prefix=prefix
        )

    async def _check_sound_parts(
        self, client: aiohttp.ClientSession, parts: Iterable[str]
    ) -> None:
        """Check that parts beside the cause of crashes soon get free."""
        for part in sorted(parts):
            ends_at = time.monotonic() + SOUND_PART_BOUND_S
            status: int | None = None
            while status != 200 and time.monotonic() < ends_at:
                status = await self._send_parts(client, (part,))
                await asyncio.sleep(CALLER_INTERVAL_S)
            self.checker.check_sound_part(part, status or 0)

    async def _call(
        self,
        client: aiohttp.ClientSession,
        entry: str,
        kind: str,
        body: bytes | None = None,
        *,
        prefix: str = "",
    ) -> int | None:
        """Send one request through the link of an entry; return the status.

        Returns None when there is no complete response.
        """
        self._call_count += 1
        name = f"q{self._call_count}"
        self.checker.sent_requests[name] = (entry, time.monotonic())
        if kind == "book":
            self.checker.at_most_once.add(name)
        headers = {
            "Host": "shop.example",
            "Carobspring-Attempt-Id": name,
            "Carobspring-Deadline-Ms": str(round(REQUEST_TIMEOUT_S * 1000)),
            "Authorization": "Bearer key-1",
            "Carobspring-Token-Usage": LARGE_TOKEN_USAGE,
        }
        if prefix:
            headers["Carobspring-Prefix-Hash"] = prefix
        url = f"http://127.0.0.1:{self._links[entry].port}/{kind}/x"
        method = "POST" if kind == "book" or body else "GET"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        content = b""
        try:
            async with client.request(
                method, url, headers=headers, timeout=timeout, data=body
            ) as response:
                signature = response.headers.get("Carobspring-Upstream-Signature", "")
                self.checker.check_receipt(name, response.status, signature)
                async for data in response.content.iter_any():
                    content += data
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.checker.status_counts[0] += 1
            if content and response.status == 200 and kind in ("stream", "model"):
                self.checker.check_stream_text(name, content, is_complete=False)
            return None
        self.checker.check_response(name, kind, response.status, content)
        return response.status

    async def _send_changes(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._generator.uniform(0.2, 2.0))
            self._version += self._generator.choice((1, 2, 5))
            self._routed_versions.append(self._version)
            changed = build_configuration(self._version)
            route = changed["routes"][0]
            changed["routes"] += [
                {**route, "name": f"v{version}", "path_prefix": f"/v{version}/"}
                for version in self._routed_versions
            ]
            try:
                async with asyncio.timeout(RECOVERY_BOUND_S):
                    await self._operator.put(changed)
            except (TimeoutError, DeploymentError):
                continue
            self.checker.confirmed_versions.append((time.monotonic(), self._version))

    async def _call_newest_routes(
        self, client: aiohttp.ClientSession, ends_at: float
    ) -> None:
        """Call the route that the last confirmed version added, anywhere."""
        names = list(self._links)
        while time.monotonic() < ends_at:
            await asyncio.sleep(CALLER_INTERVAL_S)
            _, version = self.checker.confirmed_versions[-1]
            if version not in self._routed_versions:
                continue
            name = self._generator.choice(names)
            sent_at = time.monotonic()
            if await self._call(client, name, f"v{version}") == 404:
                self.checker.check_denial(sent_at, version, name)

    async def _poll_versions(self, controls: list[str], ends_at: float) -> None:
        while time.monotonic() < ends_at:
            control = self._generator.choice(controls)
            sent_at = time.monotonic()
            version = await self._operator.read_version(control)
            if version is not None:
                self.checker.check_version(sent_at, version, control)
            await asyncio.sleep(0.1)


def run(seed: int = 1, minutes: float = 0.5, processes: int = 8) -> None:
    """Run one seed and exit with 1 if an invariant was violated.

    Args:
        seed: Seed of the faults; timings vary a little between runs.
        minutes: How long faults are injected.
        processes: Number of programs of the system; seven or more.
    """
    soak = SoakRun(seed=seed, seconds=minutes * 60, processes=processes)
    checker = asyncio.run(soak.run())
    counts = ", ".join(f"{k}: {v}" for k, v in sorted(checker.status_counts.items()))
    print(
        f"seed {seed}: {len(checker.violations)} violations; responses {counts}; "
        f"streams taken up {checker.resumption_count}, went on "
        f"{checker.resumed_count}, mixed {len(checker.mixed_streams)}; planned stops "
        f"{len(checker.planned_stops)}, kept requests {len(checker.kept_results)}, "
        f"odd continuations {checker.odd_response_count}",
        flush=True,
    )
    sys.exit(1 if checker.violations else 0)


if __name__ == "__main__":
    fire.Fire(run)
