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
from carobspring.scheduling import TimerExpired
from tests.agent.support import DONE, EVENT_STREAM, ManagerHarness

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
        harness = ManagerHarness(kind=ServiceKind.MODEL)
        self.addAsyncCleanup(harness.manager.close)
        harness.manager.update_settings(SETTINGS)
        harness.backend.heads.clear()
        blurb = await harness.submit("blurb", service_class="blurb")
        while harness.backend.requests < 1:
            await asyncio.sleep(0)
        chat = await harness.submit("chat", service_class="chat", stream=True)
        harness.clock.now += 0.3
        harness.manager._tell(TimerExpired())
        while harness.backend.requests < 2 or blurb.state is not CallState.WAITING:
            await asyncio.sleep(0)
        return harness, blurb, chat

    async def finish(self, harness, chat):
        harness.backend.headers = EVENT_STREAM
        harness.backend.heads.set()
        answer = await harness.backend.find(0)
        harness.backend.headers = ()
        answer.feed(DONE, b"")
        await harness.read_end(chat)

    async def test_stopped_call_gets_its_whole_answer(self):
        """It runs again when the slot is free, and answers once."""
        harness, blurb, chat = await self.preempt()
        await self.finish(harness, chat)
        (await harness.backend.find(1)).feed(b"whole", b"")
        self.assertEqual(
            await harness.read_end(blurb),
            (b"whole", CallEnd(run_status=RunStatus.RAN)),
        )
        self.assertEqual(harness.backend.requests, 3)

    async def test_stopped_call_is_never_said_not_to_have_run(self):
        """Its first run began, so a later refusal can't be "not run"."""
        harness, blurb, _ = await self.preempt()
        harness.manager.executor.health.mark_failed()
        _, end = await harness.read_end(blurb)
        self.assertEqual(
            (end.run_status, end.reason), (RunStatus.UNKNOWN, "backend_unhealthy")
        )

    async def test_cancel_of_a_stopped_call(self):
        """A caller that leaves while its call is stopped ends it for good."""
        harness, blurb, chat = await self.preempt()
        harness.manager.cancel(CancelCall(call_id="blurb"))
        await self.finish(harness, chat)
        _, end = await harness.read_end(blurb)
        self.assertEqual(end.reason, "cancelled")
        self.assertEqual(harness.backend.requests, 2)

    async def test_cancel_before_the_stop_is_done(self):
        """A cancel that comes while the call is being stopped wins."""
        harness = ManagerHarness(kind=ServiceKind.MODEL)
        self.addAsyncCleanup(harness.manager.close)
        harness.manager.update_settings(SETTINGS)
        harness.backend.heads.clear()
        blurb = await harness.submit("blurb", service_class="blurb")
        while harness.backend.requests < 1:
            await asyncio.sleep(0)
        await harness.submit("chat", service_class="chat", stream=True)
        harness.clock.now += 0.3
        harness.manager._tell(TimerExpired())
        harness.manager.cancel(CancelCall(call_id="blurb"))
        _, end = await harness.read_end(blurb)
        self.assertEqual(end.reason, "cancelled")

    async def test_begun_answer_is_not_stopped(self):
        """A call whose answer has begun goes on to its end."""
        harness = ManagerHarness(kind=ServiceKind.MODEL)
        self.addAsyncCleanup(harness.manager.close)
        harness.manager.update_settings(SETTINGS)
        blurb = await harness.submit("blurb", service_class="blurb")
        answer = await harness.backend.find(0)
        while blurb.head is None:
            await asyncio.sleep(0)
        await harness.submit("chat", service_class="chat", stream=True)
        harness.clock.now += 0.3
        harness.manager._tell(TimerExpired())
        answer.feed(b"whole", b"")
        output, end = await harness.read_end(blurb)
        self.assertEqual((output, end), (b"whole", CallEnd(run_status=RunStatus.RAN)))

    async def test_close_starts_nothing(self):
        """A gate that is closed sends no waiting call to the server."""
        harness = ManagerHarness(kind=ServiceKind.MODEL)
        harness.backend.heads.clear()
        for number in range(3):
            await harness.submit(f"c{number}")
        await asyncio.sleep(0)
        await harness.manager.close()
        await asyncio.sleep(0)
        self.assertEqual(harness.backend.requests, 1)
