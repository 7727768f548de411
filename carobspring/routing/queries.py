"""The arguments and results of routing decisions."""

from dataclasses import dataclass
from enum import Enum

from carobspring.domain import BackendServer, ServiceKind


@dataclass(frozen=True, kw_only=True)
class PoolKey:
    """Identifies the pool of backend servers that can serve a call."""

    kind: ServiceKind
    #: Name of the model or of the plain service.
    target: str


@dataclass(frozen=True, kw_only=True)
class RouteQuery:
    """The properties of a call that routing depends on."""

    pool: PoolKey
    priority: int
    service_class: str
    #: Hash of the start of the prompt, or of the idempotency key; 0 if the
    #: call has neither.
    affinity: int = 0
    #: Whether a resend must reach the same server through ``affinity``.
    sticky: bool = False


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The backend server chosen for a call."""

    server: BackendServer
    #: Expected time until the call starts there.
    wait_ms: float = 0.0


class AttemptOutcome(Enum):
    """How an attempt at a server ended."""

    #: The response was complete.
    ANSWERED = "answered"
    #: The agent refused the call, so at least the agent is working.
    REFUSED = "refused"
    #: The server failed during the call.
    FAILED = "failed"
    #: The agent was unreachable or stopped responding.
    UNREACHABLE = "unreachable"
    #: The caller left, which says nothing about the server.
    ABANDONED = "abandoned"
