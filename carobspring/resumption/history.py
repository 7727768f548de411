"""Software versions of the servers of each service, and since when."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from carobspring.domain import BackendServer
from carobspring.protocol import ServiceVersions, VersionSighting

#: Seconds for which a control replica's confirmation counts: two heartbeats.
CONTACT_LIFETIME_S: Final = 2.0
#: Versions of a service that are remembered, those that were seen last.
MAX_VERSIONS: Final = 16


class VersionHistory:
    """Tells whether a service has had one version for as long as needed.

    That is certain only if no control replica has listed servers of another
    version for as long as a stream may be taken up. An entry knows this from
    updates without a gap since then, or from a replica that has missed none.
    A version that was listed since an update was sent is unknown here, however
    late that update was received.

    Example:
        ``history.record_contact(now)`` with each confirmed update,
        ``history.record_listed(server, now)`` with each listed server, and
        ``history.describe("svc", now, stream_lifetime_s=120.0)``.
    """

    def __init__(self) -> None:
        self._servers: dict[str, tuple[str, str]] = {}
        #: Versions of the listed servers of each service.
        self._listed: dict[str, Counter[str]] = {}
        #: When versions of each service were last listed, if they no longer
        #: are.
        self._seen_at: dict[str, dict[str, float]] = {}
        self._contact_at = float("-inf")
        #: When this entry last asked a replica that has confirmed its list
        #: since.
        self.confirmed_at = float("-inf")
        #: Since when no version was missed: there was no gap between
        #: confirmations, or a replica has known them before.
        self._known_since = float("inf")

    def record_contact(
        self, now: float, *, cover_s: float = 0.0, asked_at: float = 0.0
    ) -> None:
        """Record that a control replica has confirmed its list.

        ``cover_s`` is for how long the replica has missed no version, and
        ``asked_at`` when this entry asked for the update, or zero.
        """
        if not self._has_contact(now):
            self._known_since = now
        self._known_since = min(self._known_since, now - cover_s)
        self._contact_at = now
        if asked_at:
            self.confirmed_at = max(self.confirmed_at, asked_at)

    def record_sightings(
        self, sightings: Iterable[VersionSighting], now: float
    ) -> None:
        """Record versions that a replica knows of and no longer lists."""
        for each in sightings:
            self._record_seen(each.service, each.version, now - each.age_ms / 1000)

    def record_listed(self, server: BackendServer, now: float) -> None:
        """Record a listed server, in place of its former start."""
        service, version = server.service, server.software_version
        if self._servers.get(server.server_id) == (service, version):
            return
        self.record_removed(server.server_id, now)
        self._servers[server.server_id] = (service, version)
        self._listed.setdefault(service, Counter())[version] += 1

    def record_removed(self, server_id: str, now: float) -> str | None:
        """Record that a server is no longer listed; return its service."""
        if server_id not in self._servers:
            return None
        service, version = self._servers.pop(server_id)
        listed = self._listed[service]
        listed[version] -= 1
        if not listed[version]:
            del listed[version]
            # Streams that it began until now may still be taken up.
            self._record_seen(service, version, now)
        return service

    def list_versions(self, service: str) -> tuple[str, ...]:
        """Return the versions of the listed servers, sorted."""
        return tuple(sorted(self._listed.get(service, ())))

    def describe(
        self,
        service: str,
        now: float,
        *,
        stream_lifetime_s: float,
        confirmed_since: float = float("-inf"),
    ) -> ServiceVersions:
        """Return what is certain of a service's versions.

        One version is certain only if a replica was asked at
        ``confirmed_since``, or later, and has answered.
        """
        seen_at = self._seen_at.get(service, {})
        since = now - stream_lifetime_s
        versions = {version for version, at in seen_at.items() if at > since}
        versions.update(self._listed.get(service, ()))
        if len(versions) > 1:
            return ServiceVersions(is_mixed=True)
        if not versions:
            # No server has been there for so long that no stream is left.
            versions.update(sorted(seen_at, key=lambda version: seen_at[version])[-1:])
        if not versions or not self._has_contact(now) or self._known_since > since:
            return ServiceVersions()
        if self.confirmed_at < confirmed_since:
            return ServiceVersions()
        return ServiceVersions(is_single=True, version=versions.pop())

    def _record_seen(self, service: str, version: str, at: float) -> None:
        seen_at = self._seen_at.setdefault(service, {})
        seen_at[version] = max(at, seen_at.get(version, at))
        for other in sorted(seen_at, key=lambda each: seen_at[each])[:-MAX_VERSIONS]:
            del seen_at[other]

    def _has_contact(self, now: float) -> bool:
        return now - self._contact_at <= CONTACT_LIFETIME_S
