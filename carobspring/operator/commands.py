"""The command tree of ``carobctl``, as fire reads it."""

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec

from carobspring.control.reports import (
    AttainmentReport,
    CountReport,
    DrainRequestBody,
    ReleaseRequestBody,
    ReplicaRequestBody,
    StatusReport,
)
from carobspring.domain.errors import InvalidValueError
from carobspring.operator.formatting import (
    format_attainment,
    format_audit,
    format_claim,
    format_status,
    format_strikes,
)
from carobspring.operator.session import Session
from carobspring.operator.settings_commands import (
    ClassCommands,
    ServiceCommands,
    WorkspaceCommands,
)
from carobspring.operator.settings_file import plan_changes, read_settings_file
from carobspring.protocol import Claim, Strike
from carobspring.settings import AuditEntry, generate_key, hash_key


class CallCommands:
    """Unique calls: what became of one."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def show(
        self, workspace: str = "", service: str = "", key: str = "", number: str = ""
    ) -> None:
        """Show a unique call by workspace, service and key, or by number.

        Args:
            workspace: whose call it is.
            service: the service that was called.
            key: its Idempotency-Key.
            number: the number of its claim, as logs and headers show it.
        """
        query = {"workspace": workspace, "service": service, "key": key}
        if number:
            query = {"number": number}
        print(format_claim(self._session.client.get("/v1/calls", Claim, query)))


class QuarantineCommands:
    """Requests that were running when a backend server crashed."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> None:
        """Show every request with a strike."""
        client = self._session.client
        print(format_strikes(client.get("/v1/quarantine", tuple[Strike, ...])))

    def release(self, workspace: str, request_hash: str) -> None:
        """Forget a request's strikes, so that it is served again.

        Args:
            workspace: whose request it is.
            request_hash: as `quarantine list` shows it.
        """
        order = ReleaseRequestBody(workspace=workspace, request_hash=request_hash)
        client = self._session.client
        answer = client.post("/v1/quarantine/release", order, CountReport)
        print(f"{answer.count} strikes forgotten")


class OperatorCommands:
    """Operators' tokens."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def new(self, name: str) -> None:
        """Make a token for an operator; asks no replica.

        Args:
            name: how the audit trail is to name the operator.
        """
        token = generate_key(name)
        print(f"token (shown this once): {token}")
        print(f"add to --operators of every carob-control: {name}={hash_key(token)}")


class ReplicaCommands:
    """Control replicas: replace one whose disk is lost."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def add(self, name: str) -> None:
        """Let an empty replica get the log, without a vote yet."""
        self._order("add", name)
        print(f"{name} gets the log now; then `carobctl replica promote {name}`")

    def promote(self, name: str) -> None:
        """Give a replica that caught up its vote."""
        self._order("promote", name)
        print(f"{name} votes now")

    def remove(self, name: str) -> None:
        """Take a replica out, such as one whose disk is lost."""
        self._order("remove", name)
        print(f"{name} is out")

    def _order(self, action: str, name: str) -> None:
        client = self._session.client
        client.post(
            f"/v1/replicas/{action}", ReplicaRequestBody(name=name), CountReport
        )


class Carobctl:
    """Steer carobspring by targets and priorities.

    Flags of every command: --admin=HOST:PORT,... names control replicas (or
    CAROB_ADMIN); --token=TOKEN is the operator's (or CAROB_OPERATOR_TOKEN).

    Flags of every change: --change-id=ID names it, give the same one to send
    it again; --base-revision=N is the one that you looked at, else the
    present one; --dry-run says what would change and changes nothing; --wait
    waits until it is in force in every zone, --wait-timeout-s=15 at most.

    Exit codes: 0 done; 1 refused; 2 wrong usage; 3 another change came first;
    4 no replica answered; 5 accepted, not in force everywhere yet; 6 the
    token is wrong.
    """

    def __init__(self, session: Session) -> None:
        self._session = session
        setattr(self, "class", ClassCommands(session))
        self.workspace = WorkspaceCommands(session)
        self.service = ServiceCommands(session)
        self.calls = CallCommands(session)
        self.quarantine = QuarantineCommands(session)
        self.operator = OperatorCommands(session)
        self.replica = ReplicaCommands(session)

    def status(self, *, json: bool = False) -> None:
        """Say what revision is in force where, and who changed it last.

        Args:
            json: print JSON for scripts.
        """
        status = self._session.client.get("/v1/status", StatusReport)
        print(format_json(status) if json else format_status(status))

    def attainment(self, *, json: bool = False) -> None:
        """Show how many calls of each class met their target.

        Args:
            json: print JSON for scripts.
        """
        report = self._session.client.get("/v1/attainment", AttainmentReport)
        print(format_json(report) if json else format_attainment(report))

    def audit(
        self,
        *,
        by: str = "",
        subject: str = "",
        change: str = "",
        since: str = "",
        limit: str = "50",
        json: bool = False,
    ) -> None:
        """Show who changed what, when, from what to what; newest first.

        Args:
            by: only this operator's changes.
            subject: only changes of subjects with this text, as "class chat".
            change: only the change with this identifier.
            since: only changes from this time on, as 2026-12-31T08:00Z.
            limit: how many at most.
            json: print JSON for scripts.
        """
        query = {"limit": limit, "subject": subject}
        if by:
            query["operator"] = by
        if change:
            query["change_id"] = change
        if since:
            query["since_ms"] = str(parse_time(since))
        entries = self._session.client.get("/v1/audit", tuple[AuditEntry, ...], query)
        print(format_json(entries) if json else format_audit(entries))

    def drain(self, server: str, *, undo: bool = False) -> None:
        """Let a backend server take no new work; what it has goes on.

        Args:
            server: its name, as `status` shows it.
            undo: end the drain instead.
        """
        order = DrainRequestBody(server_id=server, drain=not undo)
        answer = self._session.client.post("/v1/drain", order, CountReport)
        state = "in service again" if undo else "draining"
        was = "" if answer.count else " (as before)"
        print(f"{server} is {state}{was}; `carobctl status` shows what still runs")

    def apply(self, file: str) -> None:
        """Make the settings as a file says; see docs/OPERATIONS.md.

        Args:
            file: TOML, or JSON when its name ends in .json.
        """
        wanted = read_settings_file(Path(file))
        editor = self._session.editor.with_base_revision(wanted.base_revision)
        report = editor.send(lambda settings: plan_changes(settings, wanted))
        self._session.show(report)


def format_json(value: Any) -> str:
    """Return a value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def parse_time(text: str) -> int:
    """Return a time given as text in milliseconds; UTC without a zone."""
    try:
        time = datetime.fromisoformat(text)
    except ValueError as error:
        expected = "a time such as 2026-12-31T08:00Z"
        raise InvalidValueError(field="since", value=text, expected=expected) from error
    if time.tzinfo is None:
        time = time.replace(tzinfo=UTC)
    return int(time.timestamp() * 1000)
