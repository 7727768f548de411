import asyncio
import unittest

from carobspring.programs.stopping import StopStep, cancel_tasks, run_steps


class RunStepsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.ran = []

    def build_step(self, name, *, error=None, waits=False):
        def record():
            self.ran.append(name)
            if error is not None:
                raise error

        async def record_later():
            await asyncio.sleep(0)
            record()

        return StopStep(name=name, run=record_later if waits else record)

    async def test_failed_steps(self):
        """Every step runs in order, whatever the ones before it raise."""
        cases = {
            "plain": {"error": ValueError("expected")},
            "coroutine": {"error": OSError("expected"), "waits": True},
            "time-out": {"error": TimeoutError(), "waits": True},
        }
        for name, fault in cases.items():
            with self.subTest(name):
                self.ran.clear()
                steps = [
                    self.build_step("first", **fault),
                    self.build_step("drain", waits=True),
                    self.build_step("second", **fault),
                    self.build_step("close"),
                ]
                with self.assertLogs("carobspring.programs.stopping") as logs:
                    await run_steps(steps)
                self.assertEqual(self.ran, ["first", "drain", "second", "close"])
                self.assertEqual(
                    [record.step for record in logs.records], ["first", "second"]
                )

    async def test_cancelled_stop(self):
        """A stop that is cancelled runs no further step."""
        waiting = asyncio.Event()

        async def wait_forever():
            waiting.set()
            await asyncio.Event().wait()

        steps = [StopStep(name="drain", run=wait_forever), self.build_step("close")]
        task = asyncio.create_task(run_steps(steps))
        await waiting.wait()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(self.ran, [])


class CancelTasksTests(unittest.IsolatedAsyncioTestCase):
    async def test_ends_of_tasks(self):
        """Tasks that failed, ended or still run are all ended."""

        async def fail():
            raise ValueError("expected")

        failed = asyncio.create_task(fail())
        ended = asyncio.create_task(asyncio.sleep(0))
        running = asyncio.create_task(asyncio.sleep(60))
        await asyncio.wait({failed, ended})
        await cancel_tasks([failed, ended, running])
        self.assertIsInstance(failed.exception(), ValueError)
        self.assertIs(running.cancelled(), True)

    async def test_no_tasks(self):
        """Without tasks nothing happens."""
        await cancel_tasks([])
