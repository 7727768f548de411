"""Tests of callers that shut down their sending side behind a request."""

import asyncio
import socket
import unittest

from carobspring.adapters.http_server import CircuitsHttpServer

RECEIVE_BUFFER_BYTES = 16 * 1024
#: More than the kernel takes for a caller that doesn't read.
LARGE_BODY_BYTES = 20_000_000
#: Turns of the server's components in a fraction of a second without work.
MAX_IDLE_TICKS = 20


class HalfClosedTests(unittest.IsolatedAsyncioTestCase):
    """A half-close can't be told from a close, and counts as one."""

    async def asyncSetUp(self):
        self.server = CircuitsHttpServer(host="127.0.0.1", port=0, handler=self.handle)
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.disconnected = asyncio.Event()

    async def handle(self, request, responder):
        if request.path == "/whole":
            await responder.send(200, (), bytes(LARGE_BODY_BYTES))
            return
        if request.path == "/stream":
            await responder.start(200, ())
            while not responder.disconnected.is_set():
                await responder.write(bytes(64 * 1024))
        await responder.disconnected.wait()
        self.disconnected.set()
        await responder.send(200, (), b"too late")

    async def half_close(self, path):
        """Send a request, then end the sending side; return the socket."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.connect(("127.0.0.1", self.server.port))
        sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        sock.setblocking(False)
        await asyncio.sleep(0.1)
        sock.shutdown(socket.SHUT_WR)
        return sock

    async def read_all(self, sock):
        loop = asyncio.get_running_loop()
        received = bytearray()
        while data := await loop.sock_recv(sock, 1024 * 1024):
            received += data
        return bytes(received)

    async def test_before_the_response(self):
        """The handler learns that its caller has gone, which gets nothing."""
        sock = await self.half_close("/wait")
        await asyncio.wait_for(self.disconnected.wait(), 1)
        self.assertEqual(await self.read_all(sock), b"")

    async def test_during_a_response(self):
        """So it is while the caller has not read what was sent."""
        await self.half_close("/stream")
        await asyncio.wait_for(self.disconnected.wait(), 1)

    async def test_behind_a_whole_response(self):
        """What is left of a response that is complete is still sent."""
        sock = await self.half_close("/whole")
        await asyncio.sleep(0.1)
        head, _, body = (await self.read_all(sock)).partition(b"\r\n\r\n")
        self.assertEqual(head[:15], b"HTTP/1.1 200 OK")
        self.assertEqual(len(body), LARGE_BODY_BYTES)

    async def test_unread_response(self):
        """A caller that reads nothing of it causes no work meanwhile."""
        await self.half_close("/whole")
        await asyncio.sleep(0.1)
        root = self.server._root
        ticks = 0
        tick = root.tick

        def count_tick(*arguments):
            nonlocal ticks
            ticks += 1
            tick(*arguments)

        root.tick = count_tick
        await asyncio.sleep(0.3)
        self.assertLess(ticks, MAX_IDLE_TICKS)
