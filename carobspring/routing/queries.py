"""What routing is asked, and what it answers."""

from dataclasses import dataclass

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


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The backend server that a call goes to."""

    server: BackendServer
    #: Expected milliseconds until the call starts there.
    wait_ms: float = 0.0
