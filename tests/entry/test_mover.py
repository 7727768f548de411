import asyncio
from dataclasses import replace

from carobspring.domain import LatencyTarget, LoadReport, RunStatus
from carobspring.protocol import CallEnd, CallEvent, ResponseHead, ViewUpdate
from tests.entry.deployment import CHAT, EntryTestCase, wait_until
from tests.entry.fakes import build_settings

STREAM = {**CHAT, "stream": True}
PATH = "/v1/chat/completions"
SSE = (("Content-Type", "text/event-stream"),)
MOVED = CallEnd(run_status=RunStatus.NOT_RUN, reason="moved", retry_after_ms=900)
COMPLETE_EVENTS = [
    CallEvent(head=ResponseHead(status=200, headers=SSE)),
    CallEvent(data=b"data: [DONE]\n\n", offset=0),
    CallEvent(end=CallEnd(run_status=RunStatus.RAN), offset=14),
]


class CallMoverTest(EntryTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        settings = build_settings(2)
        target = LatencyTarget(first_token_ms=400)
        chat = replace(settings.classes["chat"], target=target)
        settings = replace(settings, classes=settings.classes | {"chat": chat})
        free = {agent.name: LoadReport(sequence=9, limit=4) for agent in self.agents}
        self.control.push(ViewUpdate(settings=settings, loads=free))
        await wait_until(lambda: self.entry._state.settings.revision == 2)
        self.starts = 0
        for agent in self.agents:
            agent.on_run = self.hold_first(agent)

    def hold_first(self, agent):
        """Return a handler that holds the first run until its withdrawal."""

        async def run(request, send):
            self.starts += 1
            if self.starts == 1:
                await send(CallEvent())
                await agent.cancelled.wait()
                await send(CallEvent(end=MOVED))
                return
            for event in COMPLETE_EVENTS:
                await send(event)

        return run

    async def send_call(self, body, **headers):
        async with self.client.post(PATH, json=body, headers=headers) as response:
            return response.status, await response.read()

    def list_withdrawals(self):
        return [name for agent in self.agents for name in agent.withdrawals]

    async def test_waiting_call_moves_to_a_free_server(self):
        """The call is withdrawn once, costs no retry, and runs elsewhere."""
        self.entry._router.budget.tokens = -1000.0
        status, body = await self.send_call(STREAM)
        self.assertEqual((status, body), (200, b"data: [DONE]\n\n"))
        self.assertEqual(len(self.list_withdrawals()), 1)
        self.assertEqual(self.starts, 2)

    async def test_calls_that_are_not_moved(self):
        """Started responses and calls without a usable target stay."""

        def wait_after(count):
            async def run(request, send):
                for event in COMPLETE_EVENTS[:count]:
                    await send(event)
                await asyncio.sleep(0.6)
                for event in COMPLETE_EVENTS[count:]:
                    await send(event)

            return run

        cases = {
            "started": (1, STREAM, {}),
            "keyed": (0, STREAM, {"Idempotency-Key": "k"}),
            "not streamed": (0, CHAT, {}),
            "no first-token target": (0, STREAM, {"X-Carob-Class": "batch"}),
        }
        for name, (sent_first, body, headers) in cases.items():
            with self.subTest(name):
                for agent in self.agents:
                    agent.on_run = wait_after(sent_first)
                await self.send_call(body, **headers)
                self.assertEqual(self.list_withdrawals(), [])

    async def test_no_server_is_free(self):
        """A call is not moved while every other server is full."""
        full = LoadReport(sequence=10, running=4, limit=4)
        loads = {agent.name: full for agent in self.agents}
        self.control.push(ViewUpdate(loads=loads))
        records = self.entry._router._records
        await wait_until(lambda: all(records[n].load.running == 4 for n in loads))
        call = asyncio.ensure_future(self.send_call(STREAM))
        await wait_until(lambda: self.starts == 1)
        await asyncio.sleep(0.6)
        self.assertEqual(self.list_withdrawals(), [])
        for agent in self.agents:
            agent.cancelled.set()
        self.assertEqual((await call)[0], 200)
