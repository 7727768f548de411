"""What the admin API answers and takes, as data classes."""

from dataclasses import dataclass, field

from carobspring.domain import LoadReport
from carobspring.protocol import ClassAttainment
from carobspring.settings import Change, SubjectChange


@dataclass(frozen=True, kw_only=True)
class ErrorReport:
    """Why a request was refused, and what to do next."""

    kind: str
    message: str
    #: The revision that stands, where it matters.
    revision: int | None = None


@dataclass(frozen=True, kw_only=True)
class ErrorResponse:
    """The body of every answer that is an error."""

    error: ErrorReport


@dataclass(frozen=True, kw_only=True)
class ChangeRequestBody:
    """The body of a change request; see settings.ChangeRequest."""

    change_id: str
    base_revision: int
    changes: tuple[Change, ...]
    dry_run: bool = False


@dataclass(frozen=True, kw_only=True)
class ChangeReport:
    """An accepted or tried change."""

    revision: int
    change_id: str
    dry_run: bool = False
    subjects: tuple[SubjectChange, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ProgramStatus:
    """An entry or agent and the revision in force there."""

    name: str
    zone: str
    revision: int
    #: Milliseconds since it was last heard of.
    age_ms: int


@dataclass(frozen=True, kw_only=True)
class ZoneStatus:
    """A zone: the oldest revision in force at any of its entries."""

    zone: str
    entries: int
    revision: int
    in_force: bool


@dataclass(frozen=True, kw_only=True)
class ServerStatus:
    """A backend server with its lease and load."""

    server_id: str
    service: str
    zone: str
    boot: int
    #: What is left of the lease.
    lease_ms: int
    #: The operator's order, and what the agent itself says.
    drain_ordered: bool
    shown: bool
    load: LoadReport


@dataclass(frozen=True, kw_only=True)
class ReplicaStatus:
    """A control replica; a new disk gives it a new identity."""

    name: str
    identity: str
    votes: bool


@dataclass(frozen=True, kw_only=True)
class StatusReport:
    """The answer to "did it take, and where"."""

    replica: str
    leader: str
    revision: int
    zones: tuple[ZoneStatus, ...] = ()
    entries: tuple[ProgramStatus, ...] = ()
    servers: tuple[ServerStatus, ...] = ()
    replicas: tuple[ReplicaStatus, ...] = ()
    #: The last change, so that one command says who made it.
    last_change_id: str = ""
    last_operator: str = ""
    last_change_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class DrainRequestBody:
    """The body of a drain request."""

    server_id: str
    drain: bool = True


@dataclass(frozen=True, kw_only=True)
class ReleaseRequestBody:
    """The body of a request to forget the strikes of a call."""

    workspace: str
    request_hash: str


@dataclass(frozen=True, kw_only=True)
class ReplicaRequestBody:
    """Names the replica that an operator's order is about."""

    name: str


@dataclass(frozen=True, kw_only=True)
class CountReport:
    """How many records an order touched."""

    count: int


@dataclass(frozen=True, kw_only=True)
class AttainmentReport:
    """Counts by class, summed over the entries heard of."""

    entries: int = 0
    classes: dict[str, ClassAttainment] = field(default_factory=dict)
