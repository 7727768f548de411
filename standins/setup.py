"""Configures a deployment with classes, workspaces and services."""

import asyncio
import secrets
from collections.abc import Mapping, Sequence

import aiohttp

from carobspring.control.reports import ChangeReport, ChangeRequestBody
from carobspring.domain import Service, ServiceClass, ServiceKind, UnrepeatableRoute
from carobspring.operator.client import AdminClient
from carobspring.settings import (
    Change,
    KeyAddition,
    WorkspaceSpec,
    generate_key,
    hash_key,
)
from standins.deployment import Deployment, wait_until


async def apply_settings(
    deployment: Deployment,
    *,
    classes: Sequence[ServiceClass],
    workspaces: Mapping[str, str],
    plain_services: Mapping[str, Sequence[str]],
) -> dict[str, str]:
    """Apply the settings in one change; return the key of each workspace.

    Args:
        deployment: The deployment to configure.
        classes: The service classes.
        workspaces: The default class of each workspace.
        plain_services: The unrepeatable paths of each plain service.
    """
    keys = {name: generate_key(name) for name in workspaces}
    changes = [Change(set_class=service_class) for service_class in classes]
    for name, default_class in workspaces.items():
        spec = WorkspaceSpec(name=name, default_class=default_class)
        addition = KeyAddition(workspace=name, key_hash=hash_key(keys[name]))
        changes += [Change(set_workspace=spec), Change(add_key=addition)]
    for name, paths in plain_services.items():
        routes = tuple(UnrepeatableRoute(method="POST", path=path) for path in paths)
        service = Service(name=name, kind=ServiceKind.PLAIN, unrepeatable=routes)
        changes.append(Change(set_service=service))
    await send_changes(deployment, changes)
    return keys


async def send_changes(
    deployment: Deployment,
    changes: Sequence[Change],
    *,
    base_revision: int = 0,
    admin: str = "",
) -> int:
    """Send changes to a control replica; return the new revision."""
    client = AdminClient(
        addresses=tuple((admin or deployment.admin).split(",")),
        token=deployment.operator_token,
    )
    body = ChangeRequestBody(
        change_id=secrets.token_hex(8),
        base_revision=base_revision,
        changes=tuple(changes),
    )
    report = await asyncio.to_thread(client.post, "/v1/changes", body, ChangeReport)
    return report.revision


async def wait_for_model(url: str, *, key: str, model: str) -> None:
    """Wait until an entry is ready and serves the model with the key."""

    async def is_served() -> bool:
        return await is_model_served(url, key=key, model=model)

    await wait_until(is_served, f"{url} serves {model}")


async def is_model_served(url: str, *, key: str, model: str) -> bool:
    """Return whether an entry is ready and lists the model for the key."""
    headers = {"Authorization": f"Bearer {key}"}
    try:
        async with aiohttp.ClientSession() as client:
            async with client.get(f"{url}/readyz") as response:
                if response.status != 200:
                    return False
            async with client.get(f"{url}/v1/models", headers=headers) as response:
                return response.status == 200 and model in await response.text()
    except aiohttp.ClientError:
        return False
