"""The operator of the users' machines, and what it sends."""

from typing import Any

import aiohttp

from standins.deployment import wait_until


def build_configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a plain, a stream and an unsafe route."""

    def build_route(name: str, kind: str, **values: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": "shop.example",
            "path_prefix": f"/{name}/",
            "route_type": kind,
            "timeout_ms": 10_000,
            "slo_ms": 500,
            "priority": 1,
            "service": "svc",
            "attempts": 2,
            "public": False,
        } | values

    return {
        "version": version,
        "routes": [
            build_route("read", "idempotent"),
            build_route("book", "non_idempotent"),
            build_route("stream", "streaming", resumable=True),
            build_route("model", "streaming", resumable=True, service="engines"),
        ],
        "services": [
            {"name": "svc", "health_path": "/healthz", "max_conns": 100},
            {
                "name": "engines",
                "health_path": "/healthz",
                "max_conns": 100,
                "engine": {"slots": 64, "kv_capacity": 300_000, "stride": 5},
            },
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_000_000},
        "tenants": [{"name": "acme", "api_keys": ["key-1"], "priority": 1}],
    } | changes


class Operator:
    """Sends configurations to any control daemon until one confirms them."""

    def __init__(self, controls: list[str], client: aiohttp.ClientSession) -> None:
        self._controls = controls
        self._client = client
        #: The newest version that was confirmed.
        self.confirmed_version = 0

    async def put(self, configuration: dict[str, Any]) -> None:
        """Send one configuration until it is confirmed."""
        await wait_until(lambda: self._put_anywhere(configuration), "a confirmation")
        self.confirmed_version = max(self.confirmed_version, configuration["version"])

    async def put_once(self, control: str, configuration: dict[str, Any]) -> int:
        """Send a configuration to one daemon; return the status or 0."""
        try:
            async with self._client.put(
                f"{control}/v1/config", json=configuration
            ) as answer:
                return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def read_version(self, control: str) -> int | None:
        """Return the version that a daemon shows, or None if it shows none."""
        try:
            async with self._client.get(f"{control}/v1/config") as answer:
                if answer.status != 200:
                    return None
                version: int = (await answer.json())["version"]
                return version
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def _put_anywhere(self, configuration: dict[str, Any]) -> bool:
        for control in self._controls:
            if await self.put_once(control, configuration) == 200:
                return True
        return False
