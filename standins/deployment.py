"""Starts and stops the programs of a deployment as separate processes."""

import asyncio
import contextlib
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from pathlib import Path
from types import TracebackType

import aiohttp

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05


class DeploymentError(Exception):
    """A process failed, or a condition was not met in time."""


def reserve_port() -> socket.socket:
    """Return a socket that reserves a free port until it is closed.

    It is bound but doesn't listen. A program that binds the same port with
    SO_REUSEADDR, as asyncio does, gets the port; nothing else is given it.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((LOOPBACK, 0))
    return reservation


async def wait_until(
    check: Callable[[], Awaitable[object]],
    description: str,
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    """Poll until the check returns a true value.

    Raises:
        DeploymentError: The check did not return one within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while not await check():
        if time.monotonic() > deadline:
            raise DeploymentError(f"not within {timeout_s} s: {description}")
        await asyncio.sleep(POLL_INTERVAL_S)


class RunningProgram:
    """One started process, with the ports that it printed."""

    def __init__(
        self, *, name: str, process: asyncio.subprocess.Process, log: Path
    ) -> None:
        self.name = name
        self.ports: dict[str, int] = {}
        self._process = process
        self._log = log
        self._output_task: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """The process identifier."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._process.returncode

    def address(self, port: str) -> str:
        """Return host and port of one of the program's listeners."""
        return f"{LOOPBACK}:{self.ports[port]}"

    def url(self, port: str = "http") -> str:
        """Return the base URL of one of the program's HTTP listeners."""
        return f"http://{LOOPBACK}:{self.ports[port]}"

    def read_log(self) -> str:
        """Return the program's output, without the line of its ports."""
        return self._log.read_text(errors="replace")

    async def wait_for_ports(self) -> None:
        """Wait for the output line that lists the ports."""
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await self._parse_ports(self._process.stdout)
        except TimeoutError as error:
            raise DeploymentError(f"{self.name} printed no ports") from error
        self._output_task = asyncio.create_task(self._copy_to_log(self._process.stdout))

    async def _parse_ports(self, stdout: asyncio.StreamReader) -> None:
        while line := (await stdout.readline()).decode():
            if line.startswith("listening "):
                pairs = (part.split("=") for part in line.split()[1:])
                self.ports = {name: int(port) for name, port in pairs}
                return
        raise DeploymentError(f"{self.name} ended at start: {self.read_log()[-2000:]}")

    async def _copy_to_log(self, stdout: asyncio.StreamReader) -> None:
        with self._log.open("ab", buffering=0) as log:
            while data := await stdout.read(65536):
                log.write(data)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, by its identifier."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def suspend(self) -> None:
        """Suspend the process, as if its instance hung."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        await self._process.wait()

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop the process with SIGTERM and return its exit code.

        Raises:
            DeploymentError: It did not exit in time and was killed.
        """
        self.send_signal(signal.SIGTERM)
        return await self.wait(timeout_s)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process ends and return its exit code.

        Raises:
            DeploymentError: It did not exit in time and was killed.
        """
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError as error:
            await self.kill()
            message = f"{self.name} did not stop: {self.read_log()[-2000:]}"
            raise DeploymentError(message) from error


class Deployment:
    """A set of programs and stand-ins on loopback, killed at exit.

    Example:
        ``async with Deployment() as deployment:
        control = await deployment.start_control()``
    """

    def __init__(
        self, *, source: Path | None = None, python: str = sys.executable
    ) -> None:
        self.secret = secrets.token_hex(16)
        self.operator_token = secrets.token_hex(16)
        self.programs: list[RunningProgram] = []
        self.controls: list[str] = []
        self.admin = ""
        self.peers = ""
        self._python = python
        self._source = source or Path(__file__).resolve().parent.parent
        self._folder = tempfile.TemporaryDirectory(prefix="carob-")
        self.folder = Path(self._folder.name)
        self._log_count = 0
        self._reservations: list[socket.socket] = []

    async def __aenter__(self) -> "Deployment":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Kill by process identifier what still runs, and delete the files."""
        running = [program for program in self.programs if program.returncode is None]
        await asyncio.gather(*(program.kill() for program in running))
        for reservation in self._reservations:
            reservation.close()
        self._folder.cleanup()

    async def start(
        self,
        module: str,
        flags: Mapping[str, object],
        name: str = "",
        environ: Mapping[str, str] | None = None,
    ) -> RunningProgram:
        """Start ``python -m module`` with flags and wait for its ports."""
        self._log_count += 1
        log = self.folder / f"{self._log_count}.log"
        with log.open("wb") as stderr:
            process = await asyncio.create_subprocess_exec(
                self._python,
                "-m",
                module,
                *format_flags(flags),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=stderr,
                cwd=self._source,
                env=self._build_environment() | dict(environ or {}),
            )
        program = RunningProgram(name=name or module, process=process, log=log)
        self.programs.append(program)
        await program.wait_for_ports()
        return program

    async def start_control(
        self, replica_id: str = "c1", zone: str = "zone-a", **flags: object
    ) -> RunningProgram:
        """Start one control replica with its own data directory."""
        data = self.folder / f"data-{replica_id}"
        base: dict[str, object] = {
            "replica_id": replica_id,
            "zone": zone,
            "host": LOOPBACK,
        }
        base |= {"rpc_port": 0, "admin_port": 0, "data_dir": str(data)}
        base |= {"secret": self.secret, "operator_token": self.operator_token}
        program = await self.start(
            "carobspring.programs.control", base | flags, replica_id
        )
        if program.address("rpc") not in self.controls:
            self.controls.append(program.address("rpc"))
        self.admin = self.admin or program.address("admin")
        return program

    async def start_controls(self, zones: list[str]) -> list[RunningProgram]:
        """Start one replica per zone; each gets the addresses of all."""
        names = [f"c{index + 1}" for index in range(len(zones))]
        reservations = {name: reserve_port() for name in names}
        self._reservations += reservations.values()
        ports = {
            name: reservation.getsockname()[1]
            for name, reservation in reservations.items()
        }
        addresses = (f"{LOOPBACK}:{port}" for port in ports.values())
        pairs = zip(names, addresses, strict=True)
        self.peers = ",".join("=".join(pair) for pair in pairs)
        starts = (
            self.start_control(name, zone, rpc_port=ports[name], peers=self.peers)
            for name, zone in zip(names, zones, strict=True)
        )
        return list(await asyncio.gather(*starts))

    async def start_entry(
        self,
        entry_id: str = "e1",
        zone: str = "zone-a",
        module: str = "carobspring.programs.entry",
        **flags: object,
    ) -> RunningProgram:
        """Start one entry."""
        base: dict[str, object] = {"entry_id": entry_id, "zone": zone}
        base |= {"http_port": 0, "control": ",".join(self.controls)}
        base |= {"secret": self.secret}
        return await self.start(module, base | flags, entry_id)

    async def start_agent(
        self,
        server_id: str,
        backend: RunningProgram,
        zone: str = "zone-a",
        **flags: object,
    ) -> RunningProgram:
        """Start the agent of a backend server."""
        base: dict[str, object] = {
            "server_id": server_id,
            "zone": zone,
            "host": LOOPBACK,
        }
        base |= {"service": "models", "kind": "model", "models": "carob-small"}
        base |= {"rpc_port": 0, "http_port": 0, "backend": backend.url()}
        base |= {"control": ",".join(self.controls), "secret": self.secret, "slots": 8}
        return await self.start("carobspring.programs.agent", base | flags, server_id)

    async def start_runner(self, **flags: object) -> RunningProgram:
        """Start a stand-in runner."""
        return await self.start("standins.runner", {"port": 0} | flags)

    async def start_booking_service(self, **flags: object) -> RunningProgram:
        """Start a stand-in plain service."""
        return await self.start("standins.desk", {"port": 0} | flags)

    async def run_carobctl(self, *words: str, admin: str = "") -> str:
        """Run ``carobctl`` and return its output.

        Raises:
            DeploymentError: The command failed.
        """
        process = await asyncio.create_subprocess_exec(
            self._python,
            "-m",
            "carobspring.programs.ctl",
            *words,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            cwd=self._source,
            env=self._build_environment()
            | {
                "CAROB_ADMIN": admin or self.admin,
                "CAROB_OPERATOR_TOKEN": self.operator_token,
            },
        )
        out, err = await process.communicate()
        if process.returncode != 0:
            command = " ".join(words)
            raise DeploymentError(f"carobctl {command}: {(out + err).decode()}")
        return out.decode()

    def _build_environment(self) -> dict[str, str]:
        inherited = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith("CAROB_")
        }
        return inherited | {"PYTHONPATH": str(self._source), "PAGER": "cat"}


def format_flags(flags: Mapping[str, object]) -> list[str]:
    """Format flags as command-line arguments; empty ones are omitted."""
    words = []
    for name, value in flags.items():
        if value is None or value is False or value == "":
            continue
        flag = name.replace("_", "-")
        text = "true" if value is True else value
        words.append(f"--{flag}={text}")
    return words


@contextlib.asynccontextmanager
async def open_client(
    timeout_s: float = 60.0, *, keep_alive: bool = True
) -> AsyncIterator[aiohttp.ClientSession]:
    """Open an HTTP client without a limit on connections."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    connector = aiohttp.TCPConnector(limit=0, force_close=not keep_alive)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as client:
        yield client
