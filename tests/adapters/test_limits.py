"""Tests of limits that change while a server runs."""

import asyncio
import dataclasses
import unittest
import unittest.mock

from carobspring.adapters import http_server
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits

GET = b"GET / HTTP/1.1\r\nHost: x\r\n"
POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
LIMITS = HttpLimits(max_header_bytes=200, max_body_bytes=100)


class ChangedLimitsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.enterContext(
            unittest.mock.patch.object(http_server, "TIMEOUT_CHECK_INTERVAL_S", 0.02)
        )
        self.server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=self.handle, limits=HttpLimits()
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request, responder):
        await responder.send(200, (), b"%d" % len(request.body))

    async def open(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_status(self, reader):
        async with asyncio.timeout(5.0):
            return int((await reader.readuntil(b"\r\n")).split()[1])

    async def test_sizes(self):
        """They hold on new and on open connections, larger ones too."""
        many_chunks = b"1\r\nx\r\n" * 100 + b"0\r\n\r\n"
        cases = {
            "head": (GET + b"X: " + b"x" * 160 + b"\r\n\r\n", 200),
            "long head": (GET + b"X: " + b"x" * 180 + b"\r\n\r\n", 431),
            "body": (POST + b"Content-Length: 100\r\n\r\n" + bytes(100), 200),
            "long body": (POST + b"Content-Length: 101\r\n\r\n", 413),
            "chunks": (CHUNKED + many_chunks, 200),
            "long chunks": (CHUNKED + b"1\r\nx\r\n" + many_chunks, 413),
            "long chunk": (CHUNKED + b"65\r\n", 413),
        }
        for name, (data, status) in cases.items():
            for is_open in (False, True):
                with self.subTest(name, is_open=is_open):
                    self.server.update_limits(HttpLimits(max_header_bytes=10))
                    if is_open:
                        reader, writer = await self.open()
                        await asyncio.sleep(0.01)
                    self.server.update_limits(LIMITS)
                    if not is_open:
                        reader, writer = await self.open()
                    writer.write(data)
                    self.assertEqual(await self.read_status(reader), status)

    async def test_times(self):
        """A slow head and an idle connection end; a slow body goes on."""
        limits = dataclasses.replace(
            HttpLimits(), header_timeout_s=0.2, idle_timeout_s=0.2
        )
        self.server.update_limits(limits)
        reader, writer = await self.open()
        writer.write(GET)
        self.assertEqual(await self.read_status(reader), 408)
        reader, _ = await self.open()
        async with asyncio.timeout(5.0):
            self.assertEqual(await reader.read(), b"")
        reader, writer = await self.open()
        writer.write(POST + b"Content-Length: 2\r\n\r\na")
        await asyncio.sleep(0.5)
        writer.write(b"b")
        self.assertEqual(await self.read_status(reader), 200)
