"""Backend servers as the system knows them, and the load that they report."""

from dataclasses import dataclass
from enum import Enum

from carobspring.domain.errors import check_name, check_range


class ServiceKind(str, Enum):
    """What kind of process a backend server is."""

    #: Serves the OpenAI-compatible API of a language model.
    MODEL = "model"
    #: Any other HTTP application.
    PLAIN = "plain"


@dataclass(frozen=True, kw_only=True)
class BackendServer:
    """A backend server, as its agent or it itself announces it.

    ``server_id`` names the place and outlives restarts; ``boot`` is the number
    of the agent's present run, larger than that of any run before it.
    """

    server_id: str
    boot: int
    service: str
    kind: ServiceKind
    zone: str
    #: By IP number: the agent's gRPC port, or the server's own where it
    #: checks in by itself.
    host: str
    port: int
    models: tuple[str, ...] = ()
    #: Calls that the backend server is said to work on at once.
    slots: int = 1

    def __post_init__(self) -> None:
        check_name("server_id", self.server_id)
        check_name("service", self.service)
        check_name("zone", self.zone)
        check_range("port", self.port, 1, 65535, "")
        check_range("slots", self.slots, 1, 100_000, "calls")


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """How busy an agent's queues and its backend server are.

    Counts by priority let an entry see what a call of its class would wait
    behind. ``sequence`` orders the reports of one boot.
    """

    sequence: int = 0
    #: Calls running now, and the limit the agent keeps at present.
    running: int = 0
    limit: int = 1
    #: Priority of a tier, to calls of that tier waiting or running.
    waiting_by_priority: dict[int, int] | None = None
    running_by_priority: dict[int, int] | None = None
    #: Smoothed time of one call in a slot, and to its first token, in ms.
    service_ms: float = 0.0
    first_token_ms: float = 0.0
    token_gap_ms: float = 0.0
    #: True while the agent takes no new work because it is about to stop.
    draining: bool = False
    #: True while the agent's own probes of its backend server fail.
    unhealthy: bool = False
