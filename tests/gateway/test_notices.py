import asyncio
import time
import unittest

from carobspring.domain.routes import Repeatability
from carobspring.ports import RequestWithheldError
from tests.gateway.fakes import (
    RESPONSE_HEADERS,
    FakeClient,
    GatewayHarness,
)

SUCCESS = (200, RESPONSE_HEADERS, [b"answer"])
NOT_RUN = ("Carobspring-Not-Executed", "1")
ONCE = Repeatability.ONCE


def build_rejection(rest, *, not_run=True):
    headers = (("Retry-After", rest), *((NOT_RUN,) if not_run else RESPONSE_HEADERS))
    return (503, headers, [])


class RestTests(unittest.IsolatedAsyncioTestCase):
    async def test_resting_server_is_left_out(self):
        """A server that asked for rest gets no further request."""
        for not_run in (True, False):
            with self.subTest(not_run=not_run):
                rejection = build_rejection("3", not_run=not_run)
                gateway = GatewayHarness([rejection], [SUCCESS])
                for _ in range(4):
                    response = await gateway.call()
                    self.assertEqual(response.status, 200)
                self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 4})

    async def test_responses_that_ask_for_no_rest(self):
        """Only a rejection of the server itself counts."""
        foreign = (421, (("Retry-After", "3"),), [])
        cases = {
            "another server's": foreign,
            "no number": build_rejection("soon"),
            "negative": build_rejection("-1"),
            "none": (503, (NOT_RUN,), []),
        }
        for name, script in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness([script], [SUCCESS])
                await gateway.call()
                server = gateway.servers["s1"]
                now = asyncio.get_running_loop().time()
                self.assertIs(gateway.dispatcher.may_send(server, now), True)

    async def test_short_rest_is_waited_for(self):
        """A request that can still meet its target waits for the server."""
        script = [build_rejection("0.2"), SUCCESS]
        gateway = GatewayHarness(script, target_ms=1000)
        await gateway.call()
        started_at = time.monotonic()
        response = await gateway.call()
        self.assertEqual(response.status, 200)
        self.assertLess(time.monotonic() - started_at, 0.4)
        self.assertEqual(gateway.count_requests(), {"s1": 2})

    async def test_all_servers_rest(self):
        """A request that can't meet its target is told when to come again."""
        gateway = GatewayHarness(
            [build_rejection("0.5")], [build_rejection("0.6")], target_ms=300
        )
        await gateway.call()
        response = await gateway.call()
        self.assertEqual(
            (response.status, response.body), (503, b'{"error":"resting"}')
        )
        self.assertGreater(float(response.retry_after), 0.45)
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 1})

    async def test_request_that_waited_for_a_permit(self):
        """It goes elsewhere if the server asks for rest meanwhile."""
        limited = (200, (*RESPONSE_HEADERS, ("Server-Limit", "2")), [b"answer"])
        gateway = GatewayHarness([limited], [SUCCESS])
        gateway.admission_client.permit_waits = {"s1": 0.0}
        await gateway.call()
        granted = gateway.admission_client.permit_event = asyncio.Event()
        calling = asyncio.create_task(gateway.call())
        await asyncio.sleep(0.01)
        now = asyncio.get_running_loop().time()
        gateway.dispatcher.record_rest(gateway.servers["s1"], 3.0, now)
        granted.set()
        response = await calling
        self.assertEqual(response.status, 200)
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 1})
        self.assertIn(("s1", "9c41"), gateway.admission_client.released)

    async def test_request_that_waited_for_a_connection(self):
        """It is withheld, and goes elsewhere without counting as run."""

        class SlowClient(FakeClient):
            async def send(self, request):
                await asyncio.sleep(0.02)
                if not request.may_send():
                    raise RequestWithheldError(reason="withheld")
                return await super().send(request)

        for kind in (ONCE, Repeatability.IDEMPOTENT):
            with self.subTest(kind=kind):
                gateway = GatewayHarness([], [SUCCESS], repeatability=kind)
                slow = gateway.clients["s1"] = SlowClient([SUCCESS])
                calling = asyncio.create_task(gateway.call())
                await asyncio.sleep(0.01)
                now = asyncio.get_running_loop().time()
                gateway.dispatcher.record_rest(gateway.servers["s1"], 3.0, now)
                response = await calling
                self.assertEqual((response.status, slow.requests), (200, []))

    async def test_log_lines(self):
        """One line tells of the rest, and one of the return."""
        gateway = GatewayHarness([build_rejection("0.05"), SUCCESS], target_ms=1000)
        with self.assertLogs("carobspring.gateway.notices") as logs:
            for _ in range(3):
                await gateway.call()
        lines = [(line.message, line.server, line.request) for line in logs.records]
        self.assertEqual(
            lines,
            [
                ("backend server set aside", "s1", "9c41"),
                ("backend server returns from rest", "s1", "9c41"),
            ],
        )
