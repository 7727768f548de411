"""The declarative file of ``carobctl apply``: JSON or TOML, checked.

The file says how classes, workspaces and services are to be. What it leaves
out of a section that it has is removed; a section that it leaves out stays
as it is. Keys are not in it: they change one by one.

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
    """A class as the file writes it."""

    priority: int
    first_token_ms: int = 0
    token_gap_ms: int = 0
    total_ms: int = 0


class WorkspaceSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A workspace as the file writes it."""

    default_class: str
    concurrency_limit: int = 0


class ServiceSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A service as the file writes it."""

    kind: ServiceKind
    unrepeatable: tuple[str, ...] = ()


class SettingsFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file; ``base_revision`` refuses it on any other revision."""

    base_revision: Annotated[int, Meta(ge=0)] | None = None
    classes: dict[str, ClassSection] | None = None
    workspaces: dict[str, WorkspaceSection] | None = None
    services: dict[str, ServiceSection] | None = None


def read_settings_file(path: Path) -> SettingsFile:
    """Return the content of a file; TOML unless its name ends in ``.json``.

    Raises:
        InvalidValueError: The file can't be read, or something in it is not
            right; the message says where.
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
        # msgspec's and tomllib's errors are kinds of ValueError.
        reason = f"a settings file that can be read ({error})"
        raise InvalidValueError(
            field="file", value=str(path), expected=reason
        ) from error


def plan_changes(settings: Settings, file: SettingsFile) -> tuple[Change, ...]:
    """Return the changes that lead from the settings to the file."""
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
        wanted = ServiceClass(name=name, priority=section.priority, target=target)
        if settings.classes.get(name) != wanted:
            yield Change(set_class=wanted)
    for name in settings.classes.keys() - file.classes.keys():
        yield Change(remove_class=name)


def _plan_workspaces(settings: Settings, file: SettingsFile) -> Iterator[Change]:
    if file.workspaces is None:
        return
    for name, section in file.workspaces.items():
        present = settings.workspaces.get(name)
        known = present and (present.default_class, present.concurrency_limit)
        if known != (section.default_class, section.concurrency_limit):
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
        wanted = Service(name=name, kind=section.kind, unrepeatable=routes)
        if settings.services.get(name) != wanted:
            yield Change(set_service=wanted)
    for name in settings.services.keys() - file.services.keys():
        yield Change(remove_service=name)
