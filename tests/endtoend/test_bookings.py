import asyncio
from collections import Counter

from standins.caller import Verdict
from standins.deployment import wait_until
from tests.endtoend.cluster import ClusterCase

#: Time that the desk takes, in which the victims die.
DESK_DELAY_MS = 1000


class BookingTests(ClusterCase):
    replicas = 3

    async def resend_until_settled(self, order):
        """Resend through both entries in turn until the outcome is final."""
        answers = []

        async def settled():
            living = [entry for entry in self.entries if entry.returncode is None]
            entry = living[len(answers) % len(living)]
            answers.append(await self.book(entry, order))
            final = answers[-1].reason == "outcome_unknown"
            return final or answers[-1].verdict is Verdict.COMPLETE

        await wait_until(settled, f"the outcome of {order}", timeout_s=90)
        return answers[-1]

    async def check_once(self, order, first):
        """Resend a booking; it ran at most once, with one answer."""
        final = await self.resend_until_settled(order)
        runs = Counter(self.read_journal())[order]
        with self.subTest(order, answer=final.reason, runs=runs):
            self.assertLessEqual(runs, 1)
            if first is not None and first.verdict is Verdict.COMPLETE:
                self.assertEqual(final.body, first.body)
            if final.verdict is Verdict.COMPLETE:
                self.assertEqual(runs, 1)
                again = await self.resend_until_settled(order)
                self.assertEqual(again.body, final.body)

    async def begin(self, order):
        """Send a booking and return once the desk is at work on it."""
        call = asyncio.create_task(self.book(self.entries[0], order))
        await asyncio.sleep(0.3)
        return call

    async def test_deaths_at_each_step(self):
        """Whoever dies, a resend through any entry books at most once."""
        await self.set_fault("desk-0", delay_before_ms=DESK_DELAY_MS)
        call = await self.begin("leader")
        await (await self.find_leader()).kill()
        await self.check_once("leader", await call)

        call = await self.begin("agent-before")
        await self.agents["desk-0"].kill()
        await self.start_agent("desk-0")
        await self.check_once("agent-before", await call)

        for order, faults in (
            ("desk-before", {"delay_before_ms": 0, "crash_before": True}),
            ("desk-after", {"delay_before_ms": 0, "crash_after": True}),
        ):
            await self.set_fault("desk-0", **faults)
            call = await self.begin(order)
            await self.agents["desk-0"].kill()
            await self.start_booking_service()
            await self.check_once(order, await call)

        faults = {"delay_before_ms": 0, "delay_after_ms": DESK_DELAY_MS}
        await self.set_fault("desk-0", **faults)
        call = await self.begin("entry")
        await self.entries[0].kill()
        await self.check_once("entry", None)
        await call
