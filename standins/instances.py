"""Simulated instances, with the node files and programs of each.

Each instance has its own loopback address, so that the programs use the same
ports and find each other in the same way as on real instances.
"""

import asyncio
import json
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from carobspring.platform.node import FILE_VARIABLE
from standins.backend_server import CHECK_IN_INTERVAL_S
from standins.deployment import Deployment, DeploymentError, RunningProgram

FRONTEND_PORT = 8227
READINESS_PORT = 8220
CONTROL_PORT = 8229
INTERNAL_PORT_RANGE = (7340, 7355)
LOOPBACK_NETWORKS = range(20, 250)
#: Host and port that a process binds to reserve a network.
RESERVATION_HOST = "255.1"
RESERVATION_PORT = 7339

#: Seconds that a program has to stop.
STOP_GRACE_S = 8
#: Seconds that a successor has to take the place of a lost instance.
CATCH_UP_S = 4

CONTROL_MODULE = "carobspring.programs.instance_control"
ENTRY_MODULE = "carobspring.programs.entry_start"


@dataclass(kw_only=True)
class Instance:
    """One simulated instance and its programs."""

    name: str
    ip: str
    zone: str
    node_file: Path
    data_folder: Path | None
    #: Whether an entry runs here.
    has_entry: bool = True
    programs: dict[str, RunningProgram] = field(default_factory=dict)

    @property
    def control_url(self) -> str:
        """The base URL for operators and backend servers."""
        return f"http://{self.ip}:{CONTROL_PORT}"

    @property
    def frontend_url(self) -> str:
        """The base URL for callers."""
        return f"http://{self.ip}:{FRONTEND_PORT}"


#: Sockets that reserve networks for this process until it ends.
_reservations: dict[int, socket.socket] = {}


def find_free_network() -> int:
    """Return the second octet of a range of unused loopback addresses.

    Separate ranges let several test runs share one machine: a network stays
    reserved for the process that found it.
    """
    first = os.getpid() % len(LOOPBACK_NETWORKS)
    for offset in range(len(LOOPBACK_NETWORKS)):
        network = LOOPBACK_NETWORKS[(first + offset) % len(LOOPBACK_NETWORKS)]
        if _is_unused(network) and _reserve(network):
            return network
    raise DeploymentError("every loopback network is in use")


