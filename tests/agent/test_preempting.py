import asyncio
import unittest

from carobspring.agent.records import CallState
from carobspring.domain import (
    LatencyTarget,
    RunStatus,
    ServiceClass,
    ServiceKind,
    Settings,
)
from carobspring.protocol import CallEnd, CancelCall
from carobspring.scheduling import TimePassed
from tests.agent.support import DONE, EVENT_STREAM, GateBench

SETTINGS = Settings(
    revision=1,
    classes={
        "blurb": ServiceClass(
            name="blurb", priority=10, target=LatencyTarget(total_ms=8000)
        ),
        "chat": ServiceClass(
            name="chat", priority=90, target=LatencyTarget(first_token_ms=400)
        ),
    },
)


class PreemptTests(unittest.IsolatedAsyncioTestCase):
    async def preempt(self):
        """Have a chat call take the only slot from a blurb call."""
        bench = GateBench(kind=ServiceKind.MODEL)
        self.addAsyncCleanup(bench.gate.close)
        bench.gate.take_settings(SETTINGS)
        bench.backend.heads.clear()
        blurb = await bench.submit("blurb", service_class="blurb")
        while bench.backend.requests < 1:
            await asyncio.sleep(0)
        chat = await bench.submit("chat", service_class="chat", stream=True)
        bench.clock.now += 0.3
        bench.gate._tell(TimePassed())
        while bench.backend.requests < 2 or blurb.state is not CallState.WAITING:
            await asyncio.sleep(0)
        return bench, blurb, chat

    async def finish(self, bench, chat):
        bench.backend.headers = EVENT_STREAM
        bench.backend.heads.set()
        answer = await bench.backend.find(0)
        bench.backend.headers = ()
        answer.feed(DONE, b"")
        await bench.read_end(chat)

    async def test_stopped_call_gets_its_whole_answer(self):
        """It runs again when the slot is free, and answers once."""
        bench, blurb, chat = await self.preempt()
        await self.finish(bench, chat)
        (await bench.backend.find(1)).feed(b"whole", b"")
        self.assertEqual(
            await bench.read_end(blurb),
            (b"whole", CallEnd(run_status=RunStatus.RAN)),
        )
        self.assertEqual(bench.backend.requests, 3)

    async def test_stopped_call_is_never_said_not_to_have_run(self):
        """Its first run began, so a later refusal can't be "not run"."""
        bench, blurb, _ = await self.preempt()
        bench.gate.runs.health.mark_failed()
        _, end = await bench.read_end(blurb)
        self.assertEqual(
            (end.run_status, end.reason), (RunStatus.UNKNOWN, "backend_unhealthy")
        )

    async def test_cancel_of_a_stopped_call(self):
        """A caller that leaves while its call is stopped ends it for good."""
        bench, blurb, chat = await self.preempt()
        bench.gate.cancel(CancelCall(call_id="blurb"))
        await self.finish(bench, chat)
        _, end = await bench.read_end(blurb)
        self.assertEqual(end.reason, "cancelled")
        self.assertEqual(bench.backend.requests, 2)

    async def test_cancel_before_the_stop_is_done(self):
        """A cancel that comes while the call is being stopped wins."""
        bench = GateBench(kind=ServiceKind.MODEL)
        self.addAsyncCleanup(bench.gate.close)
        bench.gate.take_settings(SETTINGS)
        bench.backend.heads.clear()
        blurb = await bench.submit("blurb", service_class="blurb")
        while bench.backend.requests < 1:
            await asyncio.sleep(0)
        await bench.submit("chat", service_class="chat", stream=True)
        bench.clock.now += 0.3
        bench.gate._tell(TimePassed())
        bench.gate.cancel(CancelCall(call_id="blurb"))
        _, end = await bench.read_end(blurb)
        self.assertEqual(end.reason, "cancelled")

    async def test_begun_answer_is_not_stopped(self):
        """A call whose answer has begun goes on to its end."""
        bench = GateBench(kind=ServiceKind.MODEL)
        self.addAsyncCleanup(bench.gate.close)
        bench.gate.take_settings(SETTINGS)
        blurb = await bench.submit("blurb", service_class="blurb")
        answer = await bench.backend.find(0)
        while blurb.head is None:
            await asyncio.sleep(0)
        await bench.submit("chat", service_class="chat", stream=True)
        bench.clock.now += 0.3
        bench.gate._tell(TimePassed())
        answer.feed(b"whole", b"")
        output, end = await bench.read_end(blurb)
        self.assertEqual((output, end), (b"whole", CallEnd(run_status=RunStatus.RAN)))

    async def test_close_starts_nothing(self):
        """A gate that is closed sends no waiting call to the server."""
        bench = GateBench(kind=ServiceKind.MODEL)
        bench.backend.heads.clear()
        for number in range(3):
            await bench.submit(f"c{number}")
        await asyncio.sleep(0)
        await bench.gate.close()
        await asyncio.sleep(0)
        self.assertEqual(bench.backend.requests, 1)
