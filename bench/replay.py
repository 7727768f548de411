"""Replays planned calls against entries and records the responses."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp

from bench.profiles import PlannedCall, Profile
from standins.caller import Caller, CallResult, Prompt, Verdict

MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True)
class CallRecord:
    """The result of one attempt at a call, as the caller sees it.

    Times are in seconds since the start of the replay.
    """

    call: PlannedCall
    #: None when no response came before the replay stopped waiting.
    result: CallResult | None
    sent_s: float
    ended_s: float
    #: Whether this is the second attempt, sent after Retry-After.
    is_retry: bool = False

    @property
    def verdict(self) -> Verdict | None:
        """The verdict on the response, or None when there was none."""
        return self.result.verdict if self.result else None

    @property
    def is_complete(self) -> bool:
        """Whether the response is complete and belongs to this call."""
        return self.verdict is Verdict.COMPLETE

    @property
    def meets_target(self) -> bool:
        """Whether the response is complete and within the latency target."""
        target = self.call.load.service_class.target
        if self.result is None or not self.is_complete:
            return False
        if not self.call.load.stream or not self.call.tokens:
            return self.response_time_s * MS_PER_S <= target.total_ms
        first_chunk_ms = self.first_chunk_ms
        gaps = max(self.call.tokens - 1, 1)
        gap_ms = (self.result.ended_s - self.result.first_byte_s) * MS_PER_S / gaps
        return first_chunk_ms <= target.first_token_ms and gap_ms <= target.token_gap_ms

    @property
    def first_chunk_ms(self) -> float:
        """Milliseconds from sending the call to the first response byte."""
        if self.result is None:
            return 0.0
        return (self.result.first_byte_s - self.result.sent_s) * MS_PER_S

    @property
    def response_time_s(self) -> float:
        """Seconds from sending the call to the end of the response."""
        return self.ended_s - self.sent_s

    @property
    def reason(self) -> str:
        """Why there is no complete response."""
        return self.result.reason if self.result else "never answered"


class Replay:
    """Sends calls at their planned times to the entries in turn."""

    def __init__(
        self,
        *,
        client: aiohttp.ClientSession,
        profile: Profile,
        entries: Sequence[str],
        keys: dict[str, str],
    ) -> None:
        self.records: list[CallRecord] = []
        self._callers = {
            name: Caller(client=client, key=keys.get(name, ""))
            for name in profile.workspaces
        }
        self._profile = profile
        self._entries = entries
        self._started_at = 0.0

    async def run(self, calls: Sequence[PlannedCall], *, drain_s: float) -> None:
        """Send every call, then wait at most ``drain_s`` for the responses."""
        self._started_at = time.monotonic()
        tasks = []
        for index, call in enumerate(calls):
            await asyncio.sleep(max(call.at_s - self._get_elapsed_s(), 0))
            entry = self._entries[index % len(self._entries)]
            tasks.append(asyncio.create_task(self._send_with_retry(call, entry)))
        _, unfinished = await asyncio.wait(tasks, timeout=drain_s)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)

    def _get_elapsed_s(self) -> float:
        return time.monotonic() - self._started_at

    async def _send_with_retry(self, call: PlannedCall, entry: str) -> None:
        result = await self._send_and_record(call, entry, is_retry=False)
        if result.retry_after_s:
            await asyncio.sleep(result.retry_after_s)
            await self._send_and_record(call, entry, is_retry=True)

    async def _send_and_record(
        self, call: PlannedCall, entry: str, *, is_retry: bool
    ) -> CallResult:
        started_s = self._get_elapsed_s()
        result = None
        try:
            result = await self._send(call, entry)
            return result
        finally:
            record = CallRecord(
                call=call,
                result=result,
                sent_s=started_s,
                ended_s=self._get_elapsed_s(),
                is_retry=is_retry,
            )
            self.records.append(record)

    async def _send(self, call: PlannedCall, entry: str) -> CallResult:
        caller = self._callers[call.workspace]
        load = call.load
        if call.tokens:
            prompt = Prompt(
                text=f"{call.identifier} of {call.workspace}",
                tokens=call.tokens,
                model=self._profile.model,
                stream=load.stream,
                service_class=load.name,
                prefix=call.prefix,
            )
            return await caller.complete(entry, prompt)
        path = f"/services/{self._profile.plain_service}{load.path}"
        headers = {"X-Carob-Class": load.name}
        if load.method == "POST":
            headers["Idempotency-Key"] = call.identifier
        body = {"order": call.identifier}
        return await caller.call(entry, load.method, path, body, headers)
