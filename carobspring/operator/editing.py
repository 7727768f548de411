"""Turns single commands into changes on top of the present settings."""

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
    """Sends changes that build on what it reads just before.

    Args:
        client: Asks the admin API.
        change_id: The identifier of the change; a new one when empty.
        base_revision: The revision that the operator looked at; the present
            one when negative.
        dry_run: Only says what would change.
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
        """Return the present settings."""
        return self._client.get("/v1/settings", Settings)

    def with_base_revision(self, base_revision: int | None) -> "SettingsEditor":
        """Return an editor for this revision, unless a flag named one."""
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
        """Send the changes that a plan makes of the present settings.

        Returns nothing when the plan is empty.
        """
        settings = self.read_settings()
        changes = plan(settings)
        if not changes:
            return None
        base = self._base_revision if self._base_revision >= 0 else settings.revision
        order = ChangeRequestBody(
            change_id=self._change_id,
            base_revision=base,
            changes=changes,
            dry_run=self._dry_run,
        )
        return self._client.post("/v1/changes", order, ChangeReport)


def plan_class(
    settings: Settings, name: str, priority: int | None, targets: dict[str, int]
) -> tuple[Change, ...]:
    """Return the change that sets a class, keeping what is not given.

    Raises:
        InvalidValueError: A new class has no priority, or a value is wrong.
    """
    present = settings.classes.get(name)
    target = present.target if present is not None else LatencyTarget()
    if priority is None:
        if present is None:
            expected = "a priority for a new class; a larger one goes first"
            raise InvalidValueError(field="priority", value=None, expected=expected)
        priority = present.priority
    service_class = ServiceClass(
        name=name, priority=priority, target=replace(target, **targets)
    )
    return (Change(set_class=service_class),)


def build_workspace_spec(
    settings: Settings, name: str, default_class: str, concurrency_limit: int | None
) -> WorkspaceSpec:
    """Return a workspace as it is to be, keeping what is not given."""
    present = settings.workspaces.get(name)
    if present is not None:
        default_class = default_class or present.default_class
        if concurrency_limit is None:
            concurrency_limit = present.concurrency_limit
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
    """Return the change that sets a service, keeping what is not given."""
    present = settings.services.get(name)
    routes = present.unrepeatable if present is not None else ()
    if unrepeatable is not None:
        routes = parse_routes(unrepeatable)
    if not kind and present is not None:
        kind = present.kind.value
    if kind not in [known.value for known in ServiceKind]:
        raise InvalidValueError(field="kind", value=kind, expected="model or plain")
    service = Service(name=name, kind=ServiceKind(kind), unrepeatable=routes)
    return (Change(set_service=service),)


def parse_routes(text: str) -> tuple[UnrepeatableRoute, ...]:
    """Return the routes of a text like ``POST /bookings,PUT /records``."""
    routes = []
    for part in filter(None, (part.strip() for part in text.split(","))):
        method, _, path = part.partition(" ")
        routes.append(UnrepeatableRoute(method=method.upper(), path=path.strip()))
    return tuple(routes)
