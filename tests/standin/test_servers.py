import asyncio
import unittest

import aiohttp

from standins.deployment import Deployment, open_client, wait_until


class ServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(Deployment())
        self.client = await self.enterAsyncContext(open_client())

    async def set_faults(self, server, **faults):
        url = f"{server.url()}/standin/fault"
        async with self.client.post(url, json=faults) as response:
            self.assertEqual(response.status, 200)

    async def read_counters(self, server):
        url = f"{server.url()}/standin/counters"
        async with self.client.get(url) as response:
            return await response.json()

    async def test_runner(self):
        """A runner responds streamed and not streamed, and its faults work."""
        runner = await self.deployment.start_runner(token_ms=1)
        url = f"{runner.url()}/v1/completions"
        body = {"model": "m", "prompt": "x y tokens=4"}
        async with self.client.post(url, json=body) as response:
            completion = await response.json()
        self.assertEqual(completion["choices"][0]["text"], "x y tokens=4 x ")
        async with self.client.post(url, json=body | {"stream": True}) as response:
            events = (await response.text()).split("\n\n")
        self.assertEqual(events[-2:], ["data: [DONE]", ""])
        await self.set_faults(runner, cut_after=2)
        with self.assertRaises(aiohttp.ClientError):
            async with self.client.post(url, json=body | {"stream": True}) as response:
                await response.read()
        await self.set_faults(runner, cut_after=0, hang=True)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await self.client.post(url, json=body)
        await self.set_faults(runner, hang=False, crash_marker="poison")
        with self.assertRaises(aiohttp.ClientError):
            await self.client.post(url, json=body | {"prompt": "poison"})

    async def test_disconnected_caller(self):
        """Work for a disconnected caller is cancelled and counts as wasted."""
        runner = await self.deployment.start_runner(token_ms=1)
        url = f"{runner.url()}/v1/completions"
        body = {"prompt": "tokens=100000", "stream": True}
        async with self.client.post(url, json=body) as response:
            await response.content.readany()
            response.close()

        async def is_cancelled():
            return (await self.read_counters(runner))["cancelled"] == 1

        await wait_until(is_cancelled, "the sequence is cancelled")
        self.assertGreater((await self.read_counters(runner))["wasted_tokens"], 0)

    async def test_booking_service(self):
        """The booking service counts runs and rejects old fencing tokens."""
        service = await self.deployment.start_booking_service(check_fencing=True)
        url = f"{service.url()}/bookings"
        statuses = []
        for token in ("2", "3", "1"):
            headers = {"X-Carob-Fencing-Token": token}
            body = {"order": "a"}
            async with self.client.post(url, json=body, headers=headers) as response:
                statuses.append(response.status)
        self.assertEqual(statuses, [200, 200, 409])
        self.assertEqual(
            await self.read_counters(service), {"runs": {"a": 2}, "refused": 1}
        )
