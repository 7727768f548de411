"""An entry program with fake agents and control in one event loop."""

import asyncio
import unittest
from collections.abc import Callable

import aiohttp

from carobspring.domain import ServiceKind
from carobspring.programs.entry_program import EntryOptions, EntryProgram
from carobspring.protocol import ViewUpdate
from tests.entry.fakes import KEY_A, SECRET, FakeAgent, FakeControl, build_settings

CHAT = {"model": "m1", "messages": [{"role": "user", "content": "hello"}]}


async def wait_until(condition: Callable[[], bool], timeout_s: float = 20) -> None:
    """Wait for a condition; the timeout only prevents a test from hanging."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts an entry with two model agents and one plain agent."""

    async def asyncSetUp(self) -> None:
        """Start all programs on free loopback ports."""
        self.control = await FakeControl().start()
        self.agents = [await FakeAgent(name).start() for name in ("r1", "r2")]
        self.plain_agent = await FakeAgent("d1", kind=ServiceKind.PLAIN).start()
        self.control.first_view = ViewUpdate(
            complete=True,
            settings=build_settings(),
            servers=tuple(a.describe() for a in (*self.agents, self.plain_agent)),
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
        """Stop all programs."""
        await self.client.close()
        await self.entry.stop()
        for fake in (self.control, *self.agents, self.plain_agent):
            fake.stop()
