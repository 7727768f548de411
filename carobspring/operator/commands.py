"""The command tree of ``carobctl``, as fire reads it."""

import os
import sys
from dataclasses import dataclass
from datetime import UTC, datetime

from fire.decorators import SetParseFn, SetParseFns

from carobspring.control.reports import ChangeReport, StatusReport
from carobspring.operator.client import AdminClient
from carobspring.operator.editing import (
    SettingsEditor,
    plan_class,
    plan_service,
    plan_workspace,
)
from carobspring.operator.tables import write_table
from carobspring.operator.waiting import wait_until_in_force
from carobspring.settings import (
    Change,
    KeyAddition,
    KeyRemoval,
    find_fingerprint,
    generate_key,
    hash_key,
)

DEFAULT_ADMIN = "127.0.0.1:7101"
parse_text = SetParseFn(str)


@dataclass(frozen=True, kw_only=True)
class Session:
    """What the flags that every command takes have set."""

    client: AdminClient
    editor: SettingsEditor
    wait: bool
    wait_timeout_s: float

    def report(self, change: ChangeReport) -> None:
        """Show a change, and wait for it when that was asked for."""
        for subject in change.subjects:
            print(f"{subject.subject}:")
            print(f"  - {subject.before or '(none)'}")
            print(f"  + {subject.after or '(none)'}")
        if change.dry_run:
            print(f"dry run on revision {change.revision}: nothing was changed")
            return
        print(f"accepted as revision {change.revision} (change {change.change_id})")
        if self.wait:
            wait_until_in_force(
                self.client,
                revision=change.revision,
                timeout_s=self.wait_timeout_s,
                show=lambda line: print(line, flush=True),
            )


class ClassCommands:
    """Service classes: a priority and latency targets."""

    def __init__(self, session: Session) -> None:
        self._session = session

    @parse_text
    def set(
        self,
        name: str,
        priority: str | None = None,
        first_token_ms: str | None = None,
        token_gap_ms: str | None = None,
        total_ms: str | None = None,
    ) -> None:
        """Create or change a class; what is not given stays.

        Args:
            name: the class, such as chat.
            priority: 0 to 100; a larger one goes first.
            first_token_ms: target for the first token, in milliseconds.
            token_gap_ms: target for the mean gap between tokens.
            total_ms: target for a whole answer.
        """
        given = {
            "first_token_ms": first_token_ms,
            "token_gap_ms": token_gap_ms,
            "total_ms": total_ms,
        }
        targets = {
            field: read_number(field, value)
            for field, value in given.items()
            if value is not None
        }
        number = None if priority is None else read_number("priority", priority)
        self._session.report(
            self._session.editor.send(
                lambda settings: plan_class(settings, name, number, targets)
            )
        )

    @parse_text
    def remove(self, name: str) -> None:
        """Remove a class that no workspace has as its default."""
        changes = (Change(remove_class=name),)
        self._session.report(self._session.editor.send(lambda _: changes))

    def list(self) -> None:
        """Show every class, first served first."""
        classes = self._session.editor.read_settings().classes.values()
        rows = [
            (
                each.name,
                each.priority,
                each.target.first_token_ms,
                each.target.token_gap_ms,
                each.target.total_ms,
            )
            for each in sorted(classes, key=lambda each: (-each.priority, each.name))
        ]
        headings = ("CLASS", "PRIORITY", "FIRST_TOKEN_MS", "TOKEN_GAP_MS", "TOTAL_MS")
        print(write_table(headings, rows))


class WorkspaceCommands:
    """Workspaces: a default class, a limit, and keys."""

    def __init__(self, session: Session) -> None:
        self._session = session

    @parse_text
    def set(
        self,
        name: str,
        default_class: str = "",
        concurrency_limit: str | None = None,
        key: str = "",
    ) -> None:
        """Create or change a workspace; what is not given stays.

        Args:
            name: the workspace.
            default_class: class of calls that name none.
            concurrency_limit: calls in flight at one entry; 0 for no limit.
            key: a key to add; "new" makes one and prints it this once.
        """
        limit = None
        if concurrency_limit is not None:
            limit = read_number("concurrency_limit", concurrency_limit)
        if key == "new":
            key = generate_key(name)
            print(f"key (shown this once): {key}")
        additions: tuple[Change, ...] = ()
        if key:
            addition = KeyAddition(workspace=name, key_hash=hash_key(key))
            additions = (Change(add_key=addition),)
        self._session.report(
            self._session.editor.send(
                lambda settings: (
                    Change(
                        set_workspace=plan_workspace(
                            settings, name, default_class, limit
                        )
                    ),
                    *additions,
                )
            )
        )

    @parse_text
    def remove(self, name: str) -> None:
        """Remove a workspace and its keys."""
        changes = (Change(remove_workspace=name),)
        self._session.report(self._session.editor.send(lambda _: changes))

    @parse_text
    def remove_key(self, name: str, fingerprint: str) -> None:
        """Remove a key, by the fingerprint that `workspace list` shows."""
        removal = KeyRemoval(workspace=name, fingerprint=fingerprint)
        changes = (Change(remove_key=removal),)
        self._session.report(self._session.editor.send(lambda _: changes))

    def list(self) -> None:
        """Show every workspace with the fingerprints of its keys."""
        workspaces = self._session.editor.read_settings().workspaces
        rows = [
            (
                name,
                each.default_class,
                each.concurrency_limit or "-",
                ",".join(find_fingerprint(text) for text in each.key_hashes),
            )
            for name, each in sorted(workspaces.items())
        ]
        print(write_table(("WORKSPACE", "DEFAULT_CLASS", "LIMIT", "KEYS"), rows))


