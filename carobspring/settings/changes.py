"""Changes that an operator asks for, and the answers to them."""

from dataclasses import dataclass
from enum import Enum

from carobspring.domain import Service, ServiceClass, Workspace
from carobspring.domain.errors import InvalidValueError, check_name, check_range
from carobspring.settings.keys import KEY_HASH_PATTERN

MAX_CHANGES = 5_000


@dataclass(frozen=True, kw_only=True)
class WorkspaceSpec:
    """What an operator sets of a workspace; its keys change one by one."""

    name: str
    default_class: str
    concurrency_limit: int = 0

    def __post_init__(self) -> None:
        # A workspace checks its own fields, here before it goes into the log.
        Workspace(
            name=self.name,
            default_class=self.default_class,
            concurrency_limit=self.concurrency_limit,
        )


@dataclass(frozen=True, kw_only=True)
class KeyAddition:
    """Adds a key, given by its salted hash, to a workspace."""

    workspace: str
    key_hash: str

    def __post_init__(self) -> None:
        if KEY_HASH_PATTERN.fullmatch(self.key_hash) is None:
            expected = "a salted hash as carobctl makes it, never the key itself"
            raise InvalidValueError(
                field="key_hash", value="(hidden)", expected=expected
            )


@dataclass(frozen=True, kw_only=True)
class KeyRemoval:
    """Takes away the keys with this fingerprint from a workspace."""

    workspace: str
    fingerprint: str


@dataclass(frozen=True, kw_only=True)
class Change:
    """One step of a change: exactly one of the fields is set.

    Example:
        ``Change(remove_class="batch")``
    """

    set_class: ServiceClass | None = None
    remove_class: str | None = None
    set_workspace: WorkspaceSpec | None = None
    remove_workspace: str | None = None
    add_key: KeyAddition | None = None
    remove_key: KeyRemoval | None = None
    set_service: Service | None = None
    remove_service: str | None = None

    def __post_init__(self) -> None:
        count = sum(value is not None for value in vars(self).values())
        if count != 1:
            expected = "exactly one of the kinds of change"
            raise InvalidValueError(field="change", value=count, expected=expected)


@dataclass(frozen=True, kw_only=True)
class ChangeRequest:
    """Asks to change the settings, whole or not at all.

    ``base_revision`` is the revision that the operator looked at. A request
    is known again by ``change_id`` and gets its first answer again.
    """

    change_id: str
    base_revision: int
    changes: tuple[Change, ...]
    operator: str = ""
    #: Wall-clock time of the replica that took the request, in milliseconds.
    at_ms: int = 0

    def __post_init__(self) -> None:
        check_name("change_id", self.change_id)
        check_range("changes", len(self.changes), 1, MAX_CHANGES, "changes")


class ChangeStatus(str, Enum):
    """What became of a change request."""

    #: In force from the revision that the answer names.
    ACCEPTED = "accepted"
    #: Another change took that base revision first.
    CONFLICT = "conflict"
    #: The change identifier stands for other content.
    REUSED = "reused_change_id"
    #: The settings would not be sound; nothing was changed.
    INVALID = "invalid"


@dataclass(frozen=True, kw_only=True)
class ChangeAnswer:
    """The answer to a change request.

    ``revision`` is the new revision when accepted, and otherwise the one that
    stood when the request was decided.
    """

    status: ChangeStatus
    revision: int
    reason: str = ""


@dataclass(frozen=True, kw_only=True)
class SubjectChange:
    """How one subject, such as ``class chat``, changed, as JSON texts.

    ``before`` is empty for what is new, ``after`` for what was removed.
    """

    subject: str
    before: str = ""
    after: str = ""


@dataclass(frozen=True, kw_only=True)
class AuditEntry:
    """An accepted change: who, when, and from what to what."""

    revision: int
    change_id: str
    operator: str
    at_ms: int
    subjects: tuple[SubjectChange, ...]
