"""Replays planned calls against entries and records what came back."""

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
    """What a caller saw of one call; times are seconds from the start."""

    call: PlannedCall
    #: None for a call that was not answered before the bench gave up.
    answer: CallResult | None
    sent_s: float
    ended_s: float
    #: True for a second try, at the time that Retry-After named.
    is_retry: bool = False

    @property
    def verdict(self) -> Verdict | None:
        """What the answer turned out to be, if there was one."""
        return self.answer.verdict if self.answer else None

    @property
    def is_complete(self) -> bool:
        """Whether the answer is whole and the caller's own."""
        return self.verdict is Verdict.COMPLETE

    @property
    def meets_target(self) -> bool:
        """Whether the answer came within the class's target."""
        target = self.call.load.service_class.target
        if self.answer is None or not self.is_complete:
            return False
        if not self.call.load.stream or not self.call.tokens:
            return self.response_time_s * MS_PER_S <= target.total_ms
        first_chunk_ms = self.first_chunk_ms
        gaps = max(self.call.tokens - 1, 1)
        gap_ms = (self.answer.ended_s - self.answer.first_byte_s) * MS_PER_S / gaps
        return first_chunk_ms <= target.first_token_ms and gap_ms <= target.token_gap_ms

    @property
    def first_chunk_ms(self) -> float:
        """Milliseconds from sending to the first piece of the answer."""
        if self.answer is None:
            return 0.0
        return (self.answer.first_byte_s - self.answer.sent_s) * MS_PER_S

    @property
    def response_time_s(self) -> float:
        """Seconds from sending to the end of the answer."""
        return self.ended_s - self.sent_s

    @property
    def reason(self) -> str:
        """Why there is no whole answer."""
        return self.answer.reason if self.answer else "never answered"


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
        self._callers = {
            name: Caller(client=client, key=keys.get(name, ""))
            for name in profile.workspaces
        }
        self._profile = profile
        self._entries = entries
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
        answer = await self._record(call, entry, is_retry=False)
        if answer.retry_after_s:
            await asyncio.sleep(answer.retry_after_s)
            await self._record(call, entry, is_retry=True)

    async def _record(
        self, call: PlannedCall, entry: str, *, is_retry: bool
    ) -> CallResult:
        sent = self._now()
        answer = None
        try:
            answer = await self._send(call, entry)
            return answer
        finally:
            record = CallRecord(
                call=call,
                answer=answer,
                sent_s=sent,
                ended_s=self._now(),
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
