"""Tests of what callers get when the server or a response ends."""

import asyncio
import contextlib
import socket
import sys
import time
import unittest
from unittest import mock

from carobspring.adapters import http_server
from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits

GET = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"
GET_AND_CLOSE = b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
WAITING_CONNECTIONS = 20
LINGER_S = 1.0
LIMITS = HttpLimits(linger_s=LINGER_S, idle_timeout_s=0.2)
#: More than a caller that doesn't read takes, less than the server's kernel
#: does.
LARGE_BODY_BYTES = 256 * 1024
RECEIVE_BUFFER_BYTES = 16 * 1024
#: Seconds that a drain may wait for callers that keep their connection.
MAX_CALM_DRAIN_S = 1.2

ENDLESS_SERVER = """
import asyncio
from carobspring.adapters.http_server import CircuitsHttpServer

async def handle(request, responder):
    await responder.start(200, ())
    await responder.write(b"first")
    await asyncio.sleep(60)

async def main():
    server = CircuitsHttpServer(host="127.0.0.1", port=0, handler=handle)
    await server.start()
    print(server.port, flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""


class ServerCloseTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        patch = mock.patch.multiple(http_server, TIMEOUT_CHECK_INTERVAL_S=0.05)
        self.enterContext(patch)
        self.may_end = asyncio.Event()
        self.server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=self.handle, limits=LIMITS
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request, responder):
        body = b"served"
        if request.path == "/slow":
            await responder.start(200, ())
            await responder.write(b"first")
            await asyncio.sleep(LINGER_S + 0.5)
            await responder.write(b"last")
            await responder.finish()
            return
        if request.path in ("/cut", "/fail", "/open", "/whole"):
            await responder.start(200, ())
            await responder.write(b"first")
            await self.may_end.wait()
            if request.path == "/cut":
                responder.abort()
            elif request.path == "/whole":
                await responder.write(bytes(LARGE_BODY_BYTES))
                await responder.finish()
            elif request.path == "/fail":
                raise ValueError("expected failure")
            return
        if request.path == "/large":
            body = bytes(LARGE_BODY_BYTES) + body
        await responder.send(200, (), body)

    def connect(self):
        """Connect without a turn of the event loop."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.settimeout(5)
        sock.connect(("127.0.0.1", self.server.port))
        return sock

    async def read_all(self, sock):
        """Read until the end of the connection."""
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        received = bytearray()
        while data := await loop.sock_recv(sock, 64 * 1024):
            received += data
        return bytes(received)


