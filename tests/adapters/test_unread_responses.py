import asyncio
import contextlib
import socket
import unittest

from carobspring.adapters.backend_connection import (
    READ_BUFFER_BYTES,
    READ_SIZE_BYTES,
)
from carobspring.adapters.backend_http import HttpBackend
from carobspring.adapters.sockets import BACKEND_RECEIVE_BUFFER_BYTES
from carobspring.ports import BackendRequest, BackendUnreachableError

BODY_BYTES = 8 * 1024 * 1024
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode()
REQUEST = BackendRequest(method="GET", path="/a", headers=(), body=b"")
SEND_BUFFER_BYTES = 64 * 1024


class UnreadResponseTests(unittest.IsolatedAsyncioTestCase):
    """Responses of a backend server that nobody reads on."""

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        writer.write(HEAD + bytes(BODY_BYTES))
        self.server_transport = writer.transport
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()

    async def test_little_is_received(self):
        """An unread response stays at the server, but for a little."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        backend = HttpBackend(url=f"http://127.0.0.1:{port}", health_path="/")
        async with asyncio.timeout(20):
            response = await backend.send(REQUEST)
            unsent_bytes = BODY_BYTES
            while (
                left := self.server_transport.get_write_buffer_size()
            ) < unsent_bytes:
                unsent_bytes = left
                await asyncio.sleep(0.1)
        allowed_bytes = (
            READ_BUFFER_BYTES
            + READ_SIZE_BYTES
            + 2 * BACKEND_RECEIVE_BUFFER_BYTES
            + 2 * SEND_BUFFER_BYTES
        )
        self.assertLessEqual(BODY_BYTES - unsent_bytes, allowed_bytes)
        size = 0
        async with asyncio.timeout(20):
            while data := await response.read():
                size += len(data)
        self.assertEqual(size, BODY_BYTES)
        response.close()
        await backend.close()

    async def test_unreachable(self):
        """A connection that is refused leaves no socket open."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            backend = HttpBackend(url=f"http://127.0.0.1:{port}", health_path="/")
            with self.assertRaisesRegex(BackendUnreachableError, "Cannot connect"):
                await backend.send(REQUEST)
            await backend.close()


if __name__ == "__main__":
    unittest.main()
