"""Tests of the durations by which a stop takes requests without a limit."""

import asyncio
import unittest

from carobspring.dispatch import StopSchedule
from carobspring.domain.routes import Repeatability
from tests.gateway.fakes import (
    RESPONSE_HEADERS,
    FakeResponder,
    GatewayHarness,
    build_incomplete_error,
)

TIMEOUT_MS = 30_000
LISTEN_S = 2.6
#: Before the limit of the requests, which is 5 s.
STOP_S = 3.0
SUCCESS = (200, RESPONSE_HEADERS, [b"answer"])
FAILURE = (500, RESPONSE_HEADERS, [b"failed"])


class StopDurationTests(unittest.IsolatedAsyncioTestCase):
    def build(self, *scripts):
        return GatewayHarness(
            [*scripts, SUCCESS], timeout_ms=TIMEOUT_MS, repeatability=Repeatability.ONCE
        )

    async def stop_and_call(self, gateway):
        """Return the status of a request that comes in a stop."""
        now = asyncio.get_running_loop().time()
        schedule = StopSchedule(listens_until=now + LISTEN_S, ends_at=now + STOP_S)
        gateway.api.begin_stop(schedule)
        return (await gateway.call()).status

    async def test_requests_that_ended_early(self):
        """They don't tell how long a request lasts that a server completes."""
        cases = {"broken off": build_incomplete_error(), "failed": FAILURE}
        for name, script in cases.items():
            with self.subTest(name):
                gateway = self.build(script)
                await gateway.call()
                self.assertEqual(await self.stop_and_call(gateway), 503)

    async def test_request_that_its_caller_left(self):
        """It does not tell how long it would have lasted."""
        gateway = self.build(asyncio.Event())
        responder = FakeResponder()
        call = asyncio.create_task(gateway.call(responder=responder))
        await asyncio.sleep(0.05)
        responder.disconnected.set()
        await call
        self.assertEqual(await self.stop_and_call(gateway), 503)

    async def test_request_under_way(self):
        """It counts with the time that it has lasted so far."""
        gateway = self.build(SUCCESS, asyncio.Event())
        await gateway.call()
        call = asyncio.create_task(gateway.call())
        self.addCleanup(call.cancel)
        await asyncio.sleep(STOP_S)
        self.assertEqual(await self.stop_and_call(gateway), 503)
