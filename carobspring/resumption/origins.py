"""Decision where a stream that a caller takes up may go on."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from carobspring.protocol import ServiceVersions, StreamRecord


class SeveralVersionsError(Exception):
    """Nobody knows which of several versions began a stream.

    Args:
        reason: What is known, for the log.
    """

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"the version that began the stream is unknown: {reason}")
        self.reason = reason


@dataclass(frozen=True, kw_only=True)
class StreamOrigin:
    """Where a stream may go on."""

    #: The service that wrote its last events, or None if any of its route may
    #: go on with it.
    service: str | None = None
    #: The version that servers need, by service; others may have any.
    versions: Mapping[str, str] = field(default_factory=dict)


def find_origin(
    services: Sequence[str],
    records: Iterable[StreamRecord],
    opinions: Iterable[Mapping[str, ServiceVersions]],
) -> StreamOrigin:
    """Return where a stream may go on, by what entries know of it.

    A stream whose service its route no longer names goes on at any service of
    the route, whose servers have written nothing of it.

    Args:
        services: The services of the stream's route.
        records: The records that were found, the latest last.
        opinions: What entries know of these services, this one included.

    Raises:
        SeveralVersionsError: It may have begun at one of several versions.
    """
    versions: dict[str, str] = {}
    latest: str | None = None
    is_known = False
    for record in records:
        is_known = True
        if record.service not in services:
            continue
        known = versions.get(record.service, record.version)
        if record.version is None or known != record.version:
            raise SeveralVersionsError(reason="records of several versions")
        versions[record.service] = record.version
        latest = record.service
    if is_known:
        return StreamOrigin(service=latest, versions=versions)
    opinions = tuple(opinions)
    for service in services:
        known_versions = {
            opinion[service].version
            for opinion in opinions
            if service in opinion and opinion[service].is_single
        }
        is_mixed = any(
            service in opinion and opinion[service].is_mixed for opinion in opinions
        )
        if is_mixed or len(known_versions) > 1:
            raise SeveralVersionsError(reason=f"{service} has had several")
        if not known_versions:
            raise SeveralVersionsError(reason=f"{service} may have had several")
        versions[service] = known_versions.pop()
    return StreamOrigin(versions=versions)
