"""A simulated operator and the configurations that it sends."""

from typing import Any

import aiohttp

from standins.deployment import wait_until


def build_configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration with routes of each type."""

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
    """Sends configurations to control daemons until one confirms them."""

    def __init__(self, controls: list[str], client: aiohttp.ClientSession) -> None:
        self._controls = controls
        self._client = client
        #: The highest confirmed version.
        self.confirmed_version = 0

    async def put(self, configuration: dict[str, Any]) -> None:
        """Send a configuration until a daemon confirms it."""
        await wait_until(
            lambda: self._put_to_any(configuration), "the configuration is confirmed"
        )
        self.confirmed_version = max(self.confirmed_version, configuration["version"])

    async def put_once(self, control: str, configuration: dict[str, Any]) -> int:
        """Send a configuration to one daemon.

        Returns the status code, or 0 if the daemon did not respond.
        """
        try:
            async with self._client.put(
                f"{control}/v1/config", json=configuration
            ) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def read_version(self, control: str) -> int | None:
        """Return the version that a daemon reports, or None without one."""
        try:
            async with self._client.get(f"{control}/v1/config") as response:
                if response.status != 200:
                    return None
                version: int = (await response.json())["version"]
                return version
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def _put_to_any(self, configuration: dict[str, Any]) -> bool:
        for control in self._controls:
            if await self.put_once(control, configuration) == 200:
                return True
        return False
