"""Tests of replicas that are opened again after their disk has refused."""

import asyncio
import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from carobspring.adapters import disk
from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.disk import DiskStorage
from carobspring.consensus import Timing
from carobspring.ports import ReplicationError
from carobspring.programs import replica, replica_supervisor
from carobspring.programs.replica_supervisor import ReplicaSupervisor
from tests.consensus.simulation import ListMachine

REOPEN_INTERVAL_S = 0.01
SNAPSHOT_EVERY = 3
COMMANDS = 5
#: Elections are quick, as nobody else votes.
TIMING = Timing(heartbeat_interval_s=0.01, lease_s=0.03, election_timeout_s=0.04)
IN_TIME_S = 5.0


class ResettableMachine(ListMachine):
    """A state machine whose reset fails as often as is set."""

    failing_resets = 0

    def reset(self):
        if self.failing_resets:
            self.failing_resets -= 1
            raise ValueError("reset failed")
        self.commands = []


class RefusingDisk:
    """Refuses some of the calls that change files, as a full disk does.

    A write is refused after a part of its bytes, which stay.
    """

    FUNCTIONS = ("write", "fsync", "rename", "truncate")

    def __init__(self):
        self.calls = 0
        self.refused_from = None
        self.refused_calls = 0
        self._functions = {name: getattr(os, name) for name in self.FUNCTIONS}

    def patch(self):
        """Return patches of the functions that the adapter calls."""
        return mock.patch.multiple(
            disk.os, **{name: self._build(name) for name in self.FUNCTIONS}
        )

    def _build(self, name):
        function = self._functions[name]

        def call(*arguments):
            self.calls += 1
            start = self.refused_from
            if start is not None and start <= self.calls < start + self.refused_calls:
                if name == "write" and len(arguments[1]) > 1:
                    function(arguments[0], bytes(arguments[1])[:1])
                raise OSError(errno.ENOSPC, "No space left on device")
            return function(*arguments)

        return call


class ReplicaSupervisorTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.disk = RefusingDisk()
        for patch in (
            self.disk.patch(),
            mock.patch.object(
                replica_supervisor, "REOPEN_INTERVAL_S", REOPEN_INTERVAL_S
            ),
            mock.patch.object(replica_supervisor, "SNAPSHOT_EVERY", SNAPSHOT_EVERY),
            mock.patch.object(replica, "TICK_INTERVAL_S", 0.005),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    async def build(self):
        """Return the supervisor of the only replica, on a new disk."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.storage = DiskStorage(Path(directory.name))
        self.addCleanup(self.storage.close)
        self.machine = ResettableMachine()
        supervisor = ReplicaSupervisor(
            name="127.0.0.1:7340",
            storage=self.storage,
            clock=SystemClock(),
            random=SystemRandom(),
            machine=self.machine,
            secret="s",
            timing=TIMING,
        )
        await supervisor.start(peers=(supervisor.name,), bootstrap=True)
        self.addAsyncCleanup(supervisor.stop)
        return supervisor

    async def commit(self, supervisor, command):
        """Propose a command until it is confirmed."""
        async with asyncio.timeout(IN_TIME_S):
            while True:
                try:
                    return await supervisor.propose(command)
                except ReplicationError:
                    await asyncio.sleep(0.005)

    async def run_with_refusal(self, *, start, count):
        """Commit while a disk refuses; return how many calls it got."""
        self.disk.calls, self.disk.refused_from = 0, start
        self.disk.refused_calls = count
        supervisor = await self.build()
        confirmed = []
        for number in range(COMMANDS):
            command = b"%d" % number
            await self.commit(supervisor, command)
            confirmed.append(command)
        calls = self.disk.calls
        # A command without an answer may have been committed too.
        self.assertEqual(list(dict.fromkeys(self.machine.commands)), confirmed)
        names = self.storage.list_names()
        self.assertEqual([n for n in names if "." in n], [])
        await supervisor.stop()
        return calls

    async def test_refusal_at_every_call(self):
        """Guards against a replica that a disk full for a moment ends.

        The replica goes on in the same process, whichever call was refused,
        and also if its first reopening is refused.
        """
        calls = await self.run_with_refusal(start=None, count=0)
        self.assertGreater(calls, 30)
        for start in range(1, calls + 1):
            for count in (1, 4):
                with self.subTest(start=start, count=count):
                    await self.run_with_refusal(start=start, count=count)

    async def test_other_errors(self):
        """Whatever an attempt to reopen raises, there is a next one."""
        supervisor = await self.build()
        await self.commit(supervisor, b"x")
        self.machine.failing_resets = 2
        self.disk.refused_from, self.disk.refused_calls = self.disk.calls + 1, 1
        await self.commit(supervisor, b"y")
        self.assertEqual(self.machine.failing_resets, 0)
        self.assertEqual(list(dict.fromkeys(self.machine.commands)), [b"x", b"y"])
