import asyncio
import contextlib
import socket
import struct
import unittest
from dataclasses import replace

from carobspring.adapters.backend_http import HttpBackend
from carobspring.agent import build_backend_request
from carobspring.domain import ServiceKind
from carobspring.ports import (
    BackendRequest,
    BackendUnreachableError,
    IncompleteResponseError,
)
from carobspring.protocol import RunCall

PATIENCE_S = 30.0
REQUEST = BackendRequest(
    method="POST", path="/a?b=%20c", headers=(("X-One", "1"),), body=b"body"
)


class RawServer:
    """Answers each request with the same bytes, then closes or waits."""

    def __init__(self, answer, *, wait=False):
        self.answer = answer
        self.wait = wait
        self.requests = []
        self.gone = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{self.port}"
        return self

    async def __aexit__(self, *error):
        self.server.close()

    async def handle(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head)
        writer.write(self.answer)
        await writer.drain()
        if self.wait:
            with contextlib.suppress(ConnectionError):
                while await reader.read(1000):
                    pass
            self.gone.set()
        writer.close()


async def fetch(url):
    backend = HttpBackend(url=url, health_path="/health")
    try:
        async with asyncio.timeout(PATIENCE_S):
            with contextlib.closing(await backend.send(REQUEST)) as answer:
                body = b""
                while data := await answer.read():
                    body += data
                return answer.status, answer.headers, body
    finally:
        await backend.close()


