"""Software versions that services had until lately."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from carobspring.protocol import VersionSighting

#: Seconds for which a version is remembered after its last server. No stream
#: is taken up so long after it began.
RETENTION_S: Final = 600.0
#: Versions that are remembered; those that were seen last are kept.
MAX_SIGHTINGS: Final = 1_000


class VersionLog:
    """Remembers the versions of servers that are no longer listed.

    Entries learn from it what they can't know after a start: whether streams
    of another version may still be taken up. It is soft state that replicas
    share, and that they keep over a restart.

    Example:
        ``log.record("svc", "v1", now)`` when a server of that version is
        gone, and ``log.list_sightings(now)`` for an entry.
    """

    def __init__(self, *, known_since: float) -> None:
        self._seen_at: OrderedDict[tuple[str, str], float] = OrderedDict()
        #: Time from which on no version is missing; minus infinity if there
        #: were no servers before.
        self.known_since = known_since
        #: Incremented with each change.
        self.change_count = 0

    def record(self, service: str, version: str, at: float) -> None:
        """Record that a version was listed until a time, or later."""
        key = (service, version)
        if self._seen_at.get(key, float("-inf")) >= at:
            return
        self._seen_at[key] = at
        self._seen_at.move_to_end(key)
        self.change_count += 1
        while len(self._seen_at) > MAX_SIGHTINGS:
            _, evicted_at = self._seen_at.popitem(last=False)
            self.known_since = max(self.known_since, evicted_at)

    def merge(self, sightings: Iterable[VersionSighting], now: float) -> None:
        """Add what another replica, or an earlier run, has recorded."""
        for each in sightings:
            if each.age_ms < RETENTION_S * 1000:
                self.record(each.service, each.version, now - each.age_ms / 1000)

    def list_sightings(self, now: float) -> tuple[VersionSighting, ...]:
        """Return what is remembered, with its age."""
        return tuple(
            VersionSighting(
                service=service, version=version, age_ms=max(0, int((now - at) * 1000))
            )
            for (service, version), at in self._seen_at.items()
            if now - at < RETENTION_S
        )

    def compute_cover_ms(self, now: float) -> int:
        """Return for how long no version has been missed, in ms.

        It is never zero, which stands for no account, and never longer than
        versions are remembered.
        """
        cover_s = min(RETENTION_S, now - self.known_since)
        return max(1, int(cover_s * 1000))
