"""A caller that keeps its connection and goes on asking until it is gone."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import aiohttp

#: Seconds that a caller waits for each of its responses.
DEADLINE_S = 10.0


@dataclass(frozen=True, kw_only=True)
class KeptResult:
    """What became of one request."""

    attempt_id: str
    path: str
    sent_at: float
    ended_at: float
    #: Status of the response, or 0 without a complete one.
    status: int
    retry_after: str = ""
    #: The receipt of the server that answered, or empty.
    signature: str = ""
    #: What came of the body, also without a complete response.
    body: bytes = b""


class KeptCaller:
    """Sends requests one after another, each as soon as the last has ended.

    It uses one connection for as long as that stands, then opens another one,
    and ends once nobody listens any more. It never sends a request twice.

    Example:
        ``results = await KeptCaller(url=url, paths=("/book/x",),
        name="c1").run()``
    """

    def __init__(
        self,
        *,
        url: str,
        paths: Sequence[str],
        name: str,
        on_send: Callable[[str], None] = lambda attempt_id: None,
    ) -> None:
        """Create a caller; ``on_send`` gets the identifier of each request."""
        self._url = url
        self._paths = paths
        self._name = name
        self._on_send = on_send
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
        path = self._paths[count % len(self._paths)]
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S)
        self._on_send(attempt_id)
        sent_at = time.monotonic()
        status, retry_after, signature, body = 0, "", "", b""
        try:
            # No client sends a POST again by itself.
            async with client.post(
                self._url + path, headers=headers, timeout=timeout
            ) as response:
                retry_after = response.headers.get("Retry-After", "")
                signature = response.headers.get("Carobspring-Upstream-Signature", "")
                async for data in response.content.iter_any():
                    body += data
                status = response.status
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        return KeptResult(
            attempt_id=attempt_id,
            path=path,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            retry_after=retry_after,
            signature=signature,
            body=body,
        )
