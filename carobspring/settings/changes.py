"""Change requests from operators, their answers and audit entries."""

from dataclasses import dataclass
from enum import Enum

from carobspring.domain import Service, ServiceClass, Workspace
from carobspring.domain.errors import InvalidValueError, check_name, check_range
from carobspring.settings.keys import KEY_HASH_PATTERN

MAX_CHANGES = 5_000


@dataclass(frozen=True, kw_only=True)
class WorkspaceSpec:
    """The fields of a workspace that an operator sets, without its keys."""

    name: str
    default_class: str
    concurrency_limit: int = 0

    def __post_init__(self) -> None:
        # The constructor validates the fields, so that an invalid workspace is
        # rejected before it is written to the log.
        Workspace(
            name=self.name,
            default_class=self.default_class,
            concurrency_limit=self.concurrency_limit,
        )


@dataclass(frozen=True, kw_only=True)
class KeyAddition:
    """Adds a key to a workspace, as a salted hash."""

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
    """Removes the keys with a fingerprint from a workspace."""

    workspace: str
    fingerprint: str


@dataclass(frozen=True, kw_only=True)
class Change:
    """One step of a change request; exactly one field is set.

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
    """A request to change the settings, applied completely or not at all.

    ``base_revision`` is the revision that the operator based the change on.
    ``change_id`` identifies the request: a resent request gets the answer
    that was returned the first time.
    """

    change_id: str
    base_revision: int
    changes: tuple[Change, ...]
    operator: str = ""
    #: Wall-clock time at the replica that received the request, in ms.
    at_ms: int = 0

    def __post_init__(self) -> None:
        check_name("change_id", self.change_id)
        check_range("changes", len(self.changes), 1, MAX_CHANGES, "changes")


class ChangeStatus(str, Enum):
    """The result of a change request."""

    #: Applied; the answer contains the new revision.
    ACCEPTED = "accepted"
    #: The base revision is not the current revision.
    CONFLICT = "conflict"
    #: The change identifier was used for a different change.
    REUSED = "reused_change_id"
    #: The resulting settings would be invalid; nothing was changed.
    INVALID = "invalid"


@dataclass(frozen=True, kw_only=True)
class ChangeAnswer:
    """The answer to a change request.

    ``revision`` is the new revision if the change was accepted, and otherwise
    the revision that was current when the request was processed.
    """

    status: ChangeStatus
    revision: int
    reason: str = ""


@dataclass(frozen=True, kw_only=True)
class SubjectChange:
    """The JSON of one changed object before and after the change.

    ``subject`` names the object, such as ``class chat``. ``before`` is empty
    for an added object, ``after`` for a removed one.
    """

    subject: str
    before: str = ""
    after: str = ""


@dataclass(frozen=True, kw_only=True)
class AuditEntry:
    """An accepted change with its operator, time and changed objects."""

    revision: int
    change_id: str
    operator: str
    at_ms: int
    subjects: tuple[SubjectChange, ...]
