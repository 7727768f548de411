import asyncio
import signal
import sys
import unittest

import aiohttp

from carobspring.domain import RunStatus
from carobspring.protocol import CallEnd, CallEvent, ResponseHead, ViewUpdate
from tests.entry.deployment import CHAT
from tests.entry.fakes import KEY_A, SECRET, FakeAgent, FakeControl, build_settings

MODULE = "carobspring.programs.entry"
CHUNK = b"data: 1\n\n"


class EntryProcessTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **flags):
        """Start the program; if it still runs after the test, it is killed."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            MODULE,
            *(f"--{name.replace('_', '-')}={value}" for name, value in flags.items()),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.kill_process, process)
        return process

    async def kill_process(self, process):
        """Kill a process if it still runs, and close its pipes."""
        if process.returncode is None:
            process.kill()
        await process.communicate()

    async def test_signal_lets_open_calls_end(self):
        """After SIGTERM an open stream completes before the exit with 0."""
        control = await FakeControl().start()
        agent = await FakeAgent("r1").start()
        self.addCleanup(control.stop)
        self.addCleanup(agent.stop)
        may_continue = asyncio.Event()

        async def run_until_released(request, send):
            await send(CallEvent(head=ResponseHead(status=200)))
            await send(CallEvent(data=CHUNK, offset=0))
            while not may_continue.is_set():
                await asyncio.sleep(0.1)
                await send(CallEvent())
            await send(CallEvent(data=CHUNK, offset=len(CHUNK)))
            end = CallEnd(run_status=RunStatus.RAN)
            await send(CallEvent(end=end, offset=2 * len(CHUNK)))

        agent.on_run = run_until_released
        control.first_view = ViewUpdate(
            complete=True, settings=build_settings(), servers=(agent.describe(),)
        )
        address = f"127.0.0.1:{control.port}"
        process = await self.start(
            entry_id="e1",
            zone="z1",
            control=address,
            secret=SECRET,
            http_port=0,
            stop_grace_s=0.2,
        )
        line = (await process.stdout.readline()).decode()
        port = int(line.removeprefix("listening http="))
        headers = {"Authorization": f"Bearer {KEY_A}"}
        async with aiohttp.ClientSession(f"http://127.0.0.1:{port}") as client:
            async with asyncio.timeout(60):
                while (await client.get("/readyz")).status != 200:
                    await asyncio.sleep(0.05)
            response = await client.post(
                "/v1/completions", json={**CHAT, "stream": True}, headers=headers
            )
            received = await response.content.readany()
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(1.0)
            self.assertIsNone(process.returncode)
            may_continue.set()
            received += await response.content.read()
        self.assertEqual(received, 2 * CHUNK)
        self.assertEqual(await process.wait(), 0)

    async def test_invalid_flags(self):
        """An invalid value ends the program with an error naming the flag."""
        valid = {"entry_id": "e", "zone": "z", "control": "127.0.0.1:1"}
        valid["secret"] = SECRET
        cases = {
            "--control": {**valid, "control": "nowhere"},
            "--http-port": {**valid, "http_port": 70000},
            "--secret": {**valid, "secret": "short"},
        }
        for flag, flags in cases.items():
            with self.subTest(flag):
                process = await self.start(**flags)
                _, errors = await process.communicate()
                self.assertEqual(process.returncode, 2)
                self.assertIn(flag, errors.decode().replace("_", "-"))
                self.assertNotIn("Traceback", errors.decode())
                if flag == "--secret":
                    self.assertNotIn("short", errors.decode())
