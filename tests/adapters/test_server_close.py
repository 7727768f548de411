"""Tests of what callers get when the server or a response ends."""

import asyncio
import socket
import unittest

from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits

GET = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"
WAITING_CONNECTIONS = 20
LIMITS = HttpLimits(linger_s=1.0)


class ServerCloseTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=self.handle, limits=LIMITS
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request, responder):
        await responder.send(200, (), b"served")

    def connect(self):
        """Connect without a turn of the event loop."""
        sock = socket.create_connection(("127.0.0.1", self.server.port), 5)
        self.addCleanup(sock.close)
        return sock

    async def read_all(self, sock):
        """Read until the end of the connection."""
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        received = bytearray()
        while data := await loop.sock_recv(sock, 64 * 1024):
            received += data
        return bytes(received)


class WaitingConnectionTests(ServerCloseTestCase):
    async def test_connections_waiting_at_a_drain(self):
        """Those that wait to be accepted when listening ends are served."""
        socks = [self.connect() for _ in range(WAITING_CONNECTIONS)]
        for sock in socks:
            sock.sendall(GET)
        drained = asyncio.create_task(self.server.drain(10))
        received = await asyncio.gather(*(self.read_all(sock) for sock in socks))
        self.assertEqual(
            [response[-8:] for response in received],
            [b"\r\nserved"] * WAITING_CONNECTIONS,
        )
        self.assertIs(await drained, True)
        with self.assertRaises(ConnectionRefusedError):
            self.connect()

    async def test_connections_without_a_request(self):
        """Those that send nothing are closed in order."""
        socks = [self.connect() for _ in range(WAITING_CONNECTIONS)]
        drained = asyncio.create_task(self.server.drain(10))
        received = await asyncio.gather(*(self.read_all(sock) for sock in socks))
        self.assertEqual(received, [b""] * WAITING_CONNECTIONS)
        self.assertIs(await drained, True)
