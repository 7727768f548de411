"""Commands that change classes, workspaces and services."""

from carobspring.domain.errors import InvalidValueError
from carobspring.operator.editing import build_workspace_spec, plan_class, plan_service
from carobspring.operator.session import Session, parse_number
from carobspring.operator.tables import format_table
from carobspring.settings import (
    Change,
    KeyAddition,
    KeyRemoval,
    generate_key,
    get_fingerprint,
    hash_key,
)


class ClassCommands:
    """Service classes: a priority and latency targets."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def set(
        self,
        name: str,
        priority: str | None = None,
        first_token_ms: str | None = None,
        token_gap_ms: str | None = None,
        total_ms: str | None = None,
    ) -> None:
        """Create or change a class; omitted values are kept.

        Args:
            name: the class, such as chat.
            priority: 0 to 100; a larger priority is served first.
            first_token_ms: target for the first token, in milliseconds.
            token_gap_ms: target for the mean gap between tokens.
            total_ms: target for a complete response.
        """
        given = {
            "first_token_ms": first_token_ms,
            "token_gap_ms": token_gap_ms,
            "total_ms": total_ms,
        }
        targets = {
            field: parse_number(field, value)
            for field, value in given.items()
            if value is not None
        }
        number = None if priority is None else parse_number("priority", priority)
        self._session.change(
            lambda settings: plan_class(settings, name, number, targets)
        )

    def remove(self, name: str) -> None:
        """Remove a class that is not the default class of a workspace."""
        changes = (Change(remove_class=name),)
        self._session.change(lambda _: changes)

    def list(self) -> None:
        """List all classes in order of priority."""
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
        print(format_table(headings, rows))


class WorkspaceCommands:
    """Workspaces: a default class, a limit and keys."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def set(
        self,
        name: str,
        default_class: str = "",
        concurrency_limit: str | None = None,
        key: str = "",
    ) -> None:
        """Create or change a workspace; omitted values are kept.

        Args:
            name: the workspace.
            default_class: the class of calls that specify none.
            concurrency_limit: calls in flight at one entry; 0 is unlimited.
            key: a key to add; "new" generates a key and prints it once.
        """
        limit = None
        if concurrency_limit is not None:
            limit = parse_number("concurrency_limit", concurrency_limit)
        if key == "new":
            key = generate_key(name)
            print(f"key (shown this once): {key}")
        additions: tuple[Change, ...] = ()
        if key:
            additions = (_build_key_addition(name, key),)
        self._session.change(
            lambda settings: (
                Change(
                    set_workspace=build_workspace_spec(
                        settings, name, default_class, limit
                    )
                ),
                *additions,
            )
        )

    def remove(self, name: str) -> None:
        """Remove a workspace and its keys."""
        changes = (Change(remove_workspace=name),)
        self._session.change(lambda _: changes)

    def add_key(self, name: str, key: str = "new") -> None:
        """Add a key; "new" generates a key and prints it once."""
        if key == "new":
            key = generate_key(name)
            print(f"key (shown this once): {key}")
        changes = (_build_key_addition(name, key),)
        self._session.change(lambda _: changes)

    def remove_key(self, name: str, fingerprint: str) -> None:
        """Remove a key by the fingerprint that `workspace list` shows."""
        if not fingerprint:
            expected = "a fingerprint that `carobctl workspace list` shows"
            raise InvalidValueError(field="fingerprint", value="", expected=expected)
        removal = KeyRemoval(workspace=name, fingerprint=fingerprint)
        changes = (Change(remove_key=removal),)
        self._session.change(lambda _: changes)

    def list(self) -> None:
        """List all workspaces with the fingerprints of their keys."""
        workspaces = self._session.editor.read_settings().workspaces
        rows = [
            (
                name,
                each.default_class,
                each.concurrency_limit or "-",
                ",".join(get_fingerprint(text) for text in each.key_hashes) or "-",
            )
            for name, each in sorted(workspaces.items())
        ]
        print(format_table(("WORKSPACE", "DEFAULT_CLASS", "LIMIT", "KEYS"), rows))


class ServiceCommands:
    """Services: a kind, and routes whose calls run at most once."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def set(self, name: str, kind: str = "", unrepeatable: str | None = None) -> None:
        """Declare or change a service; omitted values are kept.

        Args:
            name: the service that agents announce.
            kind: model or plain.
            unrepeatable: routes such as "POST /bookings,PUT /records" whose
                calls run at most once; "" for none.
        """
        self._session.change(
            lambda settings: plan_service(settings, name, kind, unrepeatable)
        )

    def remove(self, name: str) -> None:
        """Remove the declaration of a service."""
        changes = (Change(remove_service=name),)
        self._session.change(lambda _: changes)

    def list(self) -> None:
        """List all declared services."""
        services = self._session.editor.read_settings().services
        rows = [
            (
                name,
                each.kind.value,
                ", ".join(f"{r.method} {r.path}" for r in each.unrepeatable) or "-",
            )
            for name, each in sorted(services.items())
        ]
        print(format_table(("SERVICE", "KIND", "UNREPEATABLE"), rows))


def _build_key_addition(workspace: str, key: str) -> Change:
    return Change(add_key=KeyAddition(workspace=workspace, key_hash=hash_key(key)))
