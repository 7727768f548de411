"""Replays planned calls against entries and records what came back."""

import asyncio
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace

import aiohttp

from bench.profiles import PlannedCall, Profile
from standins.runner import build_answer

DATA_PREFIX = b"data: "
DONE_LINE = b"data: [DONE]"
MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True)
class CallRecord:
    """What a caller saw of one call; times are seconds from the start."""

    call: PlannedCall
    sent_s: float
    ended_s: float
    first_s: float = 0.0
    status: int = 0
    #: The answer is whole and the caller's own.
    whole: bool = False
    #: An answer that looked whole but was not the caller's own whole answer.
    wrong: bool = False
    reason: str = ""
    retry_after_s: float = 0.0
    #: True for a second try, at the time that Retry-After named.
    returned: bool = False

    @property
    def met(self) -> bool:
        """Whether the answer came within the class's target."""
        target = self.call.load.service_class.target
        if not self.whole:
            return False
        if not self.call.load.stream or not self.call.tokens:
            return (self.ended_s - self.sent_s) * MS_PER_S <= target.total_ms
        first_ms = (self.first_s - self.sent_s) * MS_PER_S
        gaps = max(self.call.tokens - 1, 1)
        gap_ms = (self.ended_s - self.first_s) * MS_PER_S / gaps
        return first_ms <= target.first_token_ms and gap_ms <= target.token_gap_ms

    @property
    def wait_s(self) -> float:
        """Seconds from sending to the end of the answer."""
        return self.ended_s - self.sent_s


class Replay:
    """Sends calls at their times through entries in turn."""

    def __init__(
        self,
        *,
        client: aiohttp.ClientSession,
        profile: Profile,
        entries: Sequence[str],
        keys: dict[str, str],
    ) -> None:
        self.records: list[CallRecord] = []
        self._client = client
        self._profile = profile
        self._entries = entries
        self._keys = keys
        self._started = 0.0

    async def run(self, calls: Sequence[PlannedCall], *, drain_s: float) -> None:
        """Send every call, and wait for the answers for a bounded time."""
        self._started = time.monotonic()
        tasks = []
        for index, call in enumerate(calls):
            await asyncio.sleep(max(call.at_s - self._now(), 0))
            entry = self._entries[index % len(self._entries)]
            tasks.append(asyncio.create_task(self._follow(call, entry)))
        _, late = await asyncio.wait(tasks, timeout=drain_s)
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)

    def _now(self) -> float:
        return time.monotonic() - self._started

    async def _follow(self, call: PlannedCall, entry: str) -> None:
        record = await self._send(call, entry)
        self.records.append(record)
        if record.retry_after_s:
            await asyncio.sleep(record.retry_after_s)
            again = await self._send(call, entry)
            self.records.append(replace(again, returned=True))

    async def _send(self, call: PlannedCall, entry: str) -> CallRecord:
        sent = self._now()
        record = CallRecord(call=call, sent_s=sent, ended_s=sent)
        try:
            async with self._open(call, entry) as response:
                return await self._receive(record, response)
        except (aiohttp.ClientError, ConnectionError, TimeoutError) as error:
            reason = type(error).__name__
            return replace(record, ended_s=self._now(), reason=reason)
        except asyncio.CancelledError:
            late = replace(record, ended_s=self._now(), reason="never answered")
            self.records.append(late)
            raise

    def _open(
        self, call: PlannedCall, entry: str
    ) -> "aiohttp.client._RequestContextManager":
        headers = {
            "Authorization": f"Bearer {self._keys.get(call.workspace, '')}",
            "X-Carob-Class": call.load.name,
        }
        if not call.tokens:
            headers["Idempotency-Key"] = call.identifier
            path = f"/services/{self._profile.plain_service}{call.load.path}"
            order = {"order": call.identifier}
            return self._client.request(
                call.load.method, entry + path, json=order, headers=headers
            )
        body: dict[str, object] = {
            "model": self._profile.model,
            "stream": call.load.stream,
            "messages": [
                {"role": "system", "content": call.prefix},
                {"role": "user", "content": call.prompt},
            ],
        }
        return self._client.post(
            f"{entry}/v1/chat/completions", json=body, headers=headers
        )

    async def _receive(
        self, record: CallRecord, response: aiohttp.ClientResponse
    ) -> CallRecord:
        first = 0.0
        pieces = []
        async for data in response.content.iter_any():
            if not first and DATA_PREFIX in data:
                first = self._now()
            pieces.append(data)
        record = replace(
            record, ended_s=self._now(), first_s=first, status=response.status
        )
        body = b"".join(pieces)
        if response.status >= 400:
            return replace(
                record,
                reason=read_reason(body),
                retry_after_s=float(response.headers.get("Retry-After", 0)),
            )
        return judge_answer(record, body)


def judge_answer(record: CallRecord, body: bytes) -> CallRecord:
    """Return the record with the verdict on the answer's body."""
    call = record.call
    if not call.tokens:
        whole = call.identifier.encode() in body
        return replace(record, whole=whole, wrong=not whole)
    expected = "".join(build_answer(call.prompt, call.tokens))
    if call.load.stream:
        if DONE_LINE not in body:
            return replace(record, reason="cut")
        text = read_stream(body)
    else:
        text = json.loads(body)["choices"][0]["message"]["content"]
    return replace(record, whole=text == expected, wrong=text != expected)


def read_stream(body: bytes) -> str:
    """Return the text of a chat answer's events."""
    pieces = []
    for line in body.split(b"\n"):
        if line.startswith(DATA_PREFIX) and line != DONE_LINE:
            choices = json.loads(line[len(DATA_PREFIX) :]).get("choices") or [{}]
            pieces.append(choices[0].get("delta", {}).get("content", ""))
    return "".join(pieces)


def read_reason(body: bytes) -> str:
    """Return the code of a typed error."""
    try:
        error = json.loads(body)["error"]
        return str(error.get("code") or error.get("type") or error["message"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return "untyped"
