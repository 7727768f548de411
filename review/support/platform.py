"""Simulated machines that run the programs of the deploy file.

Each machine has its own loopback address. The programs are started with the
lines ``run`` of the deploy file and get a node file as DEPLOY.md describes it.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from review.support.http import Answer, build_request, exchange

ROOT = Path(__file__).resolve().parent.parent.parent
FRONTEND_PORT, READINESS_PORT, CONTROL_PORT = 8227, 8220, 8229
HEARTBEAT_S = 1.2
HOST = "shop.example"
KEY = "key-of-acme"
TENANT = "acme"
#: The bounds of the small deployment ``panelswap`` on the users' pages.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000,
    "fail_closed": False, "revoke_ms": 5000, "retry_budget": 0.2,
    "retry_window_s": 10, "retry_slack": 58, "recovery_s": 12,
    "event_delay_ms": 120, "reuse_window_s": 5.1,
}


class CannotRunError(Exception):
    """The case could not be set up, which says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, and when."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()


def find_free_network() -> int:
    """Return the second octet of a range of unused loopback addresses."""
    for offset in range(200):
        network = 20 + (os.getpid() + offset) % 200
        try:
            for host, port in ((f"127.{network}.1.1", FRONTEND_PORT), (f"127.{network}.1.1", CONTROL_PORT)):
                with socket.socket() as probe:
                    probe.bind((host, port))
            return network
        except OSError:
            continue
    raise CannotRunError("every loopback network is in use")


@dataclass
class Machine:
    """A machine of the platform and its processes, by role."""

    name: str
    ip: str
    zone: str
    has_disk: bool
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)


class Platform:
    """Machines in three zones; the first of each zone has a disk.

    Example:
        ``async with Platform(record, diskless=1) as platform:``, then
        ``await platform.start_all()``.
    """

    def __init__(self, record: Record, *, diskless: int = 1) -> None:
        self.record = record
        self.network = find_free_network()
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._run_lines = {role: each["run"] for role, each in deploy["roles"].items()}
        self.machines = []
        for number, zone in enumerate(("anarkali", "saddar", "gulberg"), start=1):
            ip = f"127.{self.network}.{number}.1"
            self.machines.append(Machine(f"edge-{zone}-1", ip, zone, True))
        for number in range(diskless):
            zone = self.machines[number % 3].zone
            ip = f"127.{self.network}.{number + 1}.2"
            self.machines.append(Machine(f"edge-{zone}-{2 + number // 3}", ip, zone, False))
        #: What the platform writes into node files; true at the first start
        #: of the whole system only.
        self.is_first_start = True

    async def __aenter__(self) -> "Platform":
        return self

    async def __aexit__(self, *details) -> None:
        for machine in self.machines:
            for role in list(machine.processes):
                await self.kill(machine, role)
        self._temporary.cleanup()

    @property
    def controls(self) -> list[Machine]:
        return [machine for machine in self.machines if machine.has_disk]

    def list_roles(self, machine: Machine) -> list[str]:
        roles = ["carob-entry"]
        return ["carob-control", *roles] if machine.has_disk else roles

    async def start_all(self) -> None:
        """Start all programs at the same time, then no longer bootstrap."""
        for machine in self.machines:
            await self.start_machine(machine)
        self.is_first_start = False

    async def start(self, machine: Machine, role: str) -> None:
        node_file = self._write_node_file(machine, role)
        log = (self.folder / f"{machine.name}.{role}.log").open("ab")
        inherited = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        machine.processes[role] = await asyncio.create_subprocess_exec(
            *self._run_lines[role].split(),
            cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env=inherited | {"PYTHONPATH": str(ROOT / "target" / "deps"), "CAROBSPRING_NODE_FILE": str(node_file)},
        )
        log.close()
        self.record.write(f"platform: started {role} on {machine.name}")

    def signal(self, machine: Machine, role: str, number: signal.Signals) -> None:
        process = machine.processes[role]
        if process.returncode is None:
            process.send_signal(number)
        self.record.write(f"platform: {number.name} to {role} on {machine.name}")

    async def kill(self, machine: Machine, role: str) -> None:
        process = machine.processes.pop(role)
        if process.returncode is None:
            process.kill()
            await process.wait()
        self.record.write(f"platform: killed {role} on {machine.name}")

    def read_log(self, machine: Machine, role: str) -> str:
        path = self.folder / f"{machine.name}.{role}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def list_ended(self) -> list[str]:
        """Return the processes that ended by themselves."""
        return [
            f"{role} on {machine.name}"
            for machine in self.machines
            for role, process in machine.processes.items()
            if process.returncode is not None
        ]

    async def wait_listening(self, timeout_s: float = 30.0) -> None:
        """Wait until every control daemon accepts connections."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            accepted = 0
            for machine in self.controls:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(machine.ip, CONTROL_PORT)
                    writer.close()
                    accepted += 1
            if accepted == len(self.controls):
                return
            await asyncio.sleep(0.05)
        raise CannotRunError("the control daemons do not listen")

    async def lose_machine(self, machine: Machine) -> None:
        """Kill a machine's processes, and lose its disk."""
        for role in list(machine.processes):
            await self.kill(machine, role)
        shutil.rmtree(self.folder / f"data-{machine.name}", ignore_errors=True)
        self.record.write(f"platform: the disk of {machine.name} is lost")

    async def start_machine(self, machine: Machine) -> None:
        for role in self.list_roles(machine):
            await self.start(machine, role)

    async def is_ready(self, machine: Machine) -> bool:
        request = build_request("GET", "/v1/readyz", [("Host", machine.ip), ("Connection", "close")])
        return (await exchange(machine.ip, READINESS_PORT, [request], 1.0)).status == 200

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until every entry says that it is ready."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all([await self.is_ready(machine) for machine in self.machines]):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the entries are not ready")

    def _write_node_file(self, machine: Machine, role: str) -> Path:
        is_control = role == "carob-control"
        listen = {"control": f"{machine.ip}:{CONTROL_PORT}"} if is_control else {
            "frontend": f"{machine.ip}:{FRONTEND_PORT}", "readiness": f"{machine.ip}:{READINESS_PORT}",
        }
        data = self.folder / f"data-{machine.name}"
        if is_control:
            data.mkdir(exist_ok=True)
        settings = {
            "node_name": machine.name, "role": role, "machine_class": "edge",
            "serves": ["control_plane"] if is_control else ["edge"],
            "ip": machine.ip, "zone": machine.zone, "region": "punjab",
            "zones": {"anarkali": "punjab", "saddar": "punjab", "gulberg": "punjab"},
            "listen": listen, "port_range": [7340, 7355],
            "seeds": [f"{each.ip}:{CONTROL_PORT}" for each in self.controls],
            "bootstrap": self.is_first_start, "fault_counted": machine.has_disk,
            "limits": {"cpu_share": 0.968, "cores": 2, "memory_mb": 150, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 64},
            "data_dir": str(data) if is_control else None,
            "discovery": "registration", "entrypoint": "vip",
            "heartbeat_ms": HEARTBEAT_S * 1000,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest",
        }
        path = self.folder / f"{machine.name}.{role}.json"
        path.write_text(json.dumps(settings))
        return path


