"""The declarative settings file of ``carobctl apply``, in TOML or JSON.

The file describes the desired classes, workspaces and services. Objects that
a section does not list are removed, and a section that is missing leaves its
objects unchanged. Keys are not part of the file; they are added and removed
one by one.

Example:
    ::

        [classes.chat]
        priority = 90
        first_token_ms = 420

        [workspaces.acme]
        default_class = "chat"

        [services.booking]
        kind = "plain"
        unrepeatable = ["POST /bookings"]
"""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from carobspring.domain import (
    LatencyTarget,
    Service,
    ServiceClass,
    ServiceKind,
    Settings,
)
from carobspring.domain.errors import InvalidValueError
from carobspring.operator.editing import parse_routes
from carobspring.settings import Change, WorkspaceSpec

MAX_FILE_BYTES = 4 * 1024 * 1024


class ClassSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class in the settings file."""

    priority: int
    first_token_ms: int = 0
    token_gap_ms: int = 0
    total_ms: int = 0


class WorkspaceSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A workspace in the settings file."""

    default_class: str
    concurrency_limit: int = 0


class ServiceSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A service in the settings file."""

    kind: ServiceKind
    unrepeatable: tuple[str, ...] = ()


class SettingsFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The settings file.

    If ``base_revision`` is set, the file is applied to that revision only.
    """

    base_revision: Annotated[int, Meta(ge=0)] | None = None
    classes: dict[str, ClassSection] | None = None
    workspaces: dict[str, WorkspaceSection] | None = None
    services: dict[str, ServiceSection] | None = None


def read_settings_file(path: Path) -> SettingsFile:
    """Parse a file as TOML, or as JSON if its name ends in ``.json``.

    Raises:
        InvalidValueError: The file can't be read or its content is invalid.
            The message contains the location of the error.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            expected = f"a file of at most {MAX_FILE_BYTES} bytes"
            raise InvalidValueError(field="file", value=str(path), expected=expected)
        content = path.read_bytes()
        if path.suffix == ".json":
            return msgspec.json.decode(content, type=SettingsFile)
        return msgspec.convert(tomllib.loads(content.decode()), SettingsFile)
    except (OSError, UnicodeError, ValueError) as error:
        # The errors of msgspec and tomllib are subclasses of ValueError.
        expected = f"a settings file that can be read ({error})"
        raise InvalidValueError(
            field="file", value=str(path), expected=expected
        ) from error


def plan_changes(settings: Settings, file: SettingsFile) -> tuple[Change, ...]:
    """Return the changes that turn the settings into those of the file."""
    return tuple(
        [
            *_plan_classes(settings, file),
            *_plan_workspaces(settings, file),
            *_plan_services(settings, file),
        ]
    )


def _plan_classes(settings: Settings, file: SettingsFile) -> Iterator[Change]:
    if file.classes is None:
        return
    for name, section in file.classes.items():
        target = LatencyTarget(
            first_token_ms=section.first_token_ms,
            token_gap_ms=section.token_gap_ms,
            total_ms=section.total_ms,
        )
        desired = ServiceClass(name=name, priority=section.priority, target=target)
        if settings.classes.get(name) != desired:
            yield Change(set_class=desired)
    for name in settings.classes.keys() - file.classes.keys():
        yield Change(remove_class=name)


def _plan_workspaces(settings: Settings, file: SettingsFile) -> Iterator[Change]:
    if file.workspaces is None:
        return
    for name, section in file.workspaces.items():
        existing = settings.workspaces.get(name)
        values = existing and (existing.default_class, existing.concurrency_limit)
        if values != (section.default_class, section.concurrency_limit):
            yield Change(
                set_workspace=WorkspaceSpec(
                    name=name,
                    default_class=section.default_class,
                    concurrency_limit=section.concurrency_limit,
                )
            )
    for name in settings.workspaces.keys() - file.workspaces.keys():
        yield Change(remove_workspace=name)


def _plan_services(settings: Settings, file: SettingsFile) -> Iterator[Change]:
    if file.services is None:
        return
    for name, section in file.services.items():
        routes = parse_routes(",".join(section.unrepeatable))
        desired = Service(name=name, kind=section.kind, unrepeatable=routes)
        if settings.services.get(name) != desired:
            yield Change(set_service=desired)
    for name in settings.services.keys() - file.services.keys():
        yield Change(remove_service=name)
