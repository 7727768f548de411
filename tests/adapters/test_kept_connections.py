"""Tests of requests on kept connections that the server is about to close."""

import asyncio
import unittest
import unittest.mock

from carobspring.adapters import http_server
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits

TEXT = (("Content-Type", "text/plain"),)
FIRST = b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n"
SECOND = b"POST /second HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
LIMITS = HttpLimits(idle_timeout_s=0.1, request_timeout_s=5.0)
#: Seconds that are longer than each timeout of an idle connection here.
LONG_S = 0.4


class KeptConnectionTests(unittest.IsolatedAsyncioTestCase):
    """A request that was passed on is answered before the close."""

    async def asyncSetUp(self):
        patch = unittest.mock.patch.multiple(
            http_server,
            TIMEOUT_CHECK_INTERVAL_S=0.02,
            DRAIN_IDLE_TIMEOUT_S=0.05,
            NO_KEEP_ALIVE_IDLE_TIMEOUT_S=0.05,
        )
        self.enterContext(patch)
        self.passed_on = []
        self.may_answer = asyncio.Event()
        self.server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=self.handle, limits=LIMITS
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request, responder):
        """Answer the first request at once, and others when they may be."""
        self.passed_on.append(request.path)
        if request.path != "/first":
            await self.may_answer.wait()
        await responder.send(200, TEXT, request.path.encode())

    async def open_kept(self):
        """Return a connection that has carried a request."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        writer.write(FIRST)
        received = await reader.readuntil(b"/first")
        self.assertIn(b"200 OK", received)
        return reader, writer

    async def check_answered(self, reader):
        self.assertEqual(self.passed_on, ["/first", "/second"])
        self.may_answer.set()
        received = await reader.readuntil(b"/second")
        self.assertIn(b"200 OK", received)

    async def test_request_longer_than_the_idle_timeout(self):
        """The idle timeout does not run while a request does."""
        reader, writer = await self.open_kept()
        writer.write(SECOND)
        await asyncio.sleep(LONG_S)
        await self.check_answered(reader)

    async def test_request_in_parts(self):
        """Nor does it run while a request arrives."""
        for size in (1, len(SECOND) - 1):
            with self.subTest(size=size):
                self.passed_on.clear()
                self.may_answer.clear()
                reader, writer = await self.open_kept()
                writer.write(SECOND[:size])
                await asyncio.sleep(LONG_S)
                writer.write(SECOND[size:])
                await asyncio.sleep(0.05)
                await self.check_answered(reader)

    async def test_idle_connection(self):
        """A connection without a request closes, and nothing is passed on."""
        reader, writer = await self.open_kept()
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.passed_on, ["/first"])

    async def test_close_of_the_server(self):
        """A wind-down and a drain wait for the answer, and then close."""
        for close in (
            lambda: self.server.disable_keep_alive(LONG_S),
            lambda: self.server.drain(5.0),
        ):
            for size in (len(SECOND), len(SECOND) - 1):
                with self.subTest(size=size):
                    await self.server.close()
                    await self.asyncSetUp()
                    reader, writer = await self.open_kept()
                    writer.write(SECOND[:size])
                    await asyncio.sleep(0.02)
                    closing = asyncio.create_task(close())
                    await asyncio.sleep(LONG_S / 2)
                    writer.write(SECOND[size:])
                    await asyncio.sleep(0.05)
                    await self.check_answered(reader)
                    self.assertEqual(await reader.read(), b"")
                    await closing

    async def test_request_behind_another(self):
        """One that came before the answer to the first is answered too."""
        reader, writer = await self.open_kept()
        writer.write(SECOND + FIRST)
        await asyncio.sleep(LONG_S)
        await self.check_answered(reader)
        received = await reader.readuntil(b"/first")
        self.assertIn(b"200 OK", received)
        self.assertEqual(self.passed_on, ["/first", "/second", "/first"])
