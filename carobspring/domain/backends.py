"""Backend servers and their load reports."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from carobspring.domain.addresses import check_host
from carobspring.domain.errors import (
    check_counter,
    check_name,
    check_range,
    check_text,
)

#: Sequence of the report that removes a server. No report of the same boot is
#: newer.
FINAL_SEQUENCE: Final = 2**53


class ServiceKind(str, Enum):
    """The kind of application that a backend server runs."""

    #: Serves the OpenAI-compatible API of a language model.
    MODEL = "model"
    #: Any other HTTP application.
    PLAIN = "plain"


@dataclass(frozen=True, kw_only=True)
class BackendServer:
    """A backend server, as announced by its agent or by the server itself.

    ``server_id`` is stable across restarts. ``boot`` identifies one run of
    the agent and is larger than that of every earlier run.
    """

    server_id: str
    boot: int
    service: str
    kind: ServiceKind
    zone: str
    #: IP address. Together with the port it is the agent's gRPC address, or
    #: the server's own address if the server checks in without an agent.
    host: str
    port: int
    models: tuple[str, ...] = ()
    #: Calls that the backend server can process concurrently.
    slots: int = 1
    #: Version of the server's software, not of its models; empty if it names
    #: none. It never changes within a boot.
    software_version: str = ""

    def __post_init__(self) -> None:
        check_name("server_id", self.server_id)
        check_name("service", self.service)
        check_name("zone", self.zone)
        check_counter("boot", self.boot)
        check_host("host", self.host)
        check_range("port", self.port, 1, 65535, "")
        check_range("slots", self.slots, 1, 100_000, "calls")
        check_text("software_version", self.software_version)


@dataclass(frozen=True, kw_only=True)
class ServerLoad:
    """The load that a response of a backend server reports."""

    running: int
    waiting: int
    slots: int
    #: How long work takes on the server's host now, as a multiple of the
    #: usual; None if the response doesn't say.
    slowdown: float | None = None


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """The load of an agent's queues and of its backend server.

    Counts by priority let an entry estimate how many calls a new call would
    wait behind. ``sequence`` orders the reports of one boot.
    """

    sequence: int = 0
    #: Running calls, and the agent's current concurrency limit.
    running: int = 0
    limit: int = 1
    #: Number of waiting and of running calls for each priority.
    waiting_by_priority: dict[int, int] | None = None
    running_by_priority: dict[int, int] | None = None
    #: Smoothed durations in ms: of a call in a slot, to the first token, and
    #: between tokens.
    service_ms: float = 0.0
    first_token_ms: float = 0.0
    token_gap_ms: float = 0.0
    #: True while the agent accepts no new calls because it is shutting down.
    draining: bool = False
    #: True while the agent's health probes of its backend server fail.
    unhealthy: bool = False

    def __post_init__(self) -> None:
        check_counter("sequence", self.sequence)
