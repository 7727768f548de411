import asyncio
import unittest

from carobspring.gateway.confirmations import INTERVAL_PER_ENTRY_S, ListConfirmations


class ListConfirmationsTests(unittest.IsolatedAsyncioTestCase):
    ENTRY_COUNT = 100

    def setUp(self):
        self.requested_at = []

    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.confirmations = ListConfirmations(
            request_report=lambda: self.requested_at.append(self.loop.time()),
            read_clock=self.loop.time,
            count_entries=lambda: self.ENTRY_COUNT,
        )

    async def run_wait(self, answers, *, since_s=0.0):
        """Return whether an answer ended the wait, and not the time.

        Answers are (seconds from now, seconds from now of the question).
        """
        now = self.loop.time()
        for after_s, asked_s in answers:
            self.loop.call_at(
                now + after_s, self.confirmations.handle_answer, now + asked_s
            )
        await self.confirmations.wait(since=now + since_s, until=now + 0.2)
        return self.loop.time() < now + 0.15

    async def test_answers(self):
        """Only the answer to a question asked since then ends the wait."""
        cases = {
            # name: (answers, whether one ends the wait)
            "none": ((), False),
            "to a later question": (((0.02, 0.01),), True),
            "to a question at that time": (((0.02, 0.0),), True),
            "to an earlier question": (((0.02, -0.01),), False),
            "to an earlier one after it": (((0.02, 0.01), (0.02, -0.01)), True),
            "to an earlier one before it": (((0.02, -0.01), (0.04, 0.01)), True),
        }
        for name, (answers, is_ended) in cases.items():
            with self.subTest(name):
                await self.asyncSetUp()
                self.assertIs(await self.run_wait(answers), is_ended)

    async def test_no_question(self):
        """A report asks only while somebody waits."""
        self.assertEqual(self.confirmations.take_question(), 0.0)
        now = self.loop.time()
        waiting = asyncio.create_task(
            self.confirmations.wait(since=now, until=now + 0.05)
        )
        await asyncio.sleep(0.02)
        self.assertGreaterEqual(self.confirmations.take_question(), now)
        await waiting
        self.assertEqual(self.confirmations.take_question(), 0.0)

    async def test_update_that_answers_nothing(self):
        """A heartbeat doesn't undo an answer."""
        now = self.loop.time()
        self.confirmations.handle_answer(now)
        self.confirmations.handle_answer(0.0)
        await self.confirmations.wait(since=now, until=now + 0.2)
        self.assertLess(self.loop.time(), now + 0.1)

    async def test_interval(self):
        """Those who come after a question share the next one."""

        def answer():
            self.confirmations.handle_answer(self.confirmations.take_question())

        async def wait(number):
            await asyncio.sleep(number * 0.002)
            now = self.loop.time()
            await self.confirmations.wait(since=now, until=now + 1.0)

        answering = asyncio.create_task(self.answer_requests(answer))
        await asyncio.gather(*(wait(number) for number in range(100)))
        answering.cancel()
        gaps = [
            later - earlier
            for earlier, later in zip(
                self.requested_at, self.requested_at[1:], strict=False
            )
        ]
        self.assertGreaterEqual(len(gaps), 2)
        self.assertGreaterEqual(min(gaps), INTERVAL_PER_ENTRY_S * self.ENTRY_COUNT)

    async def answer_requests(self, answer):
        answered = 0
        while True:
            await asyncio.sleep(0.001)
            if len(self.requested_at) > answered:
                answered = len(self.requested_at)
                answer()