def _is_unused(network: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((f"127.{network}.1.1", FRONTEND_PORT))
        except OSError:
            return False
    return True


def _reserve(network: int) -> bool:
    """Reserve a network; return whether it is reserved for this process."""
    if network in _reservations:
        return True
    reservation = socket.socket()
    try:
        reservation.bind((f"127.{network}.{RESERVATION_HOST}", RESERVATION_PORT))
    except OSError:
        reservation.close()
        return False
    _reservations[network] = reservation
    return True


class InstanceSet:
    """Instances whose control daemons and entries run as processes.

    Example:
        ``instances = InstanceSet(deployment, network=7, zones="abc")`` and
        then ``await instances.start_all()``.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        network: int,
        zones: str = "abc",
        diskless_entries: int = 1,
        entry_module: str = ENTRY_MODULE,
        bounds: Mapping[str, float] | None = None,
        limits: Mapping[str, float] | None = None,
        flags: Mapping[str, Mapping[str, object]] | None = None,
        cloud: Mapping[str, object] | None = None,
    ) -> None:
        """Create the instances; ``flags`` are those of each program."""
        self._limits = dict(limits or {})
        self._flags = dict(flags or {})
        self._deployment = deployment
        self._entry_module = entry_module
        #: The provider's API and the duties that are called there, or None.
        self._cloud = cloud
        self._bounds: dict[str, float] = {
            "grace_s": STOP_GRACE_S,
            "retry_slack": 58,
            "catch_up_s": CATCH_UP_S,
            **(bounds or {}),
        }
        self.instances: list[Instance] = []
        for index, zone in enumerate(zones):
            self._add_instance(
                f"disk-{zone}", f"127.{network}.{index + 1}.1", zone, disk=True
            )
        for index in range(diskless_entries):
            zone = zones[index % len(zones)]
            self._add_instance(f"edge-{index}", f"127.{network}.{100 + index}.1", zone)
        self.first_start = True

    @property
    def controls(self) -> list[Instance]:
        """The instances with a disk, which run control daemons."""
        return [
            instance for instance in self.instances if instance.data_folder is not None
        ]

    @property
    def entries(self) -> list[Instance]:
        """The instances that run an entry."""
        return [instance for instance in self.instances if instance.has_entry]

    async def start_all(self) -> None:
        """Start every program that is not running."""
        starts = [self.start(instance, "carob-control") for instance in self.controls]
        starts += [self.start(instance, "carob-entry") for instance in self.entries]
        await asyncio.gather(*starts)
        self.first_start = False

    async def start(self, instance: Instance, role: str) -> None:
        """Start one program of an instance, unless it is running."""
        running = instance.programs.get(role)
        if running is not None and running.returncode is None:
            return
        self._write_node_file(instance, role)
        path = instance.node_file.with_suffix(f".{role}.json")
        instance.programs[role] = await self._deployment.start(
            CONTROL_MODULE if role == "carob-control" else self._entry_module,
            {"secret": self._deployment.secret, **self._flags.get(role, {})},
            f"{instance.name}/{role}",
            {FILE_VARIABLE: str(path)},
        )

    def add_spare(self, ip: str) -> Instance:
        """Add an instance with an empty disk; its programs stay stopped."""
        return self._add_instance(f"disk-{ip}", ip, "a", disk=True)

    async def replace_control(self, lost: Instance, ip: str) -> Instance:
        """Start a control daemon on a new instance instead of a lost one.

        The lost one's disk does not return; its entry goes on.
        """
        del lost.programs["carob-control"]
        lost.data_folder = None
        successor = self.add_spare(ip)
        successor.has_entry = False
        await self.start(successor, "carob-control")
        return successor

    async def kill_all(self) -> None:
        """Kill every program with SIGKILL."""
        await asyncio.gather(
            *(
                program.kill()
                for instance in self.instances
                for program in instance.programs.values()
            )
        )

    def _add_instance(
        self, name: str, ip: str, zone: str, *, disk: bool = False
    ) -> Instance:
        folder = self._deployment.folder
        instance = Instance(
            name=name,
            ip=ip,
            zone=zone,
            node_file=folder / name,
            data_folder=folder / f"data-{name}" if disk else None,
        )
        self.instances.append(instance)
        return instance

    def _write_node_file(self, instance: Instance, role: str) -> None:
        is_control = role == "carob-control"
        seeds = [f"{control.ip}:{CONTROL_PORT}" for control in self.controls[:3]]
        listen = {
            "frontend": f"{instance.ip}:{FRONTEND_PORT}",
            "readiness": f"{instance.ip}:{READINESS_PORT}",
        }
        if is_control:
            listen = {"control": f"{instance.ip}:{CONTROL_PORT}"}
        settings = {
            "node_name": instance.name,
            "role": role,
            "ip": instance.ip,
            "zone": instance.zone,
            "listen": listen,
            "port_range": list(INTERNAL_PORT_RANGE),
            "seeds": seeds,
            "bootstrap": self.first_start,
            "fault_counted": instance.data_folder is not None,
            "data_dir": str(instance.data_folder) if is_control else None,
            "heartbeat_ms": CHECK_IN_INTERVAL_S * 1000,
            "fault_tolerance": {"machines": 1},
            "bounds": self._bounds,
        }
        if self._limits:
            settings["limits"] = self._limits
        if self._cloud is not None:
            settings["cloud"] = dict(self._cloud)
        path = instance.node_file.with_suffix(f".{role}.json")
        path.write_text(json.dumps(settings))
