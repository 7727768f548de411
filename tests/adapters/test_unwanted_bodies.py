import asyncio
import socket
import unittest

from carobspring.adapters.byte_budget import SMALL_BODY_BYTES, ByteBudget, Hold
from carobspring.adapters.http_connection import MAX_HEAD_S
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits

TEXT = (("Content-Type", "text/plain"),)
LARGE = 4 * SMALL_BODY_BYTES
HEAD = "POST {path} HTTP/1.1\r\nHost: x\r\n{fields}\r\n"


class BudgetTestCase(unittest.IsolatedAsyncioTestCase):
    """A server with room for one large body at a time."""

    async def asyncSetUp(self):
        self.requests = []
        self.body = b"handled"
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
        await responder.send(200, TEXT, self.body)

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


class ReturnedRoomTests(BudgetTestCase):
    """Room of requests whose handler runs."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.begun = asyncio.Event()
        self.may_end = asyncio.Event()
        self.addCleanup(self.may_end.set)

    async def handle(self, request, responder):
        self.requests.append((request.path, len(request.body), request.is_body_read))
        self.begun.set()
        if request.path == "/abort":
            await responder.start(200, TEXT)
            responder.abort()
            return
        if request.path == "/wait":
            await self.may_end.wait()
        await responder.send(200, TEXT, b"handled")

    async def wait_until_returned(self):
        async with asyncio.timeout(5):
            while self.budget.small.held_bytes or self.budget.large.held_bytes:
                await asyncio.sleep(0.01)

    async def send_in_chunks(self, path, size, *fields):
        """Send a complete body in chunks, the last of them apart."""
        data = b"%x\r\n%b\r\n" % (size, bytes(size))
        reader, writer = await self.open(
            path, "Transfer-Encoding: chunked", *fields, body=data
        )
        await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        return reader, writer

    async def test_caller_leaves(self):
        """A caller that leaves while its handler runs keeps no room."""
        _, writer = await self.send_in_chunks("/wait", 100)
        await self.begun.wait()
        writer.transport.abort()
        await asyncio.sleep(0.1)
        self.may_end.set()
        await self.wait_until_returned()

    async def test_response_breaks_off(self):
        """A response that the handler breaks off keeps no room."""
        reader, _ = await self.send_in_chunks("/abort", 100)
        await reader.read()
        await self.wait_until_returned()

    async def test_long_responses(self):
        """Bodies in chunks hold what they have, not what they could have had.

        Else a few long streams keep out all bodies that come in two parts.
        """
        large, _ = await self.send_in_chunks("/wait", SMALL_BODY_BYTES + 1)
        await self.begun.wait()
        self.assertLess(self.budget.large.held_bytes, 2 * SMALL_BODY_BYTES)
        small = [await self.send_in_chunks("/wait", 10) for _ in range(8)]
        reader, _ = await self.send_in_chunks("/other", 10)
        self.assertEqual(await self.read_status(reader), 200)
        self.may_end.set()
        for each in (large, *(reader for reader, _ in small)):
            self.assertEqual(await self.read_status(each), 200)


class ChunkedRoomTests(BudgetTestCase):
    """Room for bodies whose length is not known."""

    async def fill_room(self):
        fields = (f"Content-Length: {LARGE}",)
        await self.open("/a", *fields, body=bytes(LARGE - 1))
        async with asyncio.timeout(5):
            while not self.budget.large.held_bytes:
                await asyncio.sleep(0.01)

    async def test_long_head(self):
        """Many header fields let no body past the check of large ones."""
        many_fields = [f"f{number}: x" for number in range(200)]
        body = (b"2000\r\n" + bytes(0x2000) + b"\r\n") * 12
        reader, _ = await self.open(
            "/none", *many_fields, "Transfer-Encoding: chunked", body=body
        )
        self.assertEqual(await self.read_status(reader), 200)
        self.assertEqual(self.requests, [("/none", 0, False)])

    async def test_room_while_it_waits(self):
        """What has been read of a body that waits for more room is counted."""
        await self.fill_room()
        body = (b"2000\r\n" + bytes(0x2000) + b"\r\n") * 12
        await self.open("/b", "Transfer-Encoding: chunked", body=body)
        async with asyncio.timeout(5):
            while not self.budget.large.waiting_count:
                await asyncio.sleep(0.01)
        self.assertEqual(self.budget.small.held_bytes, SMALL_BODY_BYTES)


class TimeoutTests(BudgetTestCase):
    """Time limits while the server itself does not read."""

    async def test_wait_for_room(self):
        """A caller that is kept waiting is told so, and to try again."""
        limits = HttpLimits(max_body_bytes=LARGE, request_timeout_s=0.5)
        self.server.update_limits(limits)
        self.budget.large.add(
            Hold(
                size=LARGE,
                handle_room=lambda: None,
                refuse=lambda: None,
                is_receiving=False,
            )
        )
        reader, _ = await self.open("/a", f"Content-Length: {LARGE}", body=b"a")
        async with asyncio.timeout(10):
            head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 503 ", head)
        self.assertIn(b"Retry-After: 1", head)

    async def test_pipelined_behind_unread_response(self):
        """No request is late that waits for the response before it."""
        self.body = bytes(16 * 1024 * 1024)
        limits = HttpLimits(header_timeout_s=0.5)
        self.server.update_limits(limits)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.transport.abort)
        request = HEAD.format(path="/a", fields="Content-Length: 0\r\n").encode()
        writer.write(2 * request)
        await asyncio.sleep(2.5)
        for _ in range(2):
            self.assertEqual(await self.read_status(reader), 200)
            async with asyncio.timeout(10):
                await reader.readexactly(len(self.body))


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


class ConnectionLimitTests(BudgetTestCase):
    """More connections than the server takes."""

    async def test_request_of_an_idle_connection(self):
        """No request is lost that comes with one connection too many."""
        address = ("127.0.0.1", self.server.port)
        request = HEAD.format(path="/a", fields="Content-Length: 0\r\n").encode()
        with socket.create_connection(address) as first:
            await asyncio.sleep(0.1)
            # The request is there, but the event loop has not read it.
            first.sendall(request)
            self.assertIs(self.server._web.http._close_one(), False)
            await asyncio.sleep(0.2)
            first.setblocking(False)
            response = first.recv(100)
        self.assertTrue(response.startswith(b"HTTP/1.1 200 "), response)

    async def test_slow_heads(self):
        """Clients that never end a head don't keep others out."""
        self.server.update_limits(HttpLimits(max_connections=2))
        address = ("127.0.0.1", self.server.port)
        with (
            socket.create_connection(address) as a,
            socket.create_connection(address) as b,
        ):
            for each in (a, b):
                each.sendall(b"GET / HTTP/1.1\r\n")
            await asyncio.sleep(MAX_HEAD_S + 0.1)
            reader, _ = await self.open("/a", "Content-Length: 0")
            self.assertEqual(await self.read_status(reader), 200)

    async def test_idle_connection_is_closed(self):
        """An idle connection makes room for the next."""
        self.server.update_limits(HttpLimits(max_connections=1))
        idle, _ = await asyncio.open_connection("127.0.0.1", self.server.port)
        await asyncio.sleep(0.1)
        reader, _ = await self.open("/a", "Content-Length: 0")
        self.assertEqual(await self.read_status(reader), 200)
        self.assertEqual(await idle.read(), b"")


if __name__ == "__main__":
    unittest.main()
