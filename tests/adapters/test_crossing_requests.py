"""Tests of requests that cross the close of an idle connection."""

import asyncio
import errno
import socket
import time
import unittest
from unittest import mock

from carobspring.adapters import http_server
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits

GET = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"
LIMITS = HttpLimits(linger_s=0.3, idle_timeout_s=0.2)
#: Longer than a connection may be idle in a stop.
STALL_S = 0.6


class CrossingRequestTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        patch = mock.patch.multiple(http_server, TIMEOUT_CHECK_INTERVAL_S=0.05)
        self.enterContext(patch)
        self.served = 0
        self.server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=self.handle, limits=LIMITS
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request, responder):
        self.served += 1
        await responder.send(200, (), b"served")

    async def connect_and_ask(self):
        """Return a kept connection that has had one response."""
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.sendall(GET)
        loop = asyncio.get_running_loop()
        received = await asyncio.wait_for(loop.sock_recv(sock, 4096), 2)
        self.assertEqual(received[-6:], b"served")
        return sock

    async def test_request_that_crosses_the_close(self):
        """It is not read: a reset tells its caller so, who sends it again."""
        closes = {
            "wind-down": lambda: self.server.disable_keep_alive(1),
            "drain": lambda: self.server.drain(5),
            "idle timeout": lambda: asyncio.sleep(1),
        }
        loop = asyncio.get_running_loop()
        for name, close in closes.items():
            with self.subTest(name):
                await self.server.close()
                await self.asyncSetUp()
                sock = await self.connect_and_ask()
                closing = asyncio.create_task(close())
                self.assertEqual(await loop.sock_recv(sock, 4096), b"")
                sock.sendall(GET)
                await closing
                await self.server.close()
                await asyncio.sleep(0.1)
                self.assertEqual(self.served, 1)
                # The error of a reset behind an orderly end.
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                self.assertEqual(error, errno.EPIPE)

    async def test_request_that_came_before_the_close(self):
        """It is served, also if the program was held up meanwhile."""
        closes = {
            "wind-down": lambda: self.server.disable_keep_alive(1),
            "drain": lambda: self.server.drain(5),
            "idle timeout": lambda: asyncio.sleep(1),
        }
        loop = asyncio.get_running_loop()
        for name, close in closes.items():
            with self.subTest(name):
                await self.server.close()
                await self.asyncSetUp()
                sock = await self.connect_and_ask()
                closing = asyncio.create_task(close())
                await asyncio.sleep(0.05)
                sock.sendall(GET)
                time.sleep(STALL_S)
                received = await asyncio.wait_for(loop.sock_recv(sock, 4096), 2)
                self.assertEqual(received[-6:], b"served")
                await closing
