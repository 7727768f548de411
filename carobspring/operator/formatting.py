"""Formats responses of the admin API as text."""

from collections import defaultdict

from carobspring.control.reports import AttainmentReport, StatusReport
from carobspring.operator.session import format_subjects, format_time
from carobspring.operator.tables import format_table
from carobspring.protocol import Claim, ClaimState, Strike
from carobspring.settings import AuditEntry

STATE_EXPLANATIONS = {
    ClaimState.CLAIMED: "an agent has it; ask again in a moment",
    ClaimState.DONE: "it ran once; a resend with its key gets this answer",
    ClaimState.NOT_RUN: "it did not run; a resend with its key may run it",
    ClaimState.UNKNOWN: "nobody can say whether it ran; look at the service itself",
}


def format_status(status: StatusReport) -> str:
    """Return the status of the whole system as text."""
    leader = status.leader or "none"
    lines = [f"revision {status.revision}, leader {leader}, asked {status.replica}"]
    if status.last_change_ms:
        when = format_time(status.last_change_ms)
        lines.append(
            f"last change by {status.last_operator} at {when} "
            f"({status.last_change_id or 'no identifier'})"
        )
    votes = [
        f"{each.name} {'votes' if each.votes else 'learns'}" for each in status.replicas
    ]
    if votes:
        lines.append("replicas: " + ", ".join(votes))
    zones = [
        (zone.zone, zone.entries, zone.revision, "yes" if zone.in_force else "NOT YET")
        for zone in status.zones
    ]
    lines += ["", format_table(("ZONE", "ENTRIES", "REVISION", "IN_FORCE"), zones)]
    entries = [
        (each.name, each.zone, each.revision, each.age_ms) for each in status.entries
    ]
    lines += ["", format_table(("ENTRY", "ZONE", "REVISION", "HEARD_MS"), entries)]
    servers = [
        (
            each.server_id,
            each.service,
            each.zone,
            each.boot,
            each.lease_ms,
            f"{each.load.running}/{each.load.limit}",
            sum((each.load.waiting_by_priority or {}).values()),
            _describe_state(each.shown, each.drain_ordered, each.load.draining),
        )
        for each in status.servers
    ]
    headings = ("SERVER", "SERVICE", "ZONE", "BOOT", "LEASE_MS", "RUNNING", "WAITING")
    lines += ["", format_table((*headings, "STATE"), servers)]
    return "\n".join(lines)


def format_attainment(report: AttainmentReport) -> str:
    """Return a table of how many calls of each class met their target."""
    rows = [
        (
            name,
            counts.ended,
            counts.met,
            f"{100 * counts.met / counts.ended:.1f}%" if counts.ended else "-",
            counts.shed,
        )
        for name, counts in report.classes.items()
    ]
    table = format_table(("CLASS", "ENDED", "MET", "ATTAINMENT", "SHED"), rows)
    return f"since their start, at {report.entries} entries\n\n{table}"


def format_audit(entries: tuple[AuditEntry, ...]) -> str:
    """Return audit entries as text, newest first."""
    blocks = []
    for entry in entries:
        when = format_time(entry.at_ms)
        identifier = entry.change_id or "-"
        heading = f"revision {entry.revision} by {entry.operator} at {when}"
        subjects = format_subjects(entry.subjects)
        blocks.append(f"{heading} (change {identifier})\n{subjects}")
    return "\n\n".join(blocks) or "no change fits"


def format_claim(claim: Claim) -> str:
    """Return the state of a unique call with an explanation."""
    rows = [
        ("state", claim.state.value),
        ("claim", claim.number),
        ("workspace", claim.workspace),
        ("service", claim.service),
        ("key", claim.key),
        ("server", f"{claim.server_id} (boot {claim.boot})"),
        ("changed", format_time(claim.changed_ms)),
    ]
    if claim.answer is not None:
        size = len(claim.answer.body)
        rows.append(("answer", f"status {claim.answer.status}, {size} bytes"))
    lines = [f"{name:<10} {value}" for name, value in rows]
    explanation = STATE_EXPLANATIONS.get(claim.state, "")
    return "\n".join([*lines, "", explanation])


def format_strikes(strikes: tuple[Strike, ...]) -> str:
    """Return a table of requests with strikes, in the order given."""
    grouped: dict[tuple[str, str], list[Strike]] = defaultdict(list)
    for strike in strikes:
        grouped[strike.workspace, strike.request_hash].append(strike)
    rows = [
        (
            workspace,
            request_hash,
            len(request_strikes),
            ",".join(sorted({strike.server_id for strike in request_strikes})),
            format_time(request_strikes[-1].at_ms),
        )
        for (workspace, request_hash), request_strikes in grouped.items()
    ]
    return format_table(
        ("WORKSPACE", "REQUEST_HASH", "STRIKES", "SERVERS", "LAST"), rows
    )


def _describe_state(shown: bool, drain_ordered: bool, draining: bool) -> str:
    if not shown:
        return "held back (flapping)"
    if drain_ordered:
        return "draining (ordered)"
    return "draining" if draining else "-"
