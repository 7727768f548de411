"""Connections that share the memory of a process."""

import asyncio
import socket
import unittest

from carobspring.adapters.byte_budget import SMALL_BODY_BYTES, ByteBudget
from carobspring.adapters.client_memory import (
    HEADER_FIELD_BYTES,
    REQUEST_BYTES,
    STALL_S,
)
from carobspring.adapters.http_connection import MIN_LINGER_S, ConnectionState
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.adapters.listeners import RECEIVE_BUFFER_BYTES
from carobspring.adapters.memory_plan import MemoryPlan
from carobspring.ports import HttpLimits

TEXT = (("Content-Type", "text/plain"),)
HEAD = "GET {path} HTTP/1.1\r\nHost: x\r\n{fields}\r\n"
RESPONSE_BYTES = 6 * 1024 * 1024
TIMEOUT_S = 20.0


class HeldMemoryTestCase(unittest.IsolatedAsyncioTestCase):
    """A server whose connections share little memory."""

    held_bytes = 4 * REQUEST_BYTES
    max_connections = 8
    limits = HttpLimits()

    async def asyncSetUp(self):
        self.paths = []
        self.may_end = asyncio.Event()
        self.addCleanup(self.may_end.set)
        plan = MemoryPlan(
            body_bytes=4 * SMALL_BODY_BYTES,
            held_bytes=self.held_bytes,
            max_connections=self.max_connections,
        )
        self.budget = ByteBudget(plan=plan)
        self.server = CircuitsHttpServer(
            host="127.0.0.1",
            port=0,
            handler=self.handle,
            limits=self.limits,
            budget=self.budget,
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request, responder):
        self.paths.append(request.path)
        if request.path == "/wait":
            await self.may_end.wait()
        body = bytes(RESPONSE_BYTES) if request.path == "/large" else b"served"
        await responder.send(200, TEXT, body)

    async def open(self, path, *fields, data=None, limit=2**16):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port, limit=limit
        )
        self.addCleanup(lambda: writer.transport.abort())
        lines = "".join(f"{field}\r\n" for field in fields)
        head = HEAD.format(path=path, fields=lines).encode()
        writer.write(head if data is None else data)
        await writer.drain()
        return reader, writer

    async def read_status(self, reader):
        """Return the status of a response, or zero if there is none."""
        async with asyncio.timeout(TIMEOUT_S):
            try:
                return int((await reader.readuntil(b"\r\n\r\n")).split()[1])
            except (asyncio.IncompleteReadError, ConnectionError):
                return 0

    async def wait_for_paths(self, count):
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.paths) < count:
                await asyncio.sleep(0.01)

    async def wait_for_state(self, state, count):
        async with asyncio.timeout(TIMEOUT_S):
            while self.server.list_connection_states().count(state) < count:
                await asyncio.sleep(0.01)


class RunningRequestTests(HeldMemoryTestCase):
    """Requests that run and those that wait to begin."""

    async def test_requests_wait_for_others(self):
        """A request that finds no room is served once others have ended."""
        readers = [(await self.open("/wait"))[0] for _ in range(5)]
        await self.wait_for_state(ConnectionState.WAITING, 2)
        self.assertEqual(self.paths, ["/wait"] * 3)
        self.assertLessEqual(self.budget.memory.held_bytes, self.held_bytes)
        self.may_end.set()
        self.assertEqual([await self.read_status(each) for each in readers], [200] * 5)
        await self.wait_for_state(ConnectionState.IDLE, 5)
        self.assertEqual(self.budget.memory.held_bytes, 0)

    async def test_fields_take_memory(self):
        """A request of many short fields leaves room for fewer others."""
        count = REQUEST_BYTES // HEADER_FIELD_BYTES
        fields = [f"f{number}:" for number in range(count)]
        readers = [(await self.open("/wait", *fields))[0] for _ in range(2)]
        await self.wait_for_state(ConnectionState.WAITING, 1)
        self.assertEqual(self.paths, ["/wait"])
        self.may_end.set()
        self.assertEqual([await self.read_status(each) for each in readers], [200] * 2)

    async def test_caller_that_leaves(self):
        """A caller that leaves while it waits holds up nobody."""
        for _ in range(3):
            await self.open("/wait")
        _, leaving = await self.open("/wait")
        await self.wait_for_state(ConnectionState.WAITING, 1)
        reader, _ = await self.open("/last")
        leaving.close()
        self.may_end.set()
        self.assertEqual(await self.read_status(reader), 200)


class WaitTimeoutTests(HeldMemoryTestCase):
    """Requests that wait for room for too long."""

    limits = HttpLimits(request_timeout_s=0.2)

    async def test_refused(self):
        """A request that found no room in time is refused as not run."""
        for _ in range(3):
            await self.open("/wait")
        await self.wait_for_paths(3)
        reader, _ = await self.open("/late")
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        self.assertTrue(head.startswith("HTTP/1.1 503 "), head)
        self.assertIn("\r\nRetry-After: 1\r\n", head)
        self.assertEqual(self.paths, ["/wait"] * 3)