class FullServerTests(unittest.IsolatedAsyncioTestCase):
    async def test_reset_while_accepting(self):
        """A new connection that a full server resets has taken no request.

        Where the request may run once, that decides whether another server
        may get it.
        """

        def reset(reader, writer):
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        server = await asyncio.start_server(reset, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        backend = HttpBackend(url=f"http://127.0.0.1:{port}", health_path="/health")
        with self.assertRaises(BackendUnreachableError):
            await backend.send(replace(REQUEST, repeatable=False))
        await backend.close()


class SendTests(unittest.IsolatedAsyncioTestCase):
    async def test_whole_and_cut_answers(self):
        """An answer counts as whole only when its end is marked and came."""
        start = b"HTTP/1.1 200 OK\r\n"
        chunked = start + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        cases = {
            "length": (start + b"Content-Length: 3\r\nX-A: b\r\n\r\nabc", b"abc"),
            "chunked": (chunked + b"0\r\n\r\n", b"abc"),
            "short": (start + b"Content-Length: 4\r\n\r\nabc", None),
            "open chunks": (chunked, None),
            "no length": (start + b"\r\nabc", None),
            "cut head": (start, None),
            "nothing": (b"", None),
        }
        for name, (answer, body) in cases.items():
            with self.subTest(name):
                async with RawServer(answer) as server:
                    if body is None:
                        with self.assertRaises(IncompleteResponseError):
                            await fetch(server.url)
                    else:
                        self.assertEqual((await fetch(server.url))[::2], (200, body))

    async def test_request_as_sent(self):
        """Path, query and headers go on as they are."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        async with RawServer(answer) as server:
            await fetch(server.url)
        head = server.requests[0]
        self.assertTrue(head.startswith(b"POST /a?b=%20c HTTP/1.1\r\n"))
        self.assertIn(b"\r\nX-One: 1\r\n", head)

    async def test_unreachable(self):
        """A refused connection is told apart: nothing was sent."""
        async with RawServer(b"") as server:
            url = server.url
        with self.assertRaisesRegex(BackendUnreachableError, "Cannot connect"):
            await fetch(url)
        backend = HttpBackend(url=url, health_path="/health")
        self.assertIs(await backend.is_listening(), False)
        self.assertIs(await backend.probe(1.0), False)
        await backend.close()

    async def test_port_of_an_ending_process(self):
        """A connection that is taken and closed at once is no sign of life."""
        cases = {"closes": (True, False), "stays": (False, True)}
        for name, (closes, listening) in cases.items():
            with self.subTest(name):

                async def take(reader, writer, closes=closes):
                    if not closes:
                        await reader.read()
                    writer.close()

                server = await asyncio.start_server(take, "127.0.0.1", 0)
                port = server.sockets[0].getsockname()[1]
                backend = HttpBackend(
                    url=f"http://127.0.0.1:{port}", health_path="/health"
                )
                self.assertIs(await backend.is_listening(), listening)
                await backend.close()
                server.close()

    async def test_close_reaches_the_server(self):
        """Closing an answer, or cancelling its wait, closes the connection."""
        for name, answer in {
            "reading": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na",
            "waiting for the head": b"",
        }.items():
            with self.subTest(name):
                async with RawServer(answer, wait=True) as server:
                    fetching = asyncio.create_task(fetch(server.url))
                    async with asyncio.timeout(PATIENCE_S):
                        while not server.requests:
                            await asyncio.sleep(0.001)
                        fetching.cancel()
                        await server.gone.wait()


class ScriptedServer(RawServer):
    """Answers the requests of each connection in turn and stays open."""

    async def handle(self, reader, writer):
        self.connections = getattr(self, "connections", 0) + 1
        for answer in self.answer:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.requests.append(head)
            await reader.readexactly(len(REQUEST.body))
            writer.write(answer)
            await writer.drain()
        await reader.read()
        writer.close()


def whole(body, *headers):
    lines = "".join(f"{header}\r\n" for header in headers).encode()
    size = len(body)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (size, lines, body)


class KeptConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def fetch_all(self, answers, requests, **options):
        """Return the bodies and how many connections were opened."""
        async with ScriptedServer(answers) as server:
            backend = HttpBackend(
                url=server.url, health_path="/", **({"idle_timeout_s": 5.0} | options)
            )
            bodies = []
            for request in requests:
                answer = await backend.send(request)
                body = b""
                while data := await answer.read():
                    body += data
                answer.close()
                # What came after the answer has to arrive.
                await asyncio.sleep(0.02)
                bodies.append(body)
            await backend.close()
            return bodies, backend.opened_connections

    async def test_when_kept(self):
        """A connection serves again only after a whole answer, and in time."""
        again = replace(REQUEST, repeatable=True)
        cases = {
            "kept": ([whole(b"a"), whole(b"b")], (again, again), {}, 1),
            "may run once": ([whole(b"a"), whole(b"b")], (again, REQUEST), {}, 2),
            "not asked to": ([whole(b"a")], (again, again), {"idle_timeout_s": 0.0}, 2),
            "about to close": (
                [whole(b"a", "Connection: close")],
                (again, again),
                {},
                2,
            ),
            "bytes after it": ([whole(b"a") + b"more"], (again, again), {}, 2),
            "kept for no time": (
                [whole(b"a", "Keep-Alive: timeout=0")],
                (again, again),
                {},
                2,
            ),
        }
        for name, (answers, requests, options, opened) in cases.items():
            with self.subTest(name):
                bodies, found = await self.fetch_all(answers, requests, **options)
                self.assertEqual(found, opened)
                self.assertEqual(bodies[0], b"a")

    async def test_late_second_answer(self):
        """A second answer to an earlier request is passed over."""
        late = whole(b"late", "X-For: old") + whole(b"own", "X-For: new")
        async with ScriptedServer([late]) as server:
            backend = HttpBackend(url=server.url, health_path="/", idle_timeout_s=5.0)
            answer = await backend.send(REQUEST)
            self.assertEqual(dict(answer.headers)["X-For"], "old")
            self.assertIs(await answer.read_next_response(), True)
            self.assertEqual(dict(answer.headers)["X-For"], "new")
            self.assertEqual(await answer.read(), b"own")
            self.assertEqual(await answer.read(), b"")
            answer.close()
            await backend.close()

    async def test_answer_that_ends_with_its_connection(self):
        """Where allowed, an orderly close ends an answer; a reset does not."""
        start = b"HTTP/1.1 200 OK\r\n\r\nabc"
        for resets in (False, True):
            with self.subTest(resets=resets):

                async def take(reader, writer, resets=resets):
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(start)
                    await writer.drain()
                    await asyncio.sleep(0.05)
                    if resets:
                        linger = struct.pack("ii", 1, 0)
                        sock = writer.get_extra_info("socket")
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.close()

                server = await asyncio.start_server(take, "127.0.0.1", 0)
                port = server.sockets[0].getsockname()[1]
                backend = HttpBackend(
                    url=f"http://127.0.0.1:{port}",
                    health_path="/",
                    allow_close_delimited=True,
                )
                answer = await backend.send(REQUEST)
                self.assertEqual(await answer.read(), b"abc")
                if resets:
                    with self.assertRaises(IncompleteResponseError):
                        await answer.read()
                else:
                    self.assertEqual(await answer.read(), b"")
                await backend.close()
                server.close()

    async def test_host_and_hop_headers(self):
        """The host goes on where asked; headers of one connection don't."""
        request = replace(
            REQUEST,
            headers=(
                ("Host", "shop.example"),
                ("Connection", "close, X-Hop"),
                ("X-Hop", "1"),
                ("X-One", "1"),
            ),
        )
        async with RawServer(whole(b"")) as server:
            backend = HttpBackend(url=server.url, health_path="/", preserve_host=True)
            (await backend.send(request)).close()
            await backend.close()
        self.assertEqual(
            server.requests[0].split(b"\r\n")[1:-2],
            [b"Host: shop.example", b"X-One: 1", b"Content-Length: 4"],
        )


class RequestTests(unittest.TestCase):
    def test_priority_and_fencing_token(self):
        """Both are the system's to set; other values stay untouched."""
        cases = {
            "model": (
                ServiceKind.MODEL,
                0,
                b'{"big":12345678901234567890,"priority":1}',
                b'{"big":12345678901234567890,"priority":10}',
                (),
            ),
            "not JSON": (ServiceKind.MODEL, 0, b"{x", b"{x", ()),
            "plain": (
                ServiceKind.PLAIN,
                9,
                b"{}",
                b"{}",
                (("X-Carob-Fencing-Token", "9"),),
            ),
        }
        for name, (kind, claim, body, expected, headers) in cases.items():
            with self.subTest(name):
                call = RunCall(
                    call_id="c",
                    boot=1,
                    workspace="w",
                    service_class="chat",
                    method="POST",
                    path="/",
                    headers=(("x-carob-fencing-token", "1"),),
                    body=body,
                    claim=claim,
                )
                request = build_backend_request(call, kind=kind, engine_priority=10)
                self.assertEqual((request.body, request.headers), (expected, headers))
