"""Tests of what callers get whose requests are open when a drain ends."""

import asyncio
import socket
import unittest

from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.dispatch import StopSchedule
from carobspring.domain.routes import Repeatability
from tests.gateway.fakes import REQUEST_ID, RESPONSE_HEADERS, GatewayHarness

POST = (
    b"POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
    b"Carobspring-Attempt-Id: " + REQUEST_ID.encode() + b"\r\n\r\n"
)
LIMITED = (200, (*RESPONSE_HEADERS, ("Server-Limit", "2")), [b"limited"])
TIMEOUT_MS = 30_000
DRAIN_S = 1.0


class OpenRequestTests(unittest.IsolatedAsyncioTestCase):
    async def ask_and_stop(self, gateway):
        """Return the status of a request that is open when a drain ends."""
        server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=gateway.api.handle
        )
        await server.start()
        self.addAsyncCleanup(server.close)
        sock = socket.create_connection(("127.0.0.1", server.port))
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.sendall(POST)
        await asyncio.sleep(0.1)
        self.assertEqual(len(gateway.api.open_requests), 1)
        now = asyncio.get_running_loop().time()
        schedule = StopSchedule(listens_until=now, ends_at=now + DRAIN_S)
        gateway.api.begin_stop(schedule)
        await server.drain(DRAIN_S)
        await server.close()
        loop = asyncio.get_running_loop()
        received = await asyncio.wait_for(loop.sock_recv(sock, 4096), 2)
        return received[9:12].decode()

    async def test_request_that_waits_for_a_permit(self):
        """One that no server got is refused, not cut."""
        gateway = GatewayHarness([LIMITED], timeout_ms=TIMEOUT_MS)
        await gateway.call()
        gateway.admission_client.permit_event = asyncio.Event()
        self.assertEqual(await self.ask_and_stop(gateway), "503")
        self.assertEqual(gateway.count_requests(), {"s1": 1})

    async def test_request_without_a_response(self):
        """One that may run gets a whole answer that promises nothing."""
        gateway = GatewayHarness(
            [asyncio.Event()],
            timeout_ms=TIMEOUT_MS,
            repeatability=Repeatability.ONCE,
        )
        self.assertIn(await self.ask_and_stop(gateway), ("502", "504"))
