import asyncio
import contextlib
import unittest

from carobspring.adapters.backend_http import HttpBackend
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import BackendRequest, HttpLimits

CLOSE = b"Connection: close\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + CLOSE


class ForwardedHeadTests(unittest.IsolatedAsyncioTestCase):
    """Heads that arrive at a server through the caller's side and a client."""

    async def asyncSetUp(self):
        self.heads = []
        backend = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        self.addCleanup(backend.close)
        port = backend.sockets[0].getsockname()[1]
        self.client = HttpBackend(url=f"http://127.0.0.1:{port}", health_path="/")
        self.addAsyncCleanup(self.client.close)
        self.server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=self.forward, limits=HttpLimits()
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def answer(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(ANSWER)
        writer.close()

    async def forward(self, request, responder):
        response = await self.client.send(
            BackendRequest(
                method=request.method, path=request.target, headers=request.headers
            )
        )
        await response.read()
        response.close()
        await responder.send(response.status, (), b"")

    async def send(self, line, header=b""):
        """Send a head; return the status, and what arrived if anything did."""
        self.heads.clear()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(line + b" HTTP/1.1\r\nHost: x\r\n" + header + CLOSE)
        status = int((await reader.read()).split()[1])
        writer.close()
        return status, self.heads[0] if self.heads else b""

    async def test_targets(self):
        """A target arrives as it was sent."""
        targets = (b"/a", b"/a?", b"/a??", b"/a?b=c", b"/a?b?", b"/%3F", b"/a;b")
        # What follows two slashes is no host.
        targets += (b"//a/b", b"//a/b?c=d", b"///", b"/a//b", b"//a:1/b@c")
        for target in targets:
            with self.subTest(target):
                status, head = await self.send(b"GET " + target)
                self.assertEqual(status, 200)
                self.assertEqual(head.split(b" ")[1], target)

    async def test_bytes_of_values(self):
        """Any byte in a value arrives as it is, or is refused with 400.

        Only control characters are refused.
        """
        for byte in range(256):
            for value in (b"a%cb" % byte, b"%ca%c" % (byte, byte)):
                with self.subTest(value):
                    header = b"X-Value: " + value + b"\r\n"
                    status, head = await self.send(b"GET /", header)
                    if byte < 0x20 and byte != 0x09 or byte == 0x7F:
                        self.assertEqual((status, head), (400, b""))
                        continue
                    self.assertEqual(status, 200)
                    arrived = head.lower().partition(b"x-value:")[2]
                    arrived = arrived.partition(b"\r\n")[0].strip(b" \t")
                    self.assertEqual(arrived, value.lower().strip(b" \t"))

    async def test_bytes_of_targets_and_names(self):
        """A target or name that can't be sent on is refused with 400."""
        for byte in range(256):
            target, name = b"/a%cb" % byte, b"X%cY" % byte
            with self.subTest(target):
                status, head = await self.send(b"GET " + target)
                self.assertIn(status, (200, 400))
                if status == 200:
                    self.assertEqual(head.split(b" ")[1], target)
            with self.subTest(name):
                status, head = await self.send(b"GET /", name + b": v\r\n")
                self.assertIn(status, (200, 400))
