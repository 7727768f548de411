"""Sets a deployment up with classes, workspaces and services."""

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
    """Set everything in one change; return each workspace's key.

    Args:
        deployment: Where to.
        classes: The service classes.
        workspaces: Each workspace's default class.
        plain_services: Each plain service's unrepeatable paths.
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
    """Send one change to a control replica; return the new revision."""
    client = AdminClient(
        addresses=tuple((admin or deployment.admin).split(",")),
        token=deployment.operator_token,
    )
    order = ChangeRequestBody(
        change_id=secrets.token_hex(8),
        base_revision=base_revision,
        changes=tuple(changes),
    )
    answer = await asyncio.to_thread(client.post, "/v1/changes", order, ChangeReport)
    return answer.revision


async def wait_for_model(url: str, *, key: str, model: str) -> None:
    """Wait until an entry is ready, knows the key, and knows the model."""

    async def check() -> bool:
        return await is_model_served(url, key=key, model=model)

    await wait_until(check, f"{url} serves {model}")


async def is_model_served(url: str, *, key: str, model: str) -> bool:
    """Say whether an entry is ready and knows a key and a model."""
    headers = {"Authorization": f"Bearer {key}"}
    try:
        async with aiohttp.ClientSession() as client:
            async with client.get(f"{url}/readyz") as answer:
                if answer.status != 200:
                    return False
            async with client.get(f"{url}/v1/models", headers=headers) as answer:
                return answer.status == 200 and model in await answer.text()
    except aiohttp.ClientError:
        return False
