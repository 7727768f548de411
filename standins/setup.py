"""Sets a deployment up with classes, workspaces and services."""

from collections.abc import Mapping, Sequence

import aiohttp

from carobspring.domain import ServiceClass
from standins.deployment import Deployment


async def apply_settings(
    deployment: Deployment,
    *,
    classes: Sequence[ServiceClass],
    workspaces: Mapping[str, str],
    plain_services: Mapping[str, Sequence[str]],
) -> dict[str, str]:
    """Set everything by ``carobctl``; return each workspace's key."""
    raise NotImplementedError


async def read_ready(url: str, *, key: str, model: str) -> bool:
    """Say whether an entry is ready and knows a model."""
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
