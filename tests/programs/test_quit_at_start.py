"""Tests of SIGQUIT before a program has started."""

import asyncio
import os
import signal
import unittest
from unittest import mock

from carobspring.programs.runner import Program, run_until_signal


class WaitingProgram(Program):
    """A program whose start takes long."""

    def __init__(self):
        self.begun = asyncio.Event()

    async def start(self):
        self.begun.set()
        await asyncio.sleep(5)
        return {}

    def list_stop_steps(self):
        return ()


class QuitAtStartTests(unittest.IsolatedAsyncioTestCase):
    async def test_quit_during_a_start(self):
        """SIGQUIT ends a program at once that is still starting."""
        self.enterContext(mock.patch("builtins.print"))
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, mask)
        program = WaitingProgram()
        run = asyncio.create_task(run_until_signal(program))
        self.addCleanup(run.cancel)
        await program.begun.wait()
        os.kill(os.getpid(), signal.SIGQUIT)
        await asyncio.wait({run}, timeout=1)
        self.assertIs(run.done(), True)
