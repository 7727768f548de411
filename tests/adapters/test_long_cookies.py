"""Tests of heads with cookies that take long to parse."""

import asyncio
import unittest
from unittest import mock

from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits


class LongCookieTests(unittest.IsolatedAsyncioTestCase):
    async def test_escaped_quotes(self):
        """Guards against a head whose cookie holds the loop for half a second.

        Cookies are handed on as they were sent, and parsed by nobody.
        """
        cookie = 'a="' + '\\"' * 7500 + '"'
        received = []

        async def handle(request, responder):
            received.append(request.find_header("cookie"))
            await responder.send(200, (), b"")

        server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=handle, limits=HttpLimits()
        )
        await server.start()
        self.addAsyncCleanup(server.close)
        head = f"GET / HTTP/1.1\r\nHost: x\r\nCookie: {cookie}\r\nConnection: close"
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        with mock.patch("http.cookies.BaseCookie.load") as load:
            writer.write(f"{head}\r\n\r\n".encode())
            response = await reader.read()
        writer.close()
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertEqual(received, [cookie])
        load.assert_not_called()
