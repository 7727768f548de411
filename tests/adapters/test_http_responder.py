import asyncio
import time
import unittest

from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits

LIMITS = HttpLimits(
    max_header_bytes=2048,
    max_body_bytes=4096,
    request_timeout_s=5.0,
    stall_timeout_s=5.0,
    write_buffer_bytes=64 * 1024,
)
TEST_TIMEOUT_S = 30.0
#: More than the buffers of both ends hold.
LARGE_BYTES = 32 * 1024 * 1024


class IncompleteResponseTests(unittest.IsolatedAsyncioTestCase):
    """Responses whose handler gives up after their head was sent."""

    async def asyncSetUp(self):
        self.finished = asyncio.Event()
        self.server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=self.handle, limits=LIMITS
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request, responder):
        """Write a part; then finish, abort or raise as the path says."""
        await responder.start(200, ())
        if request.path.startswith("/part"):
            await responder.write(b"part")
        if request.path.startswith("/batch"):
            responder.set_batching(True)
            for data in (b"one", b"two"):
                await responder.write(data)
                await asyncio.sleep(0.01)
            responder.set_batching(False)
            await responder.write(b"three")
        if request.path.startswith("/large"):
            responder._connection.send_bytes(bytes(LARGE_BYTES))
        if request.path.endswith("/wait"):
            await responder.disconnected.wait()
        if request.path.endswith("/pause"):
            await asyncio.sleep(0.02)
        if request.path.endswith("/raise"):
            raise ValueError(request.path)
        if request.path.endswith("/finish"):
            await responder.finish()
            self.finished.set()
        else:
            responder.abort()

    async def fetch(self, path, version):
        """Return what was received, and whether it ended in order."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        writer.write(f"GET {path} HTTP/{version}\r\nHost: x\r\n\r\n".encode())
        received = b""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            try:
                while data := await reader.read(1000):
                    received += data
            except ConnectionResetError:
                return received, False
        return received, True

    async def test_responses_that_end_with_their_connection(self):
        """A close ends only a whole response; any other is reset."""
        for path in ("/part/abort", "/none/abort", "/part/pause", "/part/raise"):
            with self.subTest(path):
                _, in_order = await self.fetch(path, "1.0")
                self.assertIs(in_order, False)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while self.server._web.http.connections:
                await asyncio.sleep(0.01)
        received, in_order = await self.fetch("/part/finish", "1.0")
        self.assertEqual((received[-8:], in_order), (b"\r\n\r\npart", True))

    async def test_batches(self):
        """Chunks that belong together are sent as one, before an abort too."""
        for path in ("/batch/finish", "/batch/abort"):
            with self.subTest(path):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.server.port
                )
                self.addCleanup(writer.close)
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    received = await reader.readuntil(b"three\r\n")
                _, _, body = received.partition(b"\r\n\r\n")
                self.assertEqual(body, b"6\r\nonetwo\r\n5\r\nthree\r\n")

    async def test_whole_response_that_is_not_sent_in_time(self):
        """A caller that reads nothing gets no end in order either."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        writer.transport.pause_reading()
        writer.write(b"GET /large/finish HTTP/1.0\r\nHost: x\r\n\r\n")
        await self.finished.wait()
        self.server._web.http.check_timeouts(time.monotonic() + 60)
        writer.transport.resume_reading()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            with self.assertRaises(ConnectionResetError):
                while await reader.read(1000_000):
                    pass

    async def test_responses_under_way_when_the_server_closes(self):
        """The end of a stop resets what a close would complete."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        writer.write(b"GET /part/wait HTTP/1.0\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\npart")
        await self.server.close()
        with self.assertRaises(ConnectionResetError):
            await reader.read()

    async def test_responses_in_chunks(self):
        """A response that breaks off has no last chunk."""
        for path in ("/part/abort", "/part/pause", "/part/raise"):
            with self.subTest(path):
                received, _ = await self.fetch(path, "1.1")
                self.assertTrue(received.endswith(b"\r\n\r\n4\r\npart\r\n"), received)
