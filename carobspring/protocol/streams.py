"""Messages between entries about the streams that callers may take up again.

They travel as single datagrams, which may be lost.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class StreamRecord:
    """Tells which servers of a service may go on with a stream."""

    #: Hash of the workspace and of the request that brought the first event.
    stream: bytes
    service: str
    #: Version of the software that wrote the stream's events; empty for
    #: servers that name none, and None if there is no such version.
    version: str | None
    #: Time for which the caller may still take the stream up.
    left_ms: int


@dataclass(frozen=True, kw_only=True)
class StreamQuestion:
    """Asks for the records of a stream, and for the versions of services."""

    stream: bytes
    #: Identifies the question at the entry that asks it.
    number: int
    services: tuple[str, ...] = ()
    #: Longest time for which a stream of these services may be taken up.
    stream_lifetime_ms: int = 0
    #: Whether to ask a control replica before a single version is named.
    must_confirm: bool = False


@dataclass(frozen=True, kw_only=True)
class ServiceVersions:
    """What an entry knows of the software versions of a service.

    Either flag is set only if it is certain for as long as a stream may last;
    neither is set at an entry that has lately started or lost its control
    replicas. That there was one version is certain only until a control
    replica was last heard: it says nothing of a stream that began later.
    """

    #: All servers had the version ``version``.
    is_single: bool = False
    #: Servers had several versions.
    is_mixed: bool = False
    version: str = ""


@dataclass(frozen=True, kw_only=True)
class StreamAnswer:
    """Answers a question."""

    number: int
    records: tuple[StreamRecord, ...] = ()
    services: Mapping[str, ServiceVersions] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class StreamMessage:
    """One datagram: records, a question or an answer."""

    records: tuple[StreamRecord, ...] = ()
    question: StreamQuestion | None = None
    answer: StreamAnswer | None = None
