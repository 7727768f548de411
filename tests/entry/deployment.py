"""One entry program with fake agents and a fake control, in one loop."""

import asyncio
import unittest
from collections.abc import Callable

import aiohttp

from carobspring.domain import ServiceKind
from carobspring.programs.entry import EntryOptions, EntryProgram
from carobspring.protocol import ViewUpdate
from tests.entry.fakes import KEY_A, SECRET, FakeAgent, FakeControl, build_settings

CHAT = {"model": "m1", "messages": [{"role": "user", "content": "hello"}]}


async def wait_until(condition: Callable[[], bool], timeout_s: float = 20) -> None:
    """Wait for a condition; bounded against hanging, no verdict on speed."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts an entry before two model agents and one plain agent."""

    async def asyncSetUp(self) -> None:
        """Start everything on free ports of loopback."""
        self.control = await FakeControl().start()
        self.agents = [await FakeAgent(name).start() for name in ("r1", "r2")]
        self.desk = await FakeAgent("d1", kind=ServiceKind.PLAIN).start()
        self.control.first = ViewUpdate(
            complete=True,
            settings=build_settings(),
            servers=tuple(a.describe() for a in (*self.agents, self.desk)),
        )
        options = EntryOptions(
            entry_id="e1",
            zone="z1",
            control=f"127.0.0.1:{self.control.port}",
            secret=SECRET,
            http_port=0,
            stop_grace_s=0.0,
        )
        self.entry = EntryProgram(options)
        ports = await self.entry.start()
        self.base = f"http://127.0.0.1:{ports['http']}"
        self.client = aiohttp.ClientSession(
            base_url=self.base, headers={"Authorization": f"Bearer {KEY_A}"}
        )
        await wait_until(lambda: self.entry._state.is_ready)

    async def asyncTearDown(self) -> None:
        """Stop everything."""
        await self.client.close()
        await self.entry.stop()
        for fake in (self.control, *self.agents, self.desk):
            fake.stop()
