"""The entries that control replicas hear of, with what is in force there."""

from dataclasses import dataclass, replace

from carobspring.membership.gossip import EntryGossip
from carobspring.protocol import EntryReport

#: An entry that was not heard of for this long is no longer shown.
ENTRY_LEASE_S = 5.0


@dataclass(frozen=True, kw_only=True)
class EntryRecord:
    """An entry's last report, and when by this replica's monotonic clock."""

    report: EntryReport
    reported_at: float
    #: True when the entry reports to this replica itself.
    is_local: bool = True


class EntryTable:
    """Holds the entries that report to this replica or to another one."""

    def __init__(self) -> None:
        self.entries: dict[str, EntryRecord] = {}

    def apply_report(self, report: EntryReport, now: float) -> None:
        """Take an entry's own report over."""
        self._store(EntryRecord(report=report, reported_at=now))

    def apply_gossip(self, news: EntryGossip, now: float) -> None:
        """Take over what another replica heard, unless older than known."""
        reported_at = now - news.age_ms / 1000
        known = self.entries.get(news.report.entry_id)
        if known is None or known.reported_at < reported_at:
            self._store(
                EntryRecord(report=news.report, reported_at=reported_at, is_local=False)
            )

    def list_local_gossip(self, now: float) -> list[EntryGossip]:
        """Return the reports to tell other replicas of."""
        return [
            EntryGossip(
                report=entry.report, age_ms=int((now - entry.reported_at) * 1000)
            )
            for entry in self.entries.values()
            if entry.is_local
        ]

    def find_zone_revisions(self) -> dict[str, int]:
        """Return the oldest revision in force at any entry, by zone."""
        revisions: dict[str, int] = {}
        for entry in self.entries.values():
            report = entry.report
            oldest = revisions.get(report.zone, report.revision)
            revisions[report.zone] = min(oldest, report.revision)
        return revisions

    def sum_generating_demand(self) -> dict[str, float]:
        """Return the engine time for generating that all entries ask for.

        By service, in seconds a second.
        """
        sums: dict[str, float] = {}
        for entry in self.entries.values():
            for service, seconds in (entry.report.generating or {}).items():
                sums[service] = sums.get(service, 0.0) + seconds
        return sums

    def expire(self, now: float) -> list[str]:
        """Drop entries that were not heard of for long; return their names."""
        gone = [
            name
            for name, entry in self.entries.items()
            if now - entry.reported_at > ENTRY_LEASE_S
        ]
        for name in gone:
            del self.entries[name]
        return gone

    def _store(self, state: EntryRecord) -> None:
        known = self.entries.get(state.report.entry_id)
        if known is not None and state.report.attainment is None:
            # Counts are only sent when they changed.
            report = replace(state.report, attainment=known.report.attainment)
            state = replace(state, report=report)
        self.entries[state.report.entry_id] = state
