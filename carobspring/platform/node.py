"""Reading of the node file, which the platform writes for each process."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec

from carobspring.domain import Address, InvalidValueError, parse_address
from carobspring.platform.provider import ProviderSettings
from carobspring.protocol import DECODE_ERRORS

FILE_VARIABLE: Final = "CAROBSPRING_NODE_FILE"
DEFAULT_FILE: Final = "/etc/carobspring/local.json"


class NodeFileError(Exception):
    """The node file can't be read or is invalid.

    Args:
        path: Path of the file.
        reason: What is wrong with it.
    """

    def __init__(self, *, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class _Listen(msgspec.Struct):
    frontend: str = ""
    readiness: str = ""
    control: str = ""


class _Limits(msgspec.Struct):
    memory_mb: float = 0.0
    max_fds: int = 0


class _Tolerance(msgspec.Struct):
    machines: int = 0


class _Cloud(msgspec.Struct):
    address: str = ""
    duties: list[str] = []
    duty_per_s: float = 1.0


class _NodeFile(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    role: str = ""
    listen: _Listen = msgspec.field(default_factory=_Listen)
    seeds: list[str] = []
    bootstrap: bool = False
    fault_counted: bool = False
    limits: _Limits = msgspec.field(default_factory=_Limits)
    data_dir: str | None = None
    heartbeat_ms: float = 1000.0
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: dict[str, Any] = {}
    cloud: _Cloud | None = None


@dataclass(frozen=True, kw_only=True)
class InstanceSettings:
    """Settings of a process, its instance and the cluster."""

    instance: str
    role: str
    ip: str
    availability_zone: str
    frontend_address: Address | None = None
    readiness_address: Address | None = None
    control_address: Address | None = None
    #: Port range for internal RPC, the same on every instance.
    internal_ports: tuple[int, int]
    #: Control addresses of a few other instances; they may be out of date.
    seeds: tuple[Address, ...] = ()
    #: True only at the first start of the whole cluster.
    is_first_start: bool = False
    #: True if the loss of this instance counts against fault tolerance.
    is_fault_counted: bool = False
    #: Directory for durable state, or empty.
    data_directory: str = ""
    #: Memory and descriptors of a process; zero if the file has none.
    memory_mb: float = 0.0
    max_descriptors: int = 0
    #: Interval between check-ins of a backend server.
    check_in_interval_s: float = 1.0
    #: Number of instances whose loss must be tolerated.
    tolerated_failures: int = 0
    #: Seconds from SIGTERM to SIGKILL.
    stop_grace_s: float = 8.0
    #: Seconds after its start in which an instance must have caught up: from
    #: then on its loss, and that of others instead of it, must be tolerated.
    catch_up_deadline_s: float = 4.0
    #: Seconds within which a confirmed configuration must be in force
    #: everywhere.
    configuration_deadline_s: float = 2.0
    #: Retries to a service that all instances together may make in a window:
    #: a fraction of the requests, and a number on top of it.
    retry_share: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    #: The provider's API for duties, or None if there are none.
    provider: ProviderSettings | None = None


def find_node_file(environ: Mapping[str, str] | None = None) -> Path:
    """Return the path of the node file."""
    environ = os.environ if environ is None else environ
    return Path(environ.get(FILE_VARIABLE, DEFAULT_FILE))


def read_node_file(path: Path | None = None) -> InstanceSettings:
    """Read the settings of this process.

    Raises:
        NodeFileError: The file is missing, unreadable or malformed.
    """
    path = path or find_node_file()
    try:
        return decode_node_file(path.read_bytes())
    except OSError as error:
        reason = error.strerror or str(error)
        raise NodeFileError(path=str(path), reason=reason) from error
    except DECODE_ERRORS as error:
        raise NodeFileError(path=str(path), reason=str(error)) from error


def decode_node_file(data: bytes) -> InstanceSettings:
    """Decode the content of the node file."""
    file = msgspec.json.decode(data, type=_NodeFile)
    bounds = file.bounds
    if not 0 < file.heartbeat_ms < float("inf"):
        raise InvalidValueError(
            field="heartbeat_ms", value=file.heartbeat_ms, expected="over 0 ms"
        )
    return InstanceSettings(
        instance=file.node_name,
        role=file.role,
        ip=file.ip,
        availability_zone=file.zone,
        frontend_address=_parse_optional_address(
            "listen.frontend", file.listen.frontend
        ),
        readiness_address=_parse_optional_address(
            "listen.readiness", file.listen.readiness
        ),
        control_address=_parse_optional_address("listen.control", file.listen.control),
        internal_ports=file.port_range,
        seeds=tuple(parse_address("seeds", seed) for seed in file.seeds),
        is_first_start=file.bootstrap,
        is_fault_counted=file.fault_counted,
        data_directory=file.data_dir or "",
        memory_mb=file.limits.memory_mb,
        max_descriptors=file.limits.max_fds,
        check_in_interval_s=file.heartbeat_ms / 1000,
        tolerated_failures=file.fault_tolerance.machines,
        stop_grace_s=_parse_bound(bounds, "grace_s", 8.0),
        configuration_deadline_s=_parse_bound(bounds, "config_apply_ms", 2000.0) / 1000,
        retry_share=_parse_bound(bounds, "retry_budget", 0.2),
        catch_up_deadline_s=_parse_bound(bounds, "catch_up_s", 4.0),
        retry_slack=_parse_bound(bounds, "retry_slack", 0.0),
        retry_window_s=_parse_bound(bounds, "retry_window_s", 10.0),
        provider=_parse_provider(file.cloud, bounds),
    )


def _parse_optional_address(name: str, text: str) -> Address | None:
    return parse_address(name, text) if text else None


def _parse_provider(
    cloud: _Cloud | None, bounds: Mapping[str, Any]
) -> ProviderSettings | None:
    if cloud is None or not cloud.duties:
        return None
    window_s = _parse_bound(bounds, "report_window_s", 5.0)
    if window_s < 0.001:
        # Windows are counted in milliseconds.
        raise InvalidValueError(
            field="bounds.report_window_s", value=window_s, expected="at least 1 ms"
        )
    return ProviderSettings(
        address=parse_address("cloud.address", cloud.address),
        duties=frozenset(cloud.duties),
        calls_per_s=cloud.duty_per_s,
        lease_s=_parse_bound(bounds, "lease_ms", 3000.0) / 1000,
        thaw_s=_parse_bound(bounds, "thaw_ms", 300.0) / 1000,
        usage_window_s=window_s,
        usage_delay_s=_parse_bound(bounds, "usage_delay_s", 10.0),
    )


def _parse_bound(bounds: Mapping[str, Any], name: str, default: float) -> float:
    value = bounds.get(name, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value < float("inf"):
        expected = "a number"
        raise InvalidValueError(field=f"bounds.{name}", value=value, expected=expected)
    return float(value)
