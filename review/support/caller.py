"""A stand-in consumer of the platform's entries."""

import asyncio
import itertools
import time
from dataclasses import dataclass

from review.support.http import Answer, build_request, exchange
from review.support.platform import FRONTEND_PORT, HOST, KEY, Machine, Platform

DEADLINE_MS = 2500


@dataclass
class Call:
    """One consumer attempt and its answer."""

    attempt_id: str
    sent_at: float
    machine: Machine
    answer: Answer


class Caller:
    """Sends requests with a new attempt identifier each."""

    def __init__(self, platform: Platform, name: str = "a", *, key: str = KEY) -> None:
        self._platform = platform
        self._name = name
        self._key = key
        self._numbers = itertools.count(1)
        self.calls: list[Call] = []

    async def call(
        self, machine: Machine, target: str, *, method: str = "GET", headers=(),
        body: bytes | None = None, parts=(), deadline_ms: int = DEADLINE_MS,
    ) -> Call:
        """Send one attempt; ``parts`` follow the head as they are."""
        attempt_id = f"{self._name}{next(self._numbers)}"
        all_headers = [
            ("Host", HOST), ("Carobspring-Attempt-Id", attempt_id),
            ("Carobspring-Deadline-Ms", str(deadline_ms)),
            ("Authorization", f"Bearer {self._key}"), *headers,
        ]
        if not any(name == "Connection" for name, _ in all_headers):
            all_headers.append(("Connection", "close"))
        sent_at = time.monotonic()
        request = build_request(method, target, all_headers, body)
        answer = await exchange(machine.ip, FRONTEND_PORT, [request, *parts], deadline_ms / 1000)
        call = Call(attempt_id, sent_at, machine, answer)
        self.calls.append(call)
        self._platform.record.write(
            f"caller: {attempt_id} {method} {target} at {machine.name}: "
            f"{answer.status or answer.error} {answer.body[:60]!r}"
        )
        return call

    async def call_and_retry(self, machine: Machine, target: str) -> bool:
        """Send a request, once more elsewhere if it is refused.

        Returns whether it was served.
        """
        call = await self.call(machine, target)
        if call.answer.status in (429, 503):
            pause_s = dict((n.lower(), v) for n, v in call.answer.headers).get("retry-after", "0.3")
            await asyncio.sleep(min(float(pause_s), DEADLINE_MS / 3000))
            others = [each for each in self._platform.machines if each is not machine]
            call = await self.call(others[0], target)
        return call.answer.status == 200

    async def send_steadily(self, target: str, *, per_s: float, for_s: float) -> list[bool]:
        """Send requests to all entries in turn; return which were served."""
        tasks = []
        ends_at = time.monotonic() + for_s
        for machine in itertools.cycle(self._platform.machines):
            if time.monotonic() >= ends_at:
                break
            tasks.append(asyncio.create_task(self.call_and_retry(machine, target)))
            await asyncio.sleep(1 / per_s)
        return list(await asyncio.gather(*tasks))
