"""Software versions of the servers of each service, and since when."""

from collections import Counter
from typing import Final

from carobspring.domain import BackendServer
from carobspring.protocol import ServiceVersions

#: Seconds for which a control replica's confirmation counts: two heartbeats.
CONTACT_LIFETIME_S: Final = 2.0


class VersionHistory:
    """Tells whether a service has had one version for as long as needed.

    That is certain only after control replicas have listed servers of no
    other version, without a gap, for as long as a stream may last.

    Example:
        ``history.record_contact(now)`` with each confirmed update,
        ``history.record_listed(server, now)`` with each listed server, and
        ``history.describe("svc", now, stream_lifetime_s=12.0)``.
    """

    def __init__(self) -> None:
        self._servers: dict[str, tuple[str, str]] = {}
        #: Versions of the listed servers of each service, and the last one.
        self._listed: dict[str, Counter[str]] = {}
        self._last_version: dict[str, str] = {}
        #: When a service last had, or may have had, another version than now.
        self._changed_at: dict[str, float] = {}
        self._contact_at = float("-inf")
        #: Since when there was no gap between confirmations.
        self._contact_since = float("inf")

    def record_contact(self, now: float) -> None:
        """Record that a control replica has confirmed its list."""
        if not self._has_contact(now):
            self._contact_since = now
        self._contact_at = now

    def record_listed(self, server: BackendServer, now: float) -> None:
        """Record a listed server, in place of its former start."""
        if self._servers.get(server.server_id) == (
            server.service,
            server.software_version,
        ):
            return
        self.record_removed(server.server_id, now)
        service, version = server.service, server.software_version
        listed = self._listed.setdefault(service, Counter())
        if (
            set(listed) - {version}
            or self._last_version.get(service, version) != version
        ):
            self._changed_at[service] = now
        self._servers[server.server_id] = (service, version)
        listed[version] += 1
        self._last_version[service] = version

    def record_removed(self, server_id: str, now: float) -> str | None:
        """Record that a server is no longer listed; return its service."""
        if server_id not in self._servers:
            return None
        service, version = self._servers.pop(server_id)
        listed = self._listed[service]
        listed[version] -= 1
        if listed[version]:
            return service
        del listed[version]
        if listed:
            # Streams that it began until now may still be taken up.
            self._changed_at[service] = now
            self._last_version[service] = next(iter(listed))
        return service

    def list_versions(self, service: str) -> tuple[str, ...]:
        """Return the versions of the listed servers, sorted."""
        return tuple(sorted(self._listed.get(service, ())))

    def describe(
        self, service: str, now: float, *, stream_lifetime_s: float
    ) -> ServiceVersions:
        """Return what is certain of a service's versions."""
        changed_at = self._changed_at.get(service, float("-inf"))
        if len(self._listed.get(service, ())) > 1:
            return ServiceVersions(is_mixed=True)
        if now - changed_at < stream_lifetime_s:
            return ServiceVersions(is_mixed=True)
        is_single = (
            service in self._last_version
            and self._has_contact(now)
            and now - self._contact_since >= stream_lifetime_s
        )
        if not is_single:
            return ServiceVersions()
        return ServiceVersions(is_single=True, version=self._last_version[service])

    def _has_contact(self, now: float) -> bool:
        return now - self._contact_at <= CONTACT_LIFETIME_S
