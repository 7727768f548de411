"""Table of the entries that report to control replicas."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from carobspring.membership.gossip import EntryGossip
from carobspring.protocol import EntryReport

#: Seconds after its last report at which an entry is removed.
ENTRY_LEASE_S = 5.0
#: Decimals of a demand, in seconds of engine time per second.
DEMAND_DIGITS: Final = 4


@dataclass(frozen=True, kw_only=True)
class EntryRecord:
    """An entry's last report and the time at which it was received.

    ``reported_at`` is a time of this replica's monotonic clock.
    """

    report: EntryReport
    reported_at: float
    #: True when the entry reports to this replica, not to another one.
    is_local: bool = True


class EntryTable:
    """Stores the entries that report to this replica or to another one."""

    def __init__(self) -> None:
        self.entries: dict[str, EntryRecord] = {}
        #: Where the entries get datagrams; another object after each change.
        self.peer_addresses: frozenset[str] = frozenset()

    def apply_report(self, report: EntryReport, now: float) -> None:
        """Store a report that an entry sent to this replica."""
        self._store(EntryRecord(report=report, reported_at=now))

    def apply_gossip(self, gossip: EntryGossip, now: float) -> None:
        """Store a report from another replica unless a newer one is known."""
        reported_at = now - gossip.age_ms / 1000
        known = self.entries.get(gossip.report.entry_id)
        if known is None or known.reported_at < reported_at:
            self._store(
                EntryRecord(
                    report=gossip.report, reported_at=reported_at, is_local=False
                )
            )

    def list_local_gossip(self, now: float) -> list[EntryGossip]:
        """Return the reports received here, to send to other replicas."""
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
        """Return the demand for token generation of all entries, by service.

        The unit is seconds of engine time per second.
        """
        return _sum_by_service(
            entry.report.generating for entry in self.entries.values()
        )

    def sum_reading_demand(self) -> dict[str, float]:
        """Return the demand for prompt reading of all entries, by service."""
        return _sum_by_service(entry.report.reading for entry in self.entries.values())

    def expire(self, now: float) -> list[str]:
        """Remove entries whose lease has expired; return their names."""
        expired = [
            name
            for name, entry in self.entries.items()
            if now - entry.reported_at > ENTRY_LEASE_S
        ]
        for name in expired:
            del self.entries[name]
        if expired:
            self._collect_addresses()
        return expired

    def _store(self, record: EntryRecord) -> None:
        known = self.entries.get(record.report.entry_id)
        if known is not None and record.report.attainment is None:
            # An entry sends its counts only when they changed.
            report = replace(record.report, attainment=known.report.attainment)
            record = replace(record, report=report)
        self.entries[record.report.entry_id] = record
        before = known.report.peer_address if known is not None else ""
        if record.report.peer_address != before:
            self._collect_addresses()

    def _collect_addresses(self) -> None:
        addresses = {entry.report.peer_address for entry in self.entries.values()}
        self.peer_addresses = frozenset(addresses - {""})


def _sum_by_service(demands: Iterable[dict[str, float] | None]) -> dict[str, float]:
    sums: dict[str, float] = {}
    for demand in demands:
        for service, seconds in (demand or {}).items():
            sums[service] = sums.get(service, 0.0) + seconds
    return {service: round(seconds, DEMAND_DIGITS) for service, seconds in sums.items()}
