import asyncio
import logging
import unittest
import unittest.mock

from carobspring.adapters import tasks
from carobspring.adapters.tasks import start_service_task, start_task


class TaskTests(unittest.IsolatedAsyncioTestCase):
    async def test_error_is_logged(self):
        """A task that fails is logged with its name and error at once."""

        async def fail() -> None:
            raise KeyError("k")

        with self.assertLogs("carobspring.adapters.tasks", logging.ERROR) as logs:
            task = start_task(fail(), name="report")
            await asyncio.wait({task})
            await asyncio.sleep(0)
        record = logs.records[0]
        self.assertEqual(record.getMessage(), "background task failed")
        self.assertEqual((record.task, record.reason), ("report", "KeyError('k')"))

    async def test_cancelled_task_is_not_logged(self):
        """A cancelled task, or one that returns, is no error."""
        with self.assertNoLogs("carobspring.adapters.tasks", logging.ERROR):
            waiting = start_task(asyncio.sleep(60), name="sleep")
            ended = start_task(asyncio.sleep(0), name="nap")
            await ended
            waiting.cancel()
            await asyncio.wait({waiting})


class ServiceTaskTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        for name in ("FIRST_RESTART_DELAY_S", "MAX_RESTART_DELAY_S"):
            patch = unittest.mock.patch.object(tasks, name, 0.001)
            patch.start()
            self.addCleanup(patch.stop)

    async def test_runs_again_after_each_end(self):
        """A service task that raises or returns is logged and run again."""
        ends = {"raises": ValueError("v"), "returns": None}
        messages = {"raises": "service task failed", "returns": "service task ended"}
        for name, error in ends.items():
            with self.subTest(name):
                run_count = 0
                finished = asyncio.Event()

                async def run(error=error, finished=finished) -> None:
                    nonlocal run_count
                    run_count += 1
                    if run_count == 3:
                        finished.set()
                        await asyncio.Event().wait()
                    if error is not None:
                        raise error

                with self.assertLogs("carobspring.adapters.tasks") as logs:
                    task = start_service_task(run, name="stream")
                    async with asyncio.timeout(5):
                        await finished.wait()
                    task.cancel()
                    await asyncio.wait({task})
                self.assertIs(task.cancelled(), True)
                self.assertEqual(
                    [(r.getMessage(), r.task) for r in logs.records],
                    [(messages[name], "stream")] * 2,
                )