class ServiceCommands:
    """Services: their kind, and which of their calls run at most once."""

    def __init__(self, session: Session) -> None:
        self._session = session

    @parse_text
    def set(self, name: str, kind: str = "", unrepeatable: str | None = None) -> None:
        """Declare or change a service; what is not given stays.

        Args:
            name: the service that agents announce.
            kind: model or plain.
            unrepeatable: routes such as "POST /bookings,PUT /records" whose
                calls run at most once.
        """
        self._session.report(
            self._session.editor.send(
                lambda settings: plan_service(settings, name, kind, unrepeatable)
            )
        )

    @parse_text
    def remove(self, name: str) -> None:
        """Remove the declaration of a service."""
        changes = (Change(remove_service=name),)
        self._session.report(self._session.editor.send(lambda _: changes))

    def list(self) -> None:
        """Show every declared service."""
        services = self._session.editor.read_settings().services
        rows = [
            (
                name,
                each.kind.value,
                ", ".join(f"{r.method} {r.path}" for r in each.unrepeatable) or "-",
            )
            for name, each in sorted(services.items())
        ]
        print(write_table(("SERVICE", "KIND", "UNREPEATABLE"), rows))


@SetParseFns(admin=str, token=str, change_id=str)
class Carobctl:
    """Steers carobspring by targets and priorities.

    Exit codes: 0 done; 1 refused; 2 wrong usage; 3 another change came first;
    4 no replica answered; 5 accepted, not in force everywhere yet; 6 the
    token is wrong.

    Args:
        admin: control replicas as HOST:PORT with commas between (CAROB_ADMIN).
        token: the operator's token (CAROB_OPERATOR_TOKEN).
        change_id: identifier of the change; give the same one to resend it.
        base_revision: revision that you looked at; else the present one.
        dry_run: say what would change, and change nothing.
        wait: wait until the change is in force in every zone.
        wait_timeout_s: seconds to wait.
    """

    def __init__(
        self,
        *,
        admin: str = "",
        token: str = "",
        change_id: str = "",
        base_revision: int = -1,
        dry_run: bool = False,
        wait: bool = False,
        wait_timeout_s: float = 15.0,
    ) -> None:
        admin = admin or os.environ.get("CAROB_ADMIN", DEFAULT_ADMIN)
        token = token or os.environ.get("CAROB_OPERATOR_TOKEN", "")
        addresses = tuple(filter(None, (a.strip() for a in admin.split(","))))
        client = AdminClient(addresses=addresses, token=token)
        editor = SettingsEditor(
            client=client,
            change_id=change_id,
            base_revision=base_revision,
            dry_run=dry_run,
        )
        self._session = Session(
            client=client, editor=editor, wait=wait, wait_timeout_s=wait_timeout_s
        )
        setattr(self, "class", ClassCommands(self._session))
        self.workspace = WorkspaceCommands(self._session)
        self.service = ServiceCommands(self._session)

    def status(self) -> None:
        """Say what revision is in force where, and who changed it last."""
        status = self._session.client.get("/v1/status", StatusReport)
        print(write_status(status))


def write_status(status: StatusReport) -> str:
    """Return the status as text for people."""
    leader = status.leader or "none"
    lines = [
        f"revision {status.revision}, leader {leader}, asked {status.replica}",
    ]
    if status.last_change_ms:
        when = write_time(status.last_change_ms)
        lines.append(
            f"last change by {status.last_operator} at {when} "
            f"({status.last_change_id or 'no identifier'})"
        )
    zones = [
        (z.zone, z.entries, z.revision, "yes" if z.in_force else "NOT YET")
        for z in status.zones
    ]
    lines += ["", write_table(("ZONE", "ENTRIES", "REVISION", "IN_FORCE"), zones)]
    servers = [
        (
            each.server_id,
            each.service,
            each.zone,
            each.boot,
            each.lease_ms,
            f"{each.load.running}/{each.load.limit}",
            sum((each.load.waiting_by_priority or {}).values()),
            "draining" if each.drain_ordered or each.load.draining else "-",
        )
        for each in status.servers
    ]
    headings = (
        "SERVER",
        "SERVICE",
        "ZONE",
        "BOOT",
        "LEASE_MS",
        "RUNNING",
        "WAITING",
        "DRAIN",
    )
    lines += ["", write_table(headings, servers)]
    return "\n".join(lines)


def write_time(at_ms: int) -> str:
    """Return a wall-clock time in milliseconds as UTC text."""
    return datetime.fromtimestamp(at_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def read_number(field: str, text: str) -> int:
    """Return a whole number; end with the exit code of wrong usage if not."""
    try:
        return int(text)
    except ValueError:
        print(f"carobctl: --{field}: got {text!r}, expected a number", file=sys.stderr)
        sys.exit(2)
