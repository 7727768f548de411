"""What routing is asked and told, and what it answers."""

from dataclasses import dataclass
from enum import Enum

from carobspring.domain import BackendServer, ServiceKind


@dataclass(frozen=True, kw_only=True)
class PoolKey:
    """Names the backend servers that can take a call."""

    kind: ServiceKind
    #: A model's name, or a plain service's.
    target: str


@dataclass(frozen=True, kw_only=True)
class RouteQuery:
    """What routing needs to know of a call."""

    pool: PoolKey
    priority: int
    service_class: str
    #: Equal for calls that share the start of their prompt; 0 for none.
    affinity: int = 0
    #: True when a resend must find the server again by ``affinity``.
    sticky: bool = False


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The backend server that a call goes to."""

    server: BackendServer
    #: Expected milliseconds until the call starts there.
    wait_ms: float = 0.0


class AttemptOutcome(Enum):
    """How an attempt at a server ended, as routing cares."""

    #: The answer was whole.
    ANSWERED = "answered"
    #: The agent refused the call; the server works, or its agent does.
    REFUSED = "refused"
    #: The server failed during the call.
    FAILED = "failed"
    #: Nothing answers at the agent's address.
    UNREACHABLE = "unreachable"
    #: The caller left: says nothing of the server.
    ABANDONED = "abandoned"
