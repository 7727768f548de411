import asyncio
from collections import Counter

from standins.caller import Verdict
from standins.deployment import wait_until
from tests.endtoend.cluster import ClusterTestCase

#: Delay of the booking service, during which processes are killed.
SERVICE_DELAY_MS = 1000


class BookingTests(ClusterTestCase):
    replicas = 3

    async def resend_until_settled(self, order):
        """Resend via the running entries until the outcome is final."""
        results = []

        async def is_settled():
            running = [entry for entry in self.entries if entry.returncode is None]
            entry = running[len(results) % len(running)]
            results.append(await self.book(entry, order))
            is_unknown = results[-1].reason == "outcome_unknown"
            return is_unknown or results[-1].verdict is Verdict.COMPLETE

        await wait_until(is_settled, f"the outcome of {order}", timeout_s=90)
        return results[-1]

    async def check_at_most_once(self, order, first):
        """Resend a booking; check for at most one run and one response."""
        final = await self.resend_until_settled(order)
        runs = Counter(self.read_recorded_orders())[order]
        with self.subTest(order, reason=final.reason, runs=runs):
            self.assertLessEqual(runs, 1)
            if first is not None and first.verdict is Verdict.COMPLETE:
                self.assertEqual(final.body, first.body)
            if final.verdict is Verdict.COMPLETE:
                self.assertEqual(runs, 1)
                again = await self.resend_until_settled(order)
                self.assertEqual(again.body, final.body)

    async def start_booking(self, order):
        """Send a booking; return while the booking service processes it."""
        call = asyncio.create_task(self.book(self.entries[0], order))
        await asyncio.sleep(0.3)
        return call

    async def test_kills_at_each_step(self):
        """A resent order runs at most once when any process is killed.

        The leader, the agent, the service and the entry are killed in turn,
        the service before and after it records the order.
        """
        await self.set_fault("desk-0", delay_before_ms=SERVICE_DELAY_MS)
        call = await self.start_booking("leader")
        await (await self.find_leader()).kill()
        await self.check_at_most_once("leader", await call)

        call = await self.start_booking("agent-before")
        await self.agents["desk-0"].kill()
        await self.start_agent("desk-0")
        await self.check_at_most_once("agent-before", await call)

        for order, faults in (
            ("desk-before", {"delay_before_ms": 0, "crash_before": True}),
            ("desk-after", {"delay_before_ms": 0, "crash_after": True}),
        ):
            await self.set_fault("desk-0", **faults)
            call = await self.start_booking(order)
            await self.agents["desk-0"].kill()
            await self.start_booking_service()
            await self.check_at_most_once(order, await call)

        faults = {"delay_before_ms": 0, "delay_after_ms": SERVICE_DELAY_MS}
        await self.set_fault("desk-0", **faults)
        call = await self.start_booking("entry")
        await self.entries[0].kill()
        await self.check_at_most_once("entry", None)
        await call
