import asyncio
import os
import signal
import unittest
from unittest import mock

from carobspring.programs.runner import Program, run_until_signal
from carobspring.programs.stopping import StopStep


class FakeProgram(Program):
    """A program whose stop waits until it may end."""

    def __init__(self):
        self.started = asyncio.Event()
        self.may_end = asyncio.Event()
        self.stop_count = 0
        self.has_drained = False

    async def start(self):
        self.started.set()
        return {}

    def list_stop_steps(self):
        self.stop_count += 1
        return (StopStep(name="drain", run=self.drain),)

    async def drain(self):
        await self.may_end.wait()
        self.has_drained = True


class RunUntilSignalTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.enterContext(mock.patch("builtins.print"))
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, mask)
        self.program = FakeProgram()
        self.run = asyncio.create_task(run_until_signal(self.program))
        await self.program.started.wait()

    async def send_signals(self, *numbers):
        for number in numbers:
            os.kill(os.getpid(), number)
            await asyncio.sleep(0.05)

    async def test_repeated_signals(self):
        """Stop signals that follow the first neither end nor repeat a stop."""
        numbers = (signal.SIGTERM, signal.SIGTERM, signal.SIGINT, signal.SIGINT)
        await self.send_signals(*numbers)
        self.assertIs(self.run.done(), False)
        self.program.may_end.set()
        await self.run
        self.assertEqual((self.program.stop_count, self.program.has_drained), (1, True))

    async def test_quit_ends_a_stop(self):
        """SIGQUIT ends a program that waits for open requests."""
        await self.send_signals(signal.SIGTERM, signal.SIGQUIT)
        await asyncio.wait_for(self.run, 1)
        self.assertIs(self.program.has_drained, False)

    async def test_signals_at_the_end(self):
        """A signal after the end of a stop doesn't change the exit code."""
        self.program.may_end.set()
        await self.send_signals(signal.SIGTERM)
        await self.run
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGHUP):
            # As the loop does when it closes.
            loop.remove_signal_handler(number)
            os.kill(os.getpid(), number)
        pending = signal.sigpending()
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
            signal.signal(number, signal.SIG_DFL)
        self.assertEqual(pending, {signal.SIGTERM, signal.SIGHUP})

    async def test_quit_without_a_stop(self):
        """SIGQUIT ends a running program."""
        await self.send_signals(signal.SIGQUIT)
        await asyncio.wait_for(self.run, 1)
        self.assertEqual(self.program.stop_count, 0)
