"""Messages on the long-lived streams to control replicas.

An agent sends AgentReport and receives AgentUpdate; an entry sends EntryReport
and receives ViewUpdate. On both, a message without content is a heartbeat.
"""

from dataclasses import dataclass

from carobspring.domain import BackendServer, LoadReport, Settings


@dataclass(frozen=True, kw_only=True)
class Strike:
    """A request that was running when a backend server crashed."""

    workspace: str
    request_hash: str
    server_id: str
    boot: int
    #: Wall-clock time in milliseconds.
    at_ms: int
    #: True when it was the only call running: no other can be the cause.
    alone: bool = False


@dataclass(frozen=True, kw_only=True)
class AgentReport:
    """Announces a backend server, renews its lease and reports its load."""

    server: BackendServer | None = None
    load: LoadReport | None = None
    #: True in the last report of a planned stop.
    leaving: bool = False
    strikes: tuple[Strike, ...] = ()
    #: Revision of the settings in force at the agent.
    revision: int = 0


@dataclass(frozen=True, kw_only=True)
class AgentUpdate:
    """Carries settings to an agent; sent at every heartbeat interval."""

    settings: Settings | None = None
    #: Set when the announced boot number is taken: use at least this one.
    minimum_boot: int = 0
    strikes: tuple[Strike, ...] = ()
    #: Strikes that an operator released: forget them.
    released: tuple[Strike, ...] = ()
    #: True while an operator has this server drained: take no new work.
    drain: bool = False


@dataclass(frozen=True, kw_only=True)
class ClassAttainment:
    """Counts of a class's calls at one entry since it started."""

    #: Calls that ended, whatever way.
    ended: int = 0
    #: Calls that met their target.
    met: int = 0
    #: Calls that got the final answer "not run".
    shed: int = 0


@dataclass(frozen=True, kw_only=True)
class EntryReport:
    """Names an entry and the revision of the settings in force there."""

    entry_id: str
    zone: str
    revision: int = 0
    #: Class name to counts; only sent when they changed.
    attainment: dict[str, ClassAttainment] | None = None
    #: Service to the engine time, in seconds a second, that requests which
    #: mostly generate ask for at this entry.
    generating: dict[str, float] | None = None


@dataclass(frozen=True, kw_only=True)
class RoutingConfiguration:
    """One version of all routes, as the operator sent it."""

    version: int = 0
    #: The operator's body, compressed by zlib.
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class ViewUpdate:
    """A change of what an entry routes by.

    The first update on a stream is whole and read through the quorum:
    ``complete`` is set and servers that it doesn't name are gone. Later ones
    name only what changed.
    """

    view: int = 0
    complete: bool = False
    settings: Settings | None = None
    servers: tuple[BackendServer, ...] = ()
    loads: dict[str, LoadReport] | None = None
    removed: tuple[str, ...] = ()
    strikes: tuple[Strike, ...] = ()
    #: Strikes that an operator released: forget them.
    released: tuple[Strike, ...] = ()
    #: Set when it is newer than what this stream was told before.
    routing: RoutingConfiguration | None = None
    #: gRPC addresses of all control replicas, when they changed.
    replicas: tuple[str, ...] = ()
    #: False while the replica can't tell whether the quorum knows newer.
    confirmed: bool = True
    #: Entries that this replica hears of; zero when it does not say.
    entry_count: int = 0
    #: Service to what all of them together say of generating.
    generating: dict[str, float] | None = None


@dataclass(frozen=True, kw_only=True)
class FetchSettings:
    """Asks an agent for its settings, by an entry that control can't reach."""

    #: Revision that the asker has.
    revision: int = 0


@dataclass(frozen=True, kw_only=True)
class SettingsReply:
    """The agent's settings when newer than the asker's, else nothing."""

    settings: Settings | None = None
    #: Highest revision that the agent has heard of.
    revision: int = 0