class WaitingConnectionTests(ServerCloseTestCase):
    async def test_connections_waiting_at_a_drain(self):
        """Those that wait to be accepted when listening ends are served."""
        socks = [self.connect() for _ in range(WAITING_CONNECTIONS)]
        for sock in socks:
            sock.sendall(GET)
        drained = asyncio.create_task(self.server.drain(10))
        received = await asyncio.gather(*(self.read_all(sock) for sock in socks))
        self.assertEqual(
            [response[-8:] for response in received],
            [b"\r\nserved"] * WAITING_CONNECTIONS,
        )
        self.assertIs(await drained, True)
        with self.assertRaises(ConnectionRefusedError):
            self.connect()

    async def test_connections_without_a_request(self):
        """Those that send nothing are closed in order."""
        socks = [self.connect() for _ in range(WAITING_CONNECTIONS)]
        drained = asyncio.create_task(self.server.drain(10))
        received = await asyncio.gather(*(self.read_all(sock) for sock in socks))
        self.assertEqual(received, [b""] * WAITING_CONNECTIONS)
        self.assertIs(await drained, True)

    async def test_incomplete_requests(self):
        """Those that still arrive when a drain ends are refused in order."""
        post = b"POST /x HTTP/1.1\r\nHost: x\r\n"
        cases = {
            "head": GET[:-2],
            "body": post + b"Content-Length: 5\r\n\r\nabcd",
            "no body": post + b"Content-Length: 5\r\n\r\n",
            "chunks": post + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcd",
        }
        socks = [self.connect() for _ in cases]
        for sock, request in zip(socks, cases.values(), strict=True):
            sock.sendall(request)
        await asyncio.sleep(0.05)
        drained = asyncio.create_task(self.server.drain(1.0))
        results = await asyncio.gather(
            *(self.read_all(sock) for sock in socks), return_exceptions=True
        )
        for name, received in zip(cases, results, strict=True):
            with self.subTest(name):
                self.assertIsInstance(received, bytes)
                self.assertEqual(received[:13], b"HTTP/1.1 503 ")
                self.assertIn(b'"code":"stopping","ran":"not_run"', received)
        for sock in socks:
            sock.close()
        self.assertIs(await drained, True)

    async def test_body_that_arrives_during_a_drain(self):
        """One that is complete before the end of the drain is served."""
        sock = self.connect()
        sock.sendall(b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcd")
        await asyncio.sleep(0.05)
        drained = asyncio.create_task(self.server.drain(2.0))
        await asyncio.sleep(1.0)
        sock.sendall(b"e")
        self.assertEqual((await self.read_all(sock))[-6:], b"served")
        sock.close()
        self.assertIs(await drained, True)


class LastBytesTests(ServerCloseTestCase):
    """Callers that send more while a connection closes lose no response."""

    async def receive_slowly(self, request, close=None):
        """Return a response whose caller sends more before it reads.

        Until then the server has passed all of it to its kernel.
        """
        sock = self.connect()
        sock.sendall(request.replace(b"/x", b"/large"))
        await asyncio.sleep(0.1)
        if close is not None:
            closing = asyncio.create_task(close())
            self.addAsyncCleanup(asyncio.wait, {closing})
        await asyncio.sleep(0.5)
        sock.sendall(GET)
        await asyncio.sleep(0.1)
        return await self.read_all(sock)

    async def test_more_bytes_at_a_close(self):
        """A response is whole, whatever closes the connection behind it."""
        cases = {
            "announced close": (GET_AND_CLOSE, None),
            "drain": (GET, lambda: self.server.drain(5)),
            "wind-down": (GET, lambda: self.server.disable_keep_alive(1)),
            "idle timeout": (GET, None),
        }
        for name, (request, close) in cases.items():
            with self.subTest(name):
                await self.server.close()
                await self.asyncSetUp()
                received = await self.receive_slowly(request, close)
                head, _, body = received.partition(b"\r\n\r\n")
                self.assertEqual(head[:15], b"HTTP/1.1 200 OK")
                self.assertEqual(len(body), LARGE_BODY_BYTES + len(b"served"))

    async def test_callers_that_keep_the_connection(self):
        """One that never closes holds neither its connection nor a drain."""
        for name, request in {"closed": GET_AND_CLOSE, "idle": GET}.items():
            with self.subTest(name):
                await self.server.close()
                await self.asyncSetUp()
                sock = self.connect()
                sock.sendall(request)
                await asyncio.sleep(0.05)
                started_at = time.monotonic()
                self.assertIs(await self.server.drain(10), True)
                self.assertLess(time.monotonic() - started_at, MAX_CALM_DRAIN_S)

    async def test_slow_stream(self):
        """A stream that is not at its end is no connection that lingers."""
        chunked = b"POST /slow HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        requests = {
            "kept": GET.replace(b"/x", b"/slow"),
            "closed": GET_AND_CLOSE.replace(b"/x", b"/slow"),
            "chunks": chunked + b"\r\n0\r\n\r\n",
        }
        for name, request in requests.items():
            with self.subTest(name):
                await self.server.close()
                await self.asyncSetUp()
                sock = self.connect()
                sock.sendall(request)
                await asyncio.sleep(0.05)
                self.assertIs(await self.server.drain(10), True)
                received = await self.read_all(sock)
                ending = b"5\r\nfirst\r\n4\r\nlast\r\n0\r\n\r\n"
                self.assertEqual(received[-len(ending) :], ending)

    async def test_end_of_lingering(self):
        """A connection that its caller keeps is closed after the bound."""
        sock = self.connect()
        sock.sendall(GET_AND_CLOSE)
        received = await asyncio.wait_for(self.read_all(sock), 1)
        self.assertEqual(received[-6:], b"served")
        await asyncio.sleep(LINGER_S + 0.5)
        sock.sendall(GET)
        await asyncio.sleep(0.05)
        with self.assertRaises(OSError):
            sock.sendall(GET)


class UnframedResponseTests(ServerCloseTestCase):
    """Responses whose end only the close tells, to callers of HTTP/1.0."""

    async def begin_response(self, path):
        """Return a connection that has got the first bytes of a response."""
        sock = self.connect()
        sock.sendall(f"GET {path} HTTP/1.0\r\nHost: x\r\n\r\n".encode())
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        received = b""
        while not received.endswith(b"first"):
            received += await asyncio.wait_for(loop.sock_recv(sock, 1024), 5)
        return sock

    async def test_incomplete_responses(self):
        """One that is broken off ends with a reset, not as if complete."""

        async def close_server():
            await self.server.close()

        async def end_response():
            self.may_end.set()

        async def stall():
            """Let the connection's own check end it."""
            for connection in self.server._web.http.connections.values():
                connection.close_now()

        cases = {
            "abort": ("/cut", end_response),
            "failed handler": ("/fail", end_response),
            "no end by the handler": ("/open", end_response),
            "close of the server": ("/open", close_server),
            "close by a limit": ("/open", stall),
        }
        for name, (path, end) in cases.items():
            with self.subTest(name):
                await self.server.close()
                await self.asyncSetUp()
                sock = await self.begin_response(path)
                with contextlib.ExitStack() as stack:
                    if path == "/fail":
                        stack.enter_context(
                            self.assertLogs("carobspring.adapters.http_connection")
                        )
                    await end()
                    with self.assertRaises(ConnectionResetError):
                        await asyncio.wait_for(self.read_all(sock), 5)

    async def test_whole_response(self):
        """One that is whole ends in order, though its caller reads slowly."""
        sock = await self.begin_response("/whole")
        self.may_end.set()
        await asyncio.sleep(0.2)
        received = await self.read_all(sock)
        self.assertEqual(received, bytes(LARGE_BODY_BYTES))

    async def kill_process(self, process):
        """Kill a process if it still runs."""
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def test_killed_process(self):
        """One whose server is killed ends with a reset too."""
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-c", ENDLESS_SERVER, stdout=asyncio.subprocess.PIPE
        )
        self.addAsyncCleanup(self.kill_process, program)
        self.server.port = int(await program.stdout.readline())
        sock = await self.begin_response("/x")
        await self.kill_process(program)
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(self.read_all(sock), 5)
