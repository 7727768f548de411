import asyncio
import unittest

from carobspring.adapters.byte_budget import SMALL_BODY_BYTES, ByteBudget
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits

TEXT = (("Content-Type", "text/plain"),)
LARGE = 4 * SMALL_BODY_BYTES
HEAD = "POST {path} HTTP/1.1\r\nHost: x\r\n{fields}\r\n"


class BudgetTestCase(unittest.IsolatedAsyncioTestCase):
    """A server with room for one large body at a time."""

    async def asyncSetUp(self):
        self.requests = []
        self.budget = ByteBudget(max_bytes=2 * LARGE)
        self.server = CircuitsHttpServer(
            host="127.0.0.1",
            port=0,
            handler=self.handle,
            limits=HttpLimits(max_body_bytes=LARGE),
            budget=self.budget,
            find_max_body=lambda request: 0 if request.path == "/none" else None,
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request, responder):
        self.requests.append((request.path, len(request.body), request.is_body_read))
        await responder.send(200, TEXT, b"handled")

    async def open(self, path, *fields, body=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        # A writer that is collected closes its connection.
        self.addCleanup(lambda: writer.transport.abort())
        lines = "".join(f"{field}\r\n" for field in fields)
        writer.write(HEAD.format(path=path, fields=lines).encode() + body)
        await writer.drain()
        return reader, writer

    async def read_status(self, reader):
        async with asyncio.timeout(10):
            return int((await reader.readuntil(b"\r\n\r\n")).split()[1])


class UnwantedBodyTests(BudgetTestCase):
    """Large bodies that nobody takes."""

    async def test_answered_from_the_head(self):
        """A body at a path without a handler is not waited for."""
        cases = [
            ("with a length", (f"Content-Length: {LARGE}",), b""),
            (
                "in chunks",
                ("Transfer-Encoding: chunked",),
                (b"2000\r\n" + bytes(0x2000) + b"\r\n") * 12,
            ),
        ]
        for name, fields, body in cases:
            with self.subTest(name):
                self.requests.clear()
                reader, _ = await self.open("/none", *fields, body=body)
                self.assertEqual(await self.read_status(reader), 200)
                self.assertEqual(self.requests, [("/none", 0, False)])
                self.assertEqual(self.budget.large.held_bytes, 0)

    async def test_small_bodies_are_read(self):
        """The handler gets a small body, which costs less than to ask it."""
        reader, _ = await self.open("/none", "Content-Length: 3", body=b"abc")
        self.assertEqual(await self.read_status(reader), 200)
        self.assertEqual(self.requests, [("/none", 3, True)])


class RoomTests(BudgetTestCase):
    """Bodies that compete for room."""

    async def test_stalled_body_makes_room(self):
        """A body that stops short of its end doesn't keep others waiting."""
        fields = (f"Content-Length: {LARGE}",)
        stalled, _ = await self.open("/a", *fields, body=bytes(LARGE - 1))
        other, _ = await self.open("/b", *fields, body=bytes(LARGE))
        self.assertEqual(await self.read_status(stalled), 503)
        self.assertEqual(await self.read_status(other), 200)
        self.assertEqual(self.requests, [("/b", LARGE, True)])
        self.assertEqual(self.budget.refused_count, 1)

    async def test_small_bodies_pass(self):
        """Ordinary requests are served while large bodies fill their room."""
        await self.open("/a", f"Content-Length: {LARGE}", body=bytes(LARGE - 1))
        reader, _ = await self.open("/b", "Content-Length: 9000", body=bytes(9000))
        self.assertEqual(await self.read_status(reader), 200)

    async def test_room_is_returned(self):
        """Whatever ends a body, nothing stays held."""
        fields = (f"Content-Length: {LARGE}",)
        _, writer = await self.open("/a", *fields, body=bytes(100))
        writer.close()
        reader, _ = await self.open("/b", *fields, body=bytes(LARGE))
        self.assertEqual(await self.read_status(reader), 200)
        many_fields = [f"f{number}: x" for number in range(500)]
        reader, _ = await self.open("/c", *many_fields, "Content-Length: 0")
        self.assertEqual(await self.read_status(reader), 200)
        pools = (self.budget.small, self.budget.large)
        self.assertEqual([pool.held_bytes for pool in pools], [0, 0])


class PipelineTests(BudgetTestCase):
    """Requests that are sent ahead on one connection."""

    async def test_unread_responses_stop_reading(self):
        """A caller that reads nothing is not served without end."""
        limits = HttpLimits(write_buffer_bytes=1024, max_pipelined_bytes=1024)
        self.server.update_limits(limits)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port, limit=64
        )
        self.addCleanup(lambda: writer.transport.abort())
        request = HEAD.format(path="/a", fields="Content-Length: 0\r\n").encode()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(5):
                for _ in range(10_000):
                    writer.write(request * 10)
                    await writer.drain()
        served = len(self.requests)
        self.assertLess(served, 100_000)
        await reader.readexactly(100)

    async def test_all_are_answered(self):
        """A caller that reads gets a response to each request, in order."""
        request = HEAD.format(path="/a", fields="Content-Length: 0\r\n").encode()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.transport.abort)
        count = 2_000
        writer.write(request * count)
        for _ in range(count):
            self.assertEqual(await self.read_status(reader), 200)
            await reader.readexactly(len(b"handled"))
        self.assertEqual(len(self.requests), count)


if __name__ == "__main__":
    unittest.main()
