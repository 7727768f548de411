"""Builds change requests from single commands and the current settings."""

import uuid
from collections.abc import Callable
from dataclasses import replace

from carobspring.control.reports import ChangeReport, ChangeRequestBody
from carobspring.domain import (
    LatencyTarget,
    Service,
    ServiceClass,
    ServiceKind,
    Settings,
    UnrepeatableRoute,
)
from carobspring.domain.errors import InvalidValueError
from carobspring.operator.client import AdminClient
from carobspring.settings import Change, WorkspaceSpec


class SettingsEditor:
    """Reads the current settings and sends changes to them.

    Args:
        client: The client of the admin API.
        change_id: The identifier of the change; empty to generate one.
        base_revision: The revision that the change is based on; negative for
            the current one.
        dry_run: Whether to report the changes without applying them.
    """

    def __init__(
        self,
        *,
        client: AdminClient,
        change_id: str = "",
        base_revision: int = -1,
        dry_run: bool = False,
    ) -> None:
        self._client = client
        self._change_id = change_id or uuid.uuid4().hex
        self._base_revision = base_revision
        self._dry_run = dry_run

    def read_settings(self) -> Settings:
        """Return the current settings."""
        return self._client.get("/v1/settings", Settings)

    def with_base_revision(self, base_revision: int | None) -> "SettingsEditor":
        """Return an editor for a base revision, unless a flag has set one."""
        if base_revision is None or self._base_revision >= 0:
            return self
        return SettingsEditor(
            client=self._client,
            change_id=self._change_id,
            base_revision=base_revision,
            dry_run=self._dry_run,
        )

    def send(
        self, plan: Callable[[Settings], tuple[Change, ...]]
    ) -> ChangeReport | None:
        """Send the changes that ``plan`` returns for the current settings.

        Returns None if there are no changes.
        """
        settings = self.read_settings()
        changes = plan(settings)
        if not changes:
            return None
        base = self._base_revision if self._base_revision >= 0 else settings.revision
        request_body = ChangeRequestBody(
            change_id=self._change_id,
            base_revision=base,
            changes=changes,
            dry_run=self._dry_run,
        )
        return self._client.post("/v1/changes", request_body, ChangeReport)


def plan_class(
    settings: Settings, name: str, priority: int | None, targets: dict[str, int]
) -> tuple[Change, ...]:
    """Return the change that sets a class; omitted values are kept.

    Raises:
        InvalidValueError: A new class has no priority, or a value is
            invalid.
    """
    existing = settings.classes.get(name)
    target = existing.target if existing is not None else LatencyTarget()
    if priority is None:
        if existing is None:
            expected = "a priority for a new class; a larger one goes first"
            raise InvalidValueError(field="priority", value=None, expected=expected)
        priority = existing.priority
    service_class = ServiceClass(
        name=name, priority=priority, target=replace(target, **targets)
    )
    return (Change(set_class=service_class),)


def build_workspace_spec(
    settings: Settings, name: str, default_class: str, concurrency_limit: int | None
) -> WorkspaceSpec:
    """Return the new values of a workspace; omitted values are kept."""
    existing = settings.workspaces.get(name)
    if existing is not None:
        default_class = default_class or existing.default_class
        if concurrency_limit is None:
            concurrency_limit = existing.concurrency_limit
    if not default_class:
        expected = "the name of a class, as --default-class"
        raise InvalidValueError(field="default_class", value="", expected=expected)
    return WorkspaceSpec(
        name=name,
        default_class=default_class,
        concurrency_limit=concurrency_limit or 0,
    )


def plan_service(
    settings: Settings, name: str, kind: str, unrepeatable: str | None
) -> tuple[Change, ...]:
    """Return the change that sets a service; omitted values are kept."""
    existing = settings.services.get(name)
    routes = existing.unrepeatable if existing is not None else ()
    if unrepeatable is not None:
        routes = parse_routes(unrepeatable)
    if not kind and existing is not None:
        kind = existing.kind.value
    if kind not in [known.value for known in ServiceKind]:
        raise InvalidValueError(field="kind", value=kind, expected="model or plain")
    service = Service(name=name, kind=ServiceKind(kind), unrepeatable=routes)
    return (Change(set_service=service),)


def parse_routes(text: str) -> tuple[UnrepeatableRoute, ...]:
    """Parse routes of the form ``POST /bookings,PUT /records``."""
    routes = []
    for part in filter(None, (part.strip() for part in text.split(","))):
        method, _, path = part.partition(" ")
        routes.append(UnrepeatableRoute(method=method.upper(), path=path.strip()))
    return tuple(routes)
