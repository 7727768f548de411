"""Messages on the long-lived streams to control replicas.

An agent sends AgentReport and receives AgentUpdate; an entry sends EntryReport
and receives ViewUpdate. On both streams, an empty message is a heartbeat.
"""

from dataclasses import dataclass

from carobspring.domain import BackendServer, LoadReport, Settings
from carobspring.protocol.soft_state import SoftState
from carobspring.protocol.usage import EntryUsage


@dataclass(frozen=True, kw_only=True)
class Strike:
    """A request that was running when a backend server crashed."""

    workspace: str
    request_hash: str
    server_id: str
    boot: int
    #: Wall-clock time in milliseconds.
    at_ms: int
    #: True when no other call was running that could have been the cause.
    alone: bool = False


@dataclass(frozen=True, kw_only=True)
class AgentReport(SoftState):
    """Announces a backend server, renews its lease and reports its load."""

    server: BackendServer | None = None
    load: LoadReport | None = None
    #: True in the last report before a planned shutdown.
    leaving: bool = False
    strikes: tuple[Strike, ...] = ()
    #: Revision of the settings that the agent applies.
    revision: int = 0


@dataclass(frozen=True, kw_only=True)
class AgentUpdate(SoftState):
    """Sends an agent settings and instructions, at each heartbeat interval."""

    settings: Settings | None = None
    #: Smallest boot number that the agent may use; set when a later run of
    #: the server has announced a larger one.
    minimum_boot: int = 0
    strikes: tuple[Strike, ...] = ()
    #: Strikes that an operator released; the agent removes them.
    released: tuple[Strike, ...] = ()
    #: True while an operator drains this server; it accepts no new work.
    drain: bool = False


@dataclass(frozen=True, kw_only=True)
class ClassAttainment:
    """Counts of a class's calls at one entry since the entry started."""

    #: Calls that ended, whatever their outcome.
    ended: int = 0
    #: Calls that met their latency target.
    met: int = 0
    #: Calls that ended with the status "not run".
    shed: int = 0


@dataclass(frozen=True, kw_only=True)
class EntryReport(SoftState):
    """Announces an entry and the revision of the settings in force there."""

    entry_id: str
    zone: str
    revision: int = 0
    #: Counts by class name; only sent when they changed.
    attainment: dict[str, ClassAttainment] | None = None
    #: Demand of this entry's generation-heavy requests by service, in seconds
    #: of engine time per second.
    generating: dict[str, float] | None = None
    #: The same of its other requests.
    reading: dict[str, float] | None = None
    #: Requests that ran on backend servers when these crashed, and strikes of
    #: requests that have succeeded since. Both are sent repeatedly.
    strikes: tuple[Strike, ...] = ()
    released: tuple[Strike, ...] = ()
    #: Host and port where the entry gets datagrams of other entries, or empty.
    peer_address: str = ""
    #: Time of the entry's clock at which it asks for an update at once; zero
    #: if it doesn't.
    asked_at: float = 0.0
    #: Requests that began to run, where usage is reported. Replicas do not
    #: pass it on with the rest of the report.
    usage: EntryUsage | None = None


@dataclass(frozen=True, kw_only=True)
class RoutingConfiguration:
    """One version of all routes, as the operator submitted it."""

    version: int = 0
    #: Request body of the operator, compressed with zlib.
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class VersionSighting:
    """A software version that servers of a service had until some time ago."""

    service: str
    #: Empty for servers that named none.
    version: str
    #: Time since the last of them was listed.
    age_ms: int


@dataclass(frozen=True, kw_only=True)
class ViewUpdate(SoftState):
    """A change of the state by which an entry routes calls.

    The first update on a stream is complete and is read through the quorum:
    ``complete`` is set, and servers that it doesn't list are gone. Later
    updates hold only changes.
    """

    view: int = 0
    complete: bool = False
    settings: Settings | None = None
    servers: tuple[BackendServer, ...] = ()
    loads: dict[str, LoadReport] | None = None
    removed: tuple[str, ...] = ()
    strikes: tuple[Strike, ...] = ()
    #: Strikes that an operator released; the entry removes them.
    released: tuple[Strike, ...] = ()
    #: Set when its version is newer than the last one sent on this stream.
    routing: RoutingConfiguration | None = None
    #: gRPC addresses of all control replicas; only sent when they changed.
    replicas: tuple[str, ...] = ()
    #: Availability zones of these replicas, as far as they are known.
    replica_zones: dict[str, str] | None = None
    #: False while the replica can't tell whether the quorum has newer state.
    confirmed: bool = True
    #: Number of entries known to the replica; zero when it is not reported.
    entry_count: int = 0
    #: Sums of EntryReport.generating and of EntryReport.reading over these
    #: entries, by service.
    generating: dict[str, float] | None = None
    reading: dict[str, float] | None = None
    #: Changes of the addresses where entries get datagrams; a complete update
    #: adds all of them.
    entries_added: tuple[str, ...] = ()
    entries_removed: tuple[str, ...] = ()
    #: Versions that are or lately were no longer listed; in complete updates
    #: and when there are new ones.
    sightings: tuple[VersionSighting, ...] = ()
    #: Time for which the replica has missed no version; zero if not told.
    sightings_cover_ms: int = 0
    #: ``asked_at`` of the entry's last report that asked, if this is the first
    #: update since by a replica that has heard of what most replicas list;
    #: else zero.
    asked_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class FetchSettings:
    """Asks an agent for its settings.

    An entry sends it while no control replica can be reached.
    """

    #: Revision that the entry has.
    revision: int = 0


@dataclass(frozen=True, kw_only=True)
class SettingsReply:
    """The agent's settings if they are newer than the entry's, else None."""

    settings: Settings | None = None
    #: Highest revision that the agent knows of.
    revision: int = 0
