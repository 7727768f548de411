import asyncio
import unittest

import aiohttp

from standins.deployment import Deployment, open_client, wait_until


class ServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(Deployment())
        self.client = await self.enterAsyncContext(open_client())

    async def switch(self, server, **faults):
        url = f"{server.url()}/standin/fault"
        async with self.client.post(url, json=faults) as response:
            self.assertEqual(response.status, 200)

    async def count(self, server):
        url = f"{server.url()}/standin/counters"
        async with self.client.get(url) as response:
            return await response.json()

    async def test_runner(self):
        """A runner answers whole and streamed, and its switches work."""
        runner = await self.deployment.start_runner(token_ms=1)
        url = f"{runner.url()}/v1/completions"
        body = {"model": "m", "prompt": "x y tokens=4"}
        async with self.client.post(url, json=body) as response:
            answer = await response.json()
        self.assertEqual(answer["choices"][0]["text"], "x y tokens=4 x ")
        async with self.client.post(url, json=body | {"stream": True}) as response:
            events = (await response.text()).split("\n\n")
        self.assertEqual(events[-2:], ["data: [DONE]", ""])
        await self.switch(runner, cut_after=2)
        with self.assertRaises(aiohttp.ClientError):
            async with self.client.post(url, json=body | {"stream": True}) as response:
                await response.read()
        await self.switch(runner, cut_after=0, hang=True)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await self.client.post(url, json=body)
        await self.switch(runner, hang=False, crash_marker="poison")
        with self.assertRaises(aiohttp.ClientError):
            await self.client.post(url, json=body | {"prompt": "poison"})

    async def test_runner_counts_a_caller_gone(self):
        """Work for a caller who left is cancelled and counted as wasted."""
        runner = await self.deployment.start_runner(token_ms=1)
        url = f"{runner.url()}/v1/completions"
        body = {"prompt": "tokens=100000", "stream": True}
        async with self.client.post(url, json=body) as response:
            await response.content.readany()
            response.close()

        async def is_cancelled():
            return (await self.count(runner))["cancelled"] == 1

        await wait_until(is_cancelled, "the sequence is cancelled")
        self.assertGreater((await self.count(runner))["wasted_tokens"], 0)

    async def test_desk(self):
        """A desk counts the runs of each order, and refuses old tokens."""
        desk = await self.deployment.start_booking_service(check_fencing=True)
        url = f"{desk.url()}/bookings"
        statuses = []
        for token in ("2", "3", "1"):
            headers = {"X-Carob-Fencing-Token": token}
            body = {"order": "a"}
            async with self.client.post(url, json=body, headers=headers) as response:
                statuses.append(response.status)
        self.assertEqual(statuses, [200, 200, 409])
        self.assertEqual(await self.count(desk), {"runs": {"a": 2}, "refused": 1})
