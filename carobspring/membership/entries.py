"""The entries that control replicas hear of, with what is in force there."""

from dataclasses import dataclass, replace

from carobspring.protocol import ClassAttainment, EntryReport

#: An entry that was not heard of for this long is no longer shown.
ENTRY_LEASE_S = 5.0


@dataclass(frozen=True, kw_only=True)
class EntryState:
    """An entry as last heard of, at a monotonic time of this replica."""

    entry_id: str
    zone: str
    revision: int
    heard_at: float
    attainment: dict[str, ClassAttainment] | None = None


class EntryTable:
    """Holds the entries that report to this replica or to another one."""

    def __init__(self) -> None:
        self.entries: dict[str, EntryState] = {}

    def note_report(self, report: EntryReport, now: float) -> bool:
        """Take a report over; return whether the revision in force changed."""
        known = self.entries.get(report.entry_id)
        if known is not None and known.heard_at > now:
            return False
        state = EntryState(
            entry_id=report.entry_id,
            zone=report.zone,
            revision=report.revision,
            heard_at=now,
            attainment=report.attainment,
        )
        if known is not None and report.attainment is None:
            state = replace(state, attainment=known.attainment)
        self.entries[report.entry_id] = state
        return known is None or known.revision != report.revision

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
