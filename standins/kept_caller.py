"""A caller that keeps its connection and goes on asking until it is gone."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp

#: Seconds that a caller waits for each of its responses.
DEADLINE_S = 10.0


@dataclass(frozen=True, kw_only=True)
class KeptResult:
    """What became of one request."""

    attempt_id: str
    sent_at: float
    ended_at: float
    #: Status of the response, or 0 without a complete one.
    status: int
    retry_after: str = ""
    body: bytes = b""


class KeptCaller:
    """Sends requests one after another, each as soon as the last has ended.

    It uses one connection for as long as that stands, then opens another one,
    and ends once nobody listens any more. It never sends a request twice.

    Example:
        ``results = await KeptCaller(url=url, paths=("/book/x",),
        name="c1").run()``
    """

    def __init__(self, *, url: str, paths: Sequence[str], name: str) -> None:
        self._url = url
        self._paths = paths
        self._name = name
        self.results: list[KeptResult] = []

    async def run(self, ends_at: float = float("inf")) -> list[KeptResult]:
        """Send until nobody listens, or until a time; return the results."""
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60)
        async with aiohttp.ClientSession(connector=connector) as client:
            while time.monotonic() < ends_at:
                try:
                    self.results.append(await self._send(client))
                except aiohttp.ClientConnectorError:
                    return self.results
                if self.results[-1].status == 503:
                    await asyncio.sleep(0.05)
        return self.results

    async def _send(self, client: aiohttp.ClientSession) -> KeptResult:
        count = len(self.results)
        attempt_id = f"{self._name}-{count}"
        headers = {
            "Host": "shop.example",
            "Carobspring-Attempt-Id": attempt_id,
            "Carobspring-Deadline-Ms": str(round(DEADLINE_S * 1000)),
            "Authorization": "Bearer key-1",
        }
        url = self._url + self._paths[count % len(self._paths)]
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S)
        sent_at = time.monotonic()
        status, retry_after, body = 0, "", b""
        try:
            # No client sends a POST again by itself.
            async with client.post(url, headers=headers, timeout=timeout) as response:
                body = await response.read()
                status = response.status
                retry_after = response.headers.get("Retry-After", "")
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        return KeptResult(
            attempt_id=attempt_id,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            retry_after=retry_after,
            body=body,
        )
