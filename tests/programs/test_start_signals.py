"""Tests of signals to programs that have not started yet."""

import asyncio
import contextlib
import signal
import unittest
from pathlib import Path
from types import SimpleNamespace

from standins.deployment import Deployment, DeploymentError, wait_until
from standins.instances import FRONTEND_PORT, InstanceSet, find_free_network

#: A library that every program loads, after it has begun to run.
LOADED_LIBRARY = "msgspec"
#: A backend server that nobody asks.
BACKEND = SimpleNamespace(url=lambda: "http://127.0.0.1:1")
PROGRAMS = (
    "carob-control",
    "carob-agent",
    "carob-entry",
    "carob-control on an instance",
    "carob-entry on an instance",
)


class StartSignalTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(Deployment())
        await self.deployment.start_control()
        self.instances = InstanceSet(self.deployment, network=find_free_network())

    def start_program(self, name):
        """Return a coroutine that starts a program and waits for its ports."""
        deployment, instance = self.deployment, self.instances.instances[0]
        if name.endswith("on an instance"):
            return self.instances.start(instance, name.split()[0])
        if name == "carob-entry":
            return deployment.start_entry("e1", "a")
        if name == "carob-agent":
            return deployment.start_agent("m1", BACKEND, "a")
        return deployment.start_control("c2", "a")

    async def load_program(self, name):
        """Start a program; return it and its start as soon as it loads."""
        count = len(self.deployment.programs)
        start = asyncio.create_task(self.start_program(name))

        async def is_loading():
            if len(self.deployment.programs) == count:
                return False
            maps = Path(f"/proc/{self.deployment.programs[-1].pid}/maps")
            return LOADED_LIBRARY in maps.read_text()

        await wait_until(is_loading, f"{name} loads")
        return self.deployment.programs[-1], start

    async def connect(self, host):
        """Connect as soon as the entry listens."""
        while True:
            with contextlib.suppress(ConnectionRefusedError):
                return await asyncio.open_connection(host, FRONTEND_PORT)
            await asyncio.sleep(0.01)

    async def wait_for_exit(self, program):
        async def has_ended():
            return program.returncode is not None

        await wait_until(has_ended, f"{program.name} ends")
        return program.returncode

    async def test_stop_signals(self):
        """A program that loads its modules ends in order on a stop signal."""
        for name in PROGRAMS:
            for number in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(name, signal=number.name):
                    program, start = await self.load_program(name)
                    program.send_signal(number)
                    with contextlib.suppress(DeploymentError):
                        await start
                    self.assertEqual(await self.wait_for_exit(program), 0)

    async def test_reload_signal(self):
        """A program that loads its modules goes on after SIGHUP."""
        for name in PROGRAMS:
            with self.subTest(name):
                program, start = await self.load_program(name)
                program.send_signal(signal.SIGHUP)
                with contextlib.suppress(DeploymentError):
                    await start
                self.assertIsNone(program.returncode)
                program.send_signal(signal.SIGHUP)
                self.assertEqual(await program.stop(), 0)

    async def test_waiting_request(self):
        """A request to an entry that loads is answered, though it stops."""
        program, start = await self.load_program("carob-entry on an instance")
        host = self.instances.instances[0].ip
        reader, writer = await self.connect(host)
        self.addCleanup(writer.close)
        writer.write(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        await writer.drain()
        program.send_signal(signal.SIGTERM)
        with contextlib.suppress(DeploymentError):
            await start
        received = await asyncio.wait_for(reader.read(), 20)
        self.assertEqual(received[:13], b"HTTP/1.1 503 ")
        self.assertEqual(await self.wait_for_exit(program), 0)
