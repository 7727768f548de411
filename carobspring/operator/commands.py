"""The commands of ``carobctl``, which fire exposes on the command line."""

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
    """Unique calls and their outcome."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def show(
        self, workspace: str = "", service: str = "", key: str = "", number: str = ""
    ) -> None:
        """Show a unique call by workspace, service and key, or by number.

        Args:
            workspace: the workspace that made the call.
            service: the service that was called.
            key: the Idempotency-Key of the call.
            number: the number of the claim, as shown in logs and headers.
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
        """List all requests with strikes."""
        client = self._session.client
        print(format_strikes(client.get("/v1/quarantine", tuple[Strike, ...])))

    def release(self, workspace: str, request_hash: str) -> None:
        """Remove the strikes of a request, so that it is served again.

        Args:
            workspace: the workspace that made the request.
            request_hash: the hash that `quarantine list` shows.
        """
        body = ReleaseRequestBody(workspace=workspace, request_hash=request_hash)
        client = self._session.client
        result = client.post("/v1/quarantine/release", body, CountReport)
        print(f"{result.count} strikes forgotten")


class OperatorCommands:
    """Tokens of operators."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def new(self, name: str) -> None:
        """Generate a token for an operator, without using a replica.

        Args:
            name: the name of the operator in the audit trail.
        """
        token = generate_key(name)
        print(f"token (shown this once): {token}")
        print(f"add to --operators of every carob-control: {name}={hash_key(token)}")


class ReplicaCommands:
    """Control replicas: replace a replica whose disk is lost."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def add(self, name: str) -> None:
        """Add an empty replica as a learner, which does not vote."""
        self._change_member("add", name)
        print(f"{name} gets the log now; then `carobctl replica promote {name}`")

    def promote(self, name: str) -> None:
        """Make a learner that has caught up a voting member."""
        self._change_member("promote", name)
        print(f"{name} votes now")

    def remove(self, name: str) -> None:
        """Remove a replica, such as one whose disk is lost."""
        self._change_member("remove", name)
        print(f"{name} is out")

    def _change_member(self, action: str, name: str) -> None:
        client = self._session.client
        client.post(
            f"/v1/replicas/{action}", ReplicaRequestBody(name=name), CountReport
        )


class Carobctl:
    """Manage carobspring by latency targets and priorities.

    Flags of all commands: --admin=HOST:PORT,... are the control replicas (or
    CAROB_ADMIN); --token=TOKEN is the operator's token (or
    CAROB_OPERATOR_TOKEN).

    Flags of all changes: --change-id=ID identifies the change, use the same
    one to resend it; --base-revision=N is the revision that the change is
    based on, by default the current one; --dry-run shows the changes without
    applying them; --wait waits until the change is in force in all zones, for
    at most --wait-timeout-s=15 seconds.

    Exit codes: 0 success; 1 refused; 2 usage error; 3 conflict with another
    change; 4 no replica answered; 5 accepted, but not yet in force in all
    zones; 6 invalid token.
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
        """Show the revision of each zone and the last change.

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
        """Show the audit trail with old and new values, newest change first.

        Args:
            by: only changes by this operator.
            subject: only changes of objects whose name contains this text,
                such as "class chat".
            change: only the change with this identifier.
            since: only changes since this time, such as 2026-12-31T08:00Z.
            limit: largest number of changes.
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
        """Drain a backend server: it finishes its calls and gets no new ones.

        Args:
            server: the name that `status` shows.
            undo: end the drain.
        """
        body = DrainRequestBody(server_id=server, drain=not undo)
        result = self._session.client.post("/v1/drain", body, CountReport)
        state = "in service again" if undo else "draining"
        unchanged = "" if result.count else " (as before)"
        print(
            f"{server} is {state}{unchanged}; `carobctl status` shows what still runs"
        )

    def apply(self, file: str) -> None:
        """Apply a settings file; see docs/OPERATIONS.md.

        Args:
            file: a TOML file, or a JSON file if its name ends in .json.
        """
        settings_file = read_settings_file(Path(file))
        editor = self._session.editor.with_base_revision(settings_file.base_revision)
        report = editor.send(lambda settings: plan_changes(settings, settings_file))
        self._session.show(report)


def format_json(value: Any) -> str:
    """Return a value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def parse_time(text: str) -> int:
    """Parse an ISO 8601 time, by default in UTC; return milliseconds."""
    try:
        time = datetime.fromisoformat(text)
    except ValueError as error:
        expected = "a time such as 2026-12-31T08:00Z"
        raise InvalidValueError(field="since", value=text, expected=expected) from error
    if time.tzinfo is None:
        time = time.replace(tzinfo=UTC)
    return int(time.timestamp() * 1000)