class UnreadResponseTests(HeldMemoryTestCase):
    """Responses that callers don't read."""

    held_bytes = 2 * RESPONSE_BYTES

    async def test_unread_responses_make_room(self):
        """Callers that read nothing lose their connection, others are served.

        The one that reads gets its whole response.
        """
        for _ in range(6):
            await self.open("/large", limit=1024)
        await self.wait_for_paths(6)
        self.assertLessEqual(self.budget.memory.held_bytes, self.held_bytes)
        self.assertGreaterEqual(self.server.refusals.counts["memory"], 4)
        reader, _ = await self.open("/large")
        self.assertEqual(await self.read_status(reader), 200)
        async with asyncio.timeout(TIMEOUT_S):
            await reader.readexactly(RESPONSE_BYTES)


class ConnectionLimitTests(HeldMemoryTestCase):
    """Who makes room once all connections are taken."""

    max_connections = 3
    held_bytes = 64 * RESPONSE_BYTES

    async def check_served(self):
        """Check that a caller is served within a few tries."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    reader, _ = await self.open("/ordinary")
                    if await self.read_status(reader) == 200:
                        return
                except ConnectionError:
                    pass
                await asyncio.sleep(0.1)

    async def test_unread_responses(self):
        """Callers that read nothing for a while make room."""
        for _ in range(3):
            await self.open("/large", limit=1024)
        await self.wait_for_paths(3)
        await asyncio.sleep(STALL_S)
        await self.check_served()
        self.assertEqual(self.server.refusals.counts["evicted"], 1)

    async def test_stalled_bodies(self):
        """Bodies that stop short of their end make room."""
        for _ in range(3):
            await self.open("/body", "Content-Length: 30000")
        await self.wait_for_state(ConnectionState.RECEIVING, 3)
        await asyncio.sleep(STALL_S)
        await self.check_served()

    async def test_refused_callers(self):
        """Callers that were refused and don't close make room."""
        for _ in range(3):
            reader, _ = await self.open("", data=b"GET / HTTP/1.1\r\n\r\n")
            self.assertEqual(await self.read_status(reader), 400)
        await asyncio.sleep(MIN_LINGER_S)
        await self.check_served()

    async def test_waiting_requests(self):
        """The newest request that waits for room gives way, as not run."""
        self.budget.memory.max_bytes = 2 * REQUEST_BYTES
        readers = [(await self.open("/wait"))[0] for _ in range(3)]
        await self.wait_for_state(ConnectionState.WAITING, 2)
        await self.open("/new")
        self.assertEqual(await self.read_status(readers[2]), 503)
        self.assertEqual(self.paths, ["/wait"])


class ClosedConnectionTests(HeldMemoryTestCase):
    """Connections whose socket was closed in the same turn of the loop."""

    async def test_checks(self):
        """They disturb no check of the others, in particular in a stop.

        A step of a stop that fails would cut all open requests.
        """
        reader, _ = await self.open("/idle")
        self.assertEqual(await self.read_status(reader), 200)
        await self.wait_for_state(ConnectionState.IDLE, 1)
        [connection] = self.server._web.http.connections.values()
        now = asyncio.get_running_loop().time() + 1000.0
        async with asyncio.timeout(TIMEOUT_S):
            # A request could still be among the events that are not handled.
            while connection.state is ConnectionState.IDLE:
                await asyncio.sleep(0)
                connection.close_when_idle(now, 0.0)
        connection.close_now()
        connection.close_if_left()
        connection.close_when_idle(now, 0.0)
        connection.check_timeouts(now)
        self.assertIs(connection.close_if_unused(), False)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertIs(await self.server.drain(TIMEOUT_S), True)


class ReceiveBufferTests(HeldMemoryTestCase):
    """What the system takes for a connection that is not read."""

    async def test_unread_bytes_are_few(self):
        """A connection that waits leaves few bytes to the system."""
        for _ in range(3):
            await self.open("/wait")
        await self.wait_for_paths(3)
        for sock in self.server._web.server._clients:
            size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            self.assertEqual(size, 2 * RECEIVE_BUFFER_BYTES)

    async def test_buffer_of_a_body(self):
        """A body that has room arrives faster, only for as long as it does."""
        reader, writer = await self.open("/body", "Content-Length: 30000")
        await self.wait_for_state(ConnectionState.RECEIVING, 1)
        [sock] = self.server._web.server._clients
        size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.assertGreater(size, 2 * RECEIVE_BUFFER_BYTES)
        writer.write(bytes(30_000))
        self.assertEqual(await self.read_status(reader), 200)
        size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.assertEqual(size, 2 * RECEIVE_BUFFER_BYTES)


if __name__ == "__main__":
    unittest.main()
