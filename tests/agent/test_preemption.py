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
        "batch": ServiceClass(
            name="batch", priority=10, target=LatencyTarget(total_ms=8000)
        ),
        "chat": ServiceClass(
            name="chat", priority=90, target=LatencyTarget(first_token_ms=400)
        ),
    },
)


class PreemptionTests(unittest.IsolatedAsyncioTestCase):
    async def preempt(self):
        """Have a chat call preempt a batch call in the only slot."""
        harness = ManagerHarness(kind=ServiceKind.MODEL)
        self.addAsyncCleanup(harness.manager.close)
        harness.manager.apply_settings(SETTINGS)
        harness.backend.heads_released.clear()
        batch = await harness.submit("batch", service_class="batch")
        while harness.backend.request_count < 1:
            await asyncio.sleep(0)
        chat = await harness.submit("chat", service_class="chat", stream=True)
        harness.clock.now += 0.3
        harness.manager._handle_event(TimerExpired())
        while harness.backend.request_count < 2 or batch.state is not CallState.WAITING:
            await asyncio.sleep(0)
        return harness, batch, chat

    async def finish(self, harness, chat):
        harness.backend.headers = EVENT_STREAM
        harness.backend.heads_released.set()
        response = await harness.backend.wait_for_response(0)
        harness.backend.headers = ()
        response.feed(DONE, b"")
        await harness.read_end(chat)

    async def test_preempted_call_gets_a_complete_response(self):
        """It runs again once the slot is free, and has one response."""
        harness, batch, chat = await self.preempt()
        await self.finish(harness, chat)
        (await harness.backend.wait_for_response(1)).feed(b"whole", b"")
        self.assertEqual(
            await harness.read_end(batch),
            (b"whole", CallEnd(run_status=RunStatus.RAN)),
        )
        self.assertEqual(harness.backend.request_count, 3)

    async def test_refused_preempted_call_is_unknown(self):
        """Its first run began, so a later refusal can't say NOT_RUN."""
        harness, batch, _ = await self.preempt()
        harness.manager.executor.health.mark_failed()
        _, end = await harness.read_end(batch)
        self.assertEqual(
            (end.run_status, end.reason), (RunStatus.UNKNOWN, "backend_unhealthy")
        )

    async def test_cancel_of_a_preempted_call(self):
        """A preempted call that is cancelled does not run again."""
        harness, batch, chat = await self.preempt()
        harness.manager.cancel(CancelCall(call_id="batch"))
        await self.finish(harness, chat)
        _, end = await harness.read_end(batch)
        self.assertEqual(end.reason, "cancelled")
        self.assertEqual(harness.backend.request_count, 2)

    async def test_cancel_during_preemption(self):
        """A cancel while a call is being stopped overrides the requeue."""
        harness = ManagerHarness(kind=ServiceKind.MODEL)
        self.addAsyncCleanup(harness.manager.close)
        harness.manager.apply_settings(SETTINGS)
        harness.backend.heads_released.clear()
        batch = await harness.submit("batch", service_class="batch")
        while harness.backend.request_count < 1:
            await asyncio.sleep(0)
        await harness.submit("chat", service_class="chat", stream=True)
        harness.clock.now += 0.3
        harness.manager._handle_event(TimerExpired())
        harness.manager.cancel(CancelCall(call_id="batch"))
        _, end = await harness.read_end(batch)
        self.assertEqual(end.reason, "cancelled")

    async def test_begun_response_is_not_preempted(self):
        """A call whose response has begun runs to its end."""
        harness = ManagerHarness(kind=ServiceKind.MODEL)
        self.addAsyncCleanup(harness.manager.close)
        harness.manager.apply_settings(SETTINGS)
        batch = await harness.submit("batch", service_class="batch")
        response = await harness.backend.wait_for_response(0)
        while batch.head is None:
            await asyncio.sleep(0)
        await harness.submit("chat", service_class="chat", stream=True)
        harness.clock.now += 0.3
        harness.manager._handle_event(TimerExpired())
        response.feed(b"whole", b"")
        output, end = await harness.read_end(batch)
        self.assertEqual((output, end), (b"whole", CallEnd(run_status=RunStatus.RAN)))

    async def test_close_starts_nothing(self):
        """A closed call manager sends no waiting call to the server."""
        harness = ManagerHarness(kind=ServiceKind.MODEL)
        harness.backend.heads_released.clear()
        for number in range(3):
            await harness.submit(f"c{number}")
        await asyncio.sleep(0)
        await harness.manager.close()
        await asyncio.sleep(0)
        self.assertEqual(harness.backend.request_count, 1)
