"""Reports of the admin API's routes for status and attainment."""

from collections import defaultdict

from carobspring.control.reports import (
    AttainmentReport,
    ProgramStatus,
    ReplicaStatus,
    ServerStatus,
    StatusReport,
    ZoneStatus,
)
from carobspring.control.state import ControlState
from carobspring.protocol import ClassAttainment


def build_status_report(
    state: ControlState, leader: str, replicas: tuple[ReplicaStatus, ...]
) -> StatusReport:
    """Return the status of the whole system as known to this replica."""
    settings = state.machine.settings
    last_change = settings.get_last_audit_entry()
    entries = _list_entries(state)
    return StatusReport(
        replica=state.replica_id,
        leader=leader,
        revision=settings.settings.revision,
        zones=_list_zones(entries, settings.settings.revision),
        entries=entries,
        servers=_list_servers(state),
        replicas=replicas,
        last_change_id=last_change.change_id if last_change else "",
        last_operator=last_change.operator if last_change else "",
        last_change_ms=last_change.at_ms if last_change else 0,
    )


def sum_attainment(state: ControlState) -> AttainmentReport:
    """Return the counts of each service class, summed over all entries."""
    ended: dict[str, int] = defaultdict(int)
    met: dict[str, int] = defaultdict(int)
    shed: dict[str, int] = defaultdict(int)
    for entry in state.entries.entries.values():
        for name, counts in (entry.report.attainment or {}).items():
            ended[name] += counts.ended
            met[name] += counts.met
            shed[name] += counts.shed
    classes = {
        name: ClassAttainment(ended=ended[name], met=met[name], shed=shed[name])
        for name in sorted(ended)
    }
    return AttainmentReport(entries=len(state.entries.entries), classes=classes)


def _list_entries(state: ControlState) -> tuple[ProgramStatus, ...]:
    now = state.clock.read_monotonic()
    return tuple(
        ProgramStatus(
            name=entry.report.entry_id,
            zone=entry.report.zone,
            revision=entry.report.revision,
            age_ms=int((now - entry.reported_at) * 1000),
        )
        for _, entry in sorted(state.entries.entries.items())
    )


def _list_zones(
    entries: tuple[ProgramStatus, ...], revision: int
) -> tuple[ZoneStatus, ...]:
    revisions_by_zone: dict[str, list[int]] = defaultdict(list)
    for entry in entries:
        revisions_by_zone[entry.zone].append(entry.revision)
    return tuple(
        ZoneStatus(
            zone=zone,
            entries=len(revisions),
            revision=min(revisions),
            in_force=min(revisions) >= revision,
        )
        for zone, revisions in sorted(revisions_by_zone.items())
    )


def _list_servers(state: ControlState) -> tuple[ServerStatus, ...]:
    now = state.clock.read_monotonic()
    return tuple(
        ServerStatus(
            server_id=member.server.server_id,
            service=member.server.service,
            zone=member.server.zone,
            boot=member.server.boot,
            lease_ms=max(0, int((member.lease_expires_at - now) * 1000)),
            drain_ordered=member.server.server_id in state.machine.drained,
            shown=member.is_visible,
            load=member.load,
        )
        for member in state.members.list_present()
    )
