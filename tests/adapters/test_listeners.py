import asyncio
import socket
import unittest

from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.listeners import open_listener, take_listener


async def handle(request, responder):
    await responder.send(200, (), b"served")


class ListenerTests(unittest.IsolatedAsyncioTestCase):
    async def test_request_before_server_start(self):
        """A request that arrives before the server starts is answered."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        open_listener("127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        server = CircuitsHttpServer(host="127.0.0.1", port=port, handler=handle)
        await server.start()
        self.addAsyncCleanup(server.close)
        self.assertIn(b"served", await asyncio.wait_for(reader.read(), 10))
        writer.close()
        self.assertIsNone(take_listener("127.0.0.1", port))
