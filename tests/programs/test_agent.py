import asyncio
import contextlib
import json
import signal
import sys
import unittest

import aiohttp
from grpclib.client import UnaryStreamMethod, UnaryUnaryMethod

from carobspring.adapters.paths import CANCEL_CALL, RUN_CALL
from carobspring.adapters.rpc import open_channel
from carobspring.domain import RunStatus, hash_request
from carobspring.protocol import CallEnd, CallEvent, CancelCall, CancelReply, RunCall

TEST_TIMEOUT_S = 60.0
SECRET = "only for this test"
RAN = CallEnd(run_status=RunStatus.RAN)


async def start_program(module, *flags):
    """Start a program; return its process and its ports by purpose."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, *flags, stdout=asyncio.subprocess.PIPE
    )
    async with asyncio.timeout(TEST_TIMEOUT_S):
        line = (await process.stdout.readline()).decode()
    pairs = (item.split("=") for item in line.split()[1:])
    return process, {name: int(port) for name, port in pairs}


class AgentProgramTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.processes = []
        self.addAsyncCleanup(self.stop_programs)
        self.runner_port = await self.start_runner(0)
        self.agent, ports = await start_program(
            "carobspring.programs.agent",
            "--server_id=r1",
            "--service=models",
            f"--secret={SECRET}",
            "--log_level=ERROR",
            f"--backend=http://127.0.0.1:{self.runner_port}",
        )
        self.processes.append(self.agent)
        self.http_port = ports["http"]
        self.channel = open_channel(host="127.0.0.1", port=ports["rpc"], secret=SECRET)
        self.addCleanup(self.channel.close)

    async def stop_programs(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def start_runner(self, port):
        runner, ports = await start_program("standins.runner", f"--port={port}")
        self.processes.append(runner)
        return ports["http"]

    async def fetch(self, path, port=None):
        url = f"http://127.0.0.1:{port or self.http_port}{path}"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return response.status, await response.read()

    async def set_fault(self, **fault):
        url = f"http://127.0.0.1:{self.runner_port}/standin/fault"
        async with aiohttp.ClientSession() as session:
            with contextlib.suppress(aiohttp.ClientError):
                await session.post(url, json=fault)

    async def wait_until(self, check):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not await check():
                await asyncio.sleep(0.02)

    async def is_ready(self):
        return (await self.fetch("/readyz"))[0] == 200

    async def run_call(self, call_id, tokens, *, started=None):
        message = {"role": "user", "content": f"hello tokens={tokens}"}
        body = json.dumps({"stream": True, "messages": [message]}).encode()
        call = RunCall(
            call_id=call_id,
            boot=0,
            workspace="w",
            service_class="chat",
            method="POST",
            path="/v1/chat/completions",
            headers=(("Content-Type", "application/json"),),
            body=body,
            stream=True,
            request_hash=hash_request("POST", "/v1/chat/completions", body),
        )
        method = UnaryStreamMethod(self.channel, RUN_CALL, RunCall, CallEvent)
        output = b""
        async with asyncio.timeout(TEST_TIMEOUT_S), method.open() as stream:
            await stream.send_message(call, end=True)
            async for event in stream:
                output += event.data
                if event.data and started is not None:
                    started.set()
                if event.end is not None:
                    return output, event.end

    async def start_call(self, call_id, tokens):
        """Return the task of a call whose response has started."""
        started = asyncio.Event()
        task = asyncio.create_task(self.run_call(call_id, tokens, started=started))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await started.wait()
        return task

    async def test_planned_stop_completes_running_calls(self):
        """After SIGTERM, new calls are refused and running calls complete."""
        running = await self.start_call("a", 100)
        # This keeps the call running until it is reset, on any machine.
        await self.set_fault(slow_factor=100.0)
        self.agent.send_signal(signal.SIGTERM)

        async def is_not_ready():
            return not await self.is_ready()

        await self.wait_until(is_not_ready)
        _, end = await self.run_call("b", 1)
        self.assertEqual((end.run_status, end.reason), (RunStatus.NOT_RUN, "draining"))
        await self.set_fault(slow_factor=1.0)
        output, end = await running
        self.assertEqual(end, RAN)
        self.assertEqual(output.count(b"data: "), 102)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            self.assertEqual(await self.agent.wait(), 0)

    async def test_cancel_reaches_the_engine(self):
        """Cancelling a call also removes it from the engine's batch."""
        running = await self.start_call("a", 100_000)
        method = UnaryUnaryMethod(self.channel, CANCEL_CALL, CancelCall, CancelReply)
        reply = await method(CancelCall(call_id="a"), timeout=TEST_TIMEOUT_S)
        self.assertEqual(reply, CancelReply(cancelled=True))
        _, end = await running
        self.assertEqual(end, CallEnd(run_status=RunStatus.UNKNOWN, reason="cancelled"))

        async def is_cancelled():
            _, body = await self.fetch("/standin/counters", self.runner_port)
            return json.loads(body)["cancelled"] == 1

        await self.wait_until(is_cancelled)

    async def test_request_that_crashes_twice_is_quarantined(self):
        """After two crashes a request is quarantined; others are served."""
        for number in range(2):
            running = await self.start_call(f"crash-{number}", 10_000)
            await self.set_fault(crash=True)
            _, end = await running
            expected = CallEnd(run_status=RunStatus.UNKNOWN, reason="backend_failed")
            self.assertEqual(end, expected)
            await self.start_runner(self.runner_port)
            await self.wait_until(self.is_ready)
        _, end = await self.run_call("again", 10_000)
        self.assertEqual(
            end, CallEnd(run_status=RunStatus.NOT_RUN, reason="quarantined")
        )
        _, end = await self.run_call("other", 3)
        self.assertEqual(end, RAN)
        _, metrics = await self.fetch("/metrics")
        self.assertIn(b"carob_agent_strikes_total 2", metrics)
