"""Applies changes to settings and validates the result."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec

from carobspring.domain import Settings, Workspace
from carobspring.settings.changes import (
    Change,
    KeyAddition,
    KeyRemoval,
    SubjectChange,
    WorkspaceSpec,
)
from carobspring.settings.keys import get_fingerprint

MAX_CLASSES = 100
MAX_WORKSPACES = 5_000
MAX_SERVICES = 1_000
MAX_WORKSPACE_KEYS = 20


class InvalidChangeError(Exception):
    """A change is not possible or would result in invalid settings.

    Args:
        subject: The object that is invalid, such as ``class chat``.
        reason: Why it is invalid, and how the operator can resolve it.
    """

    def __init__(self, *, subject: str, reason: str) -> None:
        super().__init__(f"{subject}: {reason}")
        self.subject = subject
        self.reason = reason


def apply_changes(
    settings: Settings, changes: Sequence[Change]
) -> tuple[Settings, tuple[SubjectChange, ...]]:
    """Return the settings of the next revision and the changed objects.

    References between objects are validated after all steps, so a workspace
    may refer to a class that a later step creates.

    Raises:
        InvalidChangeError: A step is not possible, a limit is exceeded or a
            reference is dangling.
    """
    draft = Settings(
        revision=settings.revision + 1,
        classes=dict(settings.classes),
        workspaces=dict(settings.workspaces),
        services=dict(settings.services),
    )
    for change in changes:
        _apply_change(draft, change)
    _validate(draft)
    return draft, _list_differences(settings, draft)


def _apply_change(draft: Settings, change: Change) -> None:
    if change.set_class is not None:
        draft.classes[change.set_class.name] = change.set_class
    elif change.remove_class is not None:
        _remove(draft.classes, "class", change.remove_class)
    elif change.set_workspace is not None:
        _set_workspace(draft, change.set_workspace)
    elif change.remove_workspace is not None:
        _remove(draft.workspaces, "workspace", change.remove_workspace)
    elif change.add_key is not None:
        _add_key(draft, change.add_key)
    elif change.remove_key is not None:
        _remove_key(draft, change.remove_key)
    elif change.set_service is not None:
        draft.services[change.set_service.name] = change.set_service
    elif change.remove_service is not None:
        _remove(draft.services, "service", change.remove_service)


def _set_workspace(draft: Settings, spec: WorkspaceSpec) -> None:
    existing = draft.workspaces.get(spec.name)
    draft.workspaces[spec.name] = Workspace(
        name=spec.name,
        default_class=spec.default_class,
        key_hashes=existing.key_hashes if existing else (),
        concurrency_limit=spec.concurrency_limit,
    )


def _add_key(draft: Settings, addition: KeyAddition) -> None:
    workspace = _get_workspace(draft, addition.workspace)
    if addition.key_hash in workspace.key_hashes:
        return
    if len(workspace.key_hashes) >= MAX_WORKSPACE_KEYS:
        reason = f"has {MAX_WORKSPACE_KEYS} keys already; remove one first"
        raise InvalidChangeError(subject=f"workspace {workspace.name}", reason=reason)
    draft.workspaces[workspace.name] = replace(
        workspace, key_hashes=(*workspace.key_hashes, addition.key_hash)
    )


def _remove_key(draft: Settings, removal: KeyRemoval) -> None:
    workspace = _get_workspace(draft, removal.workspace)
    remaining = tuple(
        key_hash
        for key_hash in workspace.key_hashes
        if get_fingerprint(key_hash) != removal.fingerprint
    )
    if remaining == workspace.key_hashes:
        reason = f"has no key with fingerprint {removal.fingerprint}"
        raise InvalidChangeError(subject=f"workspace {workspace.name}", reason=reason)
    draft.workspaces[workspace.name] = replace(workspace, key_hashes=remaining)


def _get_workspace(draft: Settings, name: str) -> Workspace:
    workspace = draft.workspaces.get(name)
    if workspace is None:
        reason = "does not exist; set it first"
        raise InvalidChangeError(subject=f"workspace {name}", reason=reason)
    return workspace


def _remove(objects: dict[str, Any], kind: str, name: str) -> None:
    if objects.pop(name, None) is None:
        raise InvalidChangeError(subject=f"{kind} {name}", reason="does not exist")


def _validate(draft: Settings) -> None:
    limits = (
        ("classes", draft.classes, MAX_CLASSES),
        ("workspaces", draft.workspaces, MAX_WORKSPACES),
        ("services", draft.services, MAX_SERVICES),
    )
    for kind, objects, limit in limits:
        if len(objects) > limit:
            reason = f"there would be {len(objects)}, at most {limit} are kept"
            raise InvalidChangeError(subject=kind, reason=reason)
    for workspace in draft.workspaces.values():
        if workspace.default_class not in draft.classes:
            reason = (
                f"its default class {workspace.default_class} does not exist; "
                "set that class first or name another default class"
            )
            raise InvalidChangeError(
                subject=f"workspace {workspace.name}", reason=reason
            )


def _list_differences(before: Settings, after: Settings) -> tuple[SubjectChange, ...]:
    differences = []
    for kind, old, new in (
        ("class", before.classes, after.classes),
        ("workspace", before.workspaces, after.workspaces),
        ("service", before.services, after.services),
    ):
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) == new.get(name):
                continue
            differences.append(
                SubjectChange(
                    subject=f"{kind} {name}",
                    before=_encode_json(old.get(name)),
                    after=_encode_json(new.get(name)),
                )
            )
    return tuple(differences)


def _encode_json(value: object) -> str:
    if value is None:
        return ""
    if isinstance(value, Workspace):
        # The audit trail is shown to operators, who identify keys by their
        # fingerprints.
        fingerprints = tuple(get_fingerprint(text) for text in value.key_hashes)
        value = replace(value, key_hashes=fingerprints)
    return msgspec.json.encode(value).decode()
