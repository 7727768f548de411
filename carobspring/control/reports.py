"""Request and response bodies of the admin API, as data classes."""

from dataclasses import dataclass, field

from carobspring.domain import LoadReport
from carobspring.protocol import ClassAttainment
from carobspring.settings import Change, SubjectChange


@dataclass(frozen=True, kw_only=True)
class ErrorReport:
    """Why a request was rejected, and what to do next."""

    kind: str
    message: str
    #: The current revision of the settings, where relevant.
    revision: int | None = None


@dataclass(frozen=True, kw_only=True)
class ErrorResponse:
    """The body of every error response."""

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
    """An accepted change, or the preview of one in a dry run."""

    revision: int
    change_id: str
    dry_run: bool = False
    subjects: tuple[SubjectChange, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ProgramStatus:
    """An entry and the revision of the settings in force there."""

    name: str
    zone: str
    revision: int
    #: Milliseconds since its last report.
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
    #: Remaining time of the lease.
    lease_ms: int
    #: True when an operator has ordered the server drained.
    drain_ordered: bool
    #: Whether entries see the server; a flapping one is withheld for a while.
    shown: bool
    load: LoadReport


@dataclass(frozen=True, kw_only=True)
class ReplicaStatus:
    """A control replica; it gets a new identity with a new disk."""

    name: str
    identity: str
    votes: bool


@dataclass(frozen=True, kw_only=True)
class StatusReport:
    """The status of the system: which revision is in force in which zone."""

    replica: str
    leader: str
    revision: int
    zones: tuple[ZoneStatus, ...] = ()
    entries: tuple[ProgramStatus, ...] = ()
    servers: tuple[ServerStatus, ...] = ()
    replicas: tuple[ReplicaStatus, ...] = ()
    #: The last change, so that one command shows who made it.
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
    """The body of a request to release the strikes of a call."""

    workspace: str
    request_hash: str


@dataclass(frozen=True, kw_only=True)
class ReplicaRequestBody:
    """The body of a request to add, promote or remove a replica."""

    name: str


@dataclass(frozen=True, kw_only=True)
class CountReport:
    """The number of records that a request changed."""

    count: int


@dataclass(frozen=True, kw_only=True)
class AttainmentReport:
    """Call counts by service class, summed over the known entries."""

    entries: int = 0
    classes: dict[str, ClassAttainment] = field(default_factory=dict)