def build_route(name: str, kind: str, **values) -> dict:
    return {
        "name": name, "host": HOST, "path_prefix": f"/{name}/", "route_type": kind,
        "timeout_ms": 4000, "slo_ms": 400, "priority": 1, "service": "desk",
        "attempts": 2, "public": False, "affinity": False, "resumable": False,
    } | values


def build_configuration(version: int, **changes) -> dict:
    return {
        "version": version,
        "routes": [
            build_route("read", "idempotent"),
            build_route("book", "non_idempotent", attempts=1),
        ],
        "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    } | changes


class Operator:
    """Sends configurations; goes to another daemon without a clear answer."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def put_once(self, machine: Machine, configuration: dict) -> Answer:
        body = json.dumps(configuration).encode()
        headers = [("Host", machine.ip), ("Content-Type", "application/json"), ("Connection", "close")]
        answer = await exchange(machine.ip, CONTROL_PORT, [build_request("PUT", "/v1/config", headers, body)], 1.0)
        self._platform.record.write(
            f"operator: PUT version {configuration['version']} to {machine.name}: "
            f"{answer.status or answer.error}"
        )
        return answer

    async def put(self, configuration: dict, timeout_s: float = 30.0) -> bool:
        """Send until it is acknowledged; return whether it was in time."""
        deadline, pause_s = time.monotonic() + timeout_s, 0.1
        while time.monotonic() < deadline:
            for machine in self._platform.controls:
                if (await self.put_once(machine, configuration)).status == 200:
                    return True
                await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return False

    async def read_back(self, for_s: float) -> set[int]:
        """Read the configuration from all daemons; return its versions."""
        versions = set()
        deadline = time.monotonic() + for_s
        while time.monotonic() < deadline:
            for machine in self._platform.controls:
                request = build_request("GET", "/v1/config", [("Host", machine.ip), ("Connection", "close")])
                answer = await exchange(machine.ip, CONTROL_PORT, [request], 1.0)
                self._platform.record.write(f"operator: GET from {machine.name}: {answer.status or answer.error}")
                if answer.status == 200:
                    versions.add(json.loads(answer.body)["version"])
            await asyncio.sleep(0.5)
        return versions
