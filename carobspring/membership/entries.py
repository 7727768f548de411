"""The entries that control replicas hear of, with what is in force there."""

from dataclasses import dataclass, replace

from carobspring.membership.gossip import EntryNews
from carobspring.protocol import EntryReport

#: An entry that was not heard of for this long is no longer shown.
ENTRY_LEASE_S = 5.0


@dataclass(frozen=True, kw_only=True)
class EntryState:
    """An entry's last report, and when by this replica's monotonic clock."""

    report: EntryReport
    heard_at: float
    #: True when the entry reports to this replica itself.
    is_own: bool = True


class EntryTable:
    """Holds the entries that report to this replica or to another one."""

    def __init__(self) -> None:
        self.entries: dict[str, EntryState] = {}

    def note_report(self, report: EntryReport, now: float) -> None:
        """Take an entry's own report over."""
        self._store(EntryState(report=report, heard_at=now))

    def note_news(self, news: EntryNews, now: float) -> None:
        """Take over what another replica heard, unless older than known."""
        heard_at = now - news.age_ms / 1000
        known = self.entries.get(news.report.entry_id)
        if known is None or known.heard_at < heard_at:
            self._store(EntryState(report=news.report, heard_at=heard_at, is_own=False))

    def list_own_reports(self, now: float) -> list[EntryNews]:
        """Return the reports to tell other replicas of."""
        return [
            EntryNews(report=entry.report, age_ms=int((now - entry.heard_at) * 1000))
            for entry in self.entries.values()
            if entry.is_own
        ]

    def find_zone_revisions(self) -> dict[str, int]:
        """Return the oldest revision in force at any entry, by zone."""
        revisions: dict[str, int] = {}
        for entry in self.entries.values():
            report = entry.report
            oldest = revisions.get(report.zone, report.revision)
            revisions[report.zone] = min(oldest, report.revision)
        return revisions

    def sum_generating(self) -> dict[str, float]:
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
            if now - entry.heard_at > ENTRY_LEASE_S
        ]
        for name in gone:
            del self.entries[name]
        return gone

    def _store(self, state: EntryState) -> None:
        known = self.entries.get(state.report.entry_id)
        if known is not None and state.report.attainment is None:
            # Counts are only sent when they changed.
            report = replace(state.report, attainment=known.report.attainment)
            state = replace(state, report=report)
        self.entries[state.report.entry_id] = state
