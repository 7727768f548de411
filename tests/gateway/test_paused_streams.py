"""Tests of streams whose server pauses while no other one can go on."""

import asyncio
import unittest

from carobspring.domain.routes import Repeatability
from carobspring.ports import BackendUnreachableError
from tests.gateway.fakes import STREAM_HEADERS, GatewayHarness, build_event

#: Seconds after which an entry tries another server.
PAUSE_S = 1.6


class PausedStreamTests(unittest.IsolatedAsyncioTestCase):
    """A pause of a sound server doesn't end its stream."""

    async def check_stream(self, refusal):
        resumed = asyncio.Event()
        gateway = GatewayHarness(
            [(200, STREAM_HEADERS, [build_event(1), resumed, build_event(2)])],
            [refusal],
            repeatability=Repeatability.RESUMABLE_STREAM,
            timeout_ms=9000,
        )
        call = asyncio.create_task(gateway.call())
        await asyncio.sleep(PAUSE_S)
        resumed.set()
        response = await call
        self.assertEqual(
            (response.body, response.ended),
            (build_event(1) + build_event(2), "complete"),
        )

    async def test_unreachable_server(self):
        """The stream goes on if no connection to another server opens."""
        await self.check_stream(BackendUnreachableError(reason="refused"))

    async def test_full_server(self):
        """The stream goes on if another server turns the request away."""
        await self.check_stream((503, (("Carobspring-Not-Executed", "1"),), []))
