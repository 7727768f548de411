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
    RequestWithheldError,
)
from carobspring.protocol import RunCall

TEST_TIMEOUT_S = 30.0
REQUEST = BackendRequest(
    method="POST", path="/a?b=%20c", headers=(("X-One", "1"),), body=b"body"
)


class RawServer:
    """Sends the same bytes for each request, then closes or waits."""

    def __init__(self, response, *, wait=False):
        self.response = response
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
        writer.write(self.response)
        await writer.drain()
        if self.wait:
            with contextlib.suppress(ConnectionError):
                while await reader.read(1000):
                    pass
            self.gone.set()
        writer.close()


class WithheldRequestTests(unittest.IsolatedAsyncioTestCase):
    async def test_server_that_wants_no_request_any_more(self):
        """Nothing is sent on a connection that was opened meanwhile."""
        async with RawServer(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") as server:
            backend = HttpBackend(url=server.url, health_path="/")
            for repeatable in (True, False):
                for wanted in (False, True):
                    with self.subTest(repeatable=repeatable, wanted=wanted):
                        before = len(server.requests)
                        request = replace(
                            REQUEST, repeatable=repeatable, may_send=lambda w=wanted: w
                        )
                        if wanted:
                            (await backend.send(request)).close()
                        else:
                            with self.assertRaises(RequestWithheldError):
                                await backend.send(request)
                        self.assertEqual(len(server.requests) - before, int(wanted))
            await backend.close()


def build_refusal(*headers):
    lines = ["HTTP/1.1 503 Full", "Content-Length: 0", *headers, "", ""]
    return "\r\n".join(lines).encode()


async def fetch(url):
    backend = HttpBackend(url=url, health_path="/health")
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            with contextlib.closing(await backend.send(REQUEST)) as response:
                body = b""
                while data := await response.read():
                    body += data
                return response.status, response.headers, body
    finally:
        await backend.close()


class ConnectionLimitTests(unittest.IsolatedAsyncioTestCase):
    async def test_reset_while_accepting(self):
        """No request is sent on a new connection that a full server resets.

        A request that may run only once can then be sent to another server.
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
    async def test_complete_and_incomplete_responses(self):
        """A response is complete only if its end is marked and received."""
        start = b"HTTP/1.1 200 OK\r\n"
        chunked = start + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        cases = {
            "length": (start + b"Content-Length: 3\r\nX-A: b\r\n\r\nabc", b"abc"),
            "chunked": (chunked + b"0\r\n\r\n", b"abc"),
            "short": (start + b"Content-Length: 4\r\n\r\nabc", None),
            "no last chunk": (chunked, None),
            "no length": (start + b"\r\nabc", None),
            "incomplete head": (start, None),
            "nothing": (b"", None),
        }
        for name, (response, body) in cases.items():
            with self.subTest(name):
                async with RawServer(response) as server:
                    if body is None:
                        with self.assertRaises(IncompleteResponseError):
                            await fetch(server.url)
                    else:
                        self.assertEqual((await fetch(server.url))[::2], (200, body))

    async def test_cut_responses(self):
        """A response that ends at any byte before its end is incomplete."""
        start = b"HTTP/1.1 200 OK\r\nX-A: b\r\n"
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        responses = {
            "length": start + b"Content-Length: 3\r\n\r\nabc",
            "chunked": start
            + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "behind an interim one": interim + start + b"Content-Length: 3\r\n\r\nabc",
            "no length": start + b"\r\nabc",
        }
        for name, response in responses.items():
            sizes = range(len(response) + (name == "no length"))
            # Every second byte of a head is enough.
            for size in (*sizes[:-12:2], *sizes[-12:]):
                async with RawServer(response[:size]) as server:
                    with self.assertRaises(IncompleteResponseError, msg=(name, size)):
                        await fetch(server.url)

    async def test_statuses_outside_http(self):
        """Only a status from 100 to 599 is one; others are named as such."""
        cases = {
            "000": "status 000 is not one of HTTP",
            "099": "status 099 is not one of HTTP",
            "600": "status 600 is not one of HTTP",
            "999": "status 999 is not one of HTTP",
            "20": "illegal status line",
            "2000": "illegal status line",
        }
        for status, reason in cases.items():
            with self.subTest(status):
                response = f"HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n"
                async with RawServer(response.encode()) as server:
                    with self.assertRaisesRegex(IncompleteResponseError, reason):
                        await fetch(server.url)

    async def test_answer_that_leaves_http(self):
        """An answer behind which there is another protocol has no end."""
        for allowed in (False, True):
            with self.subTest(allowed=allowed):
                response = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
                async with RawServer(response) as server:
                    backend = HttpBackend(
                        url=server.url,
                        health_path="/health",
                        allow_close_delimited=allowed,
                    )
                    connect = replace(REQUEST, method="CONNECT")
                    with contextlib.closing(await backend.send(connect)) as got:
                        with self.assertRaisesRegex(
                            IncompleteResponseError, "has no end in HTTP"
                        ):
                            await got.read()
                    await backend.close()

    async def test_request_is_unchanged(self):
        """The path, query and headers are forwarded unchanged."""
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        async with RawServer(response) as server:
            await fetch(server.url)
        head = server.requests[0]
        self.assertTrue(head.startswith(b"POST /a?b=%20c HTTP/1.1\r\n"))
        self.assertIn(b"\r\nX-One: 1\r\n", head)

    async def test_unreachable(self):
        """A refused connection has its own error, as nothing was sent."""
        async with RawServer(b"") as server:
            url = server.url
        with self.assertRaisesRegex(BackendUnreachableError, "Cannot connect"):
            await fetch(url)
        backend = HttpBackend(url=url, health_path="/health")
        self.assertIs(await backend.is_listening(), False)
        self.assertIs(await backend.probe(1.0), False)
        await backend.close()

    async def test_port_of_an_exiting_process(self):
        """A server that closes connections at once is not listening."""
        cases = {"closes": (True, False), "stays open": (False, True)}
        for name, (closes, listening) in cases.items():
            with self.subTest(name):

                async def accept(reader, writer, closes=closes):
                    if not closes:
                        await reader.read()
                    writer.close()

                server = await asyncio.start_server(accept, "127.0.0.1", 0)
                port = server.sockets[0].getsockname()[1]
                backend = HttpBackend(
                    url=f"http://127.0.0.1:{port}", health_path="/health"
                )
                self.assertIs(await backend.is_listening(), listening)
                await backend.close()
                server.close()

    async def test_refused_connections(self):
        """Only a refused connection shows that nothing listens."""

        def reset(reader, writer):
            writer.transport.abort()

        async with RawServer(b"") as listening:
            backend = HttpBackend(url=listening.url, health_path="/")
            self.assertIs(await backend.is_refusing(1.0), False)
        await asyncio.sleep(0.05)
        self.assertIs(await backend.is_refusing(1.0), True)
        resetting = await asyncio.start_server(reset, "127.0.0.1", 0)
        self.addCleanup(resetting.close)
        port = resetting.sockets[0].getsockname()[1]
        backend = HttpBackend(url=f"http://127.0.0.1:{port}", health_path="/")
        self.assertIs(await backend.is_refusing(1.0), False)

    async def test_close_reaches_the_server(self):
        """Closing a response or cancelling its wait closes the connection."""
        for name, response in {
            "reading": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na",
            "waiting for the head": b"",
        }.items():
            with self.subTest(name):
                async with RawServer(response, wait=True) as server:
                    fetch_task = asyncio.create_task(fetch(server.url))
                    async with asyncio.timeout(TEST_TIMEOUT_S):
                        while not server.requests:
                            await asyncio.sleep(0.001)
                        fetch_task.cancel()
                        await server.gone.wait()


class ScriptedServer(RawServer):
    """Sends one response per request and keeps the connection open."""

    async def handle(self, reader, writer):
        self.connections = getattr(self, "connections", 0) + 1
        for response in self.response:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.requests.append(head)
            await reader.readexactly(len(REQUEST.body))
            writer.write(response)
            await writer.drain()
        await reader.read()
        writer.close()


def build_response(body, *headers):
    lines = "".join(f"{header}\r\n" for header in headers).encode()
    size = len(body)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (size, lines, body)


class ConnectionReuseTests(unittest.IsolatedAsyncioTestCase):
    async def fetch_all(self, responses, requests, **options):
        """Return the bodies and the number of opened connections."""
        async with ScriptedServer(responses) as server:
            backend = HttpBackend(
                url=server.url, health_path="/", **({"idle_timeout_s": 5.0} | options)
            )
            bodies = []
            for request in requests:
                response = await backend.send(request)
                body = b""
                while data := await response.read():
                    body += data
                response.close()
                # Bytes after the response need time to arrive.
                await asyncio.sleep(0.02)
                bodies.append(body)
            await backend.close()
            return bodies, backend.opened_connections

    async def test_connection_reuse(self):
        """A connection is reused only after a complete response, in time."""
        repeatable_request = replace(REQUEST, repeatable=True)
        cases = {
            "reused": (
                [build_response(b"a"), build_response(b"b")],
                (repeatable_request, repeatable_request),
                {},
                1,
            ),
            "may run once": (
                [build_response(b"a"), build_response(b"b")],
                (repeatable_request, REQUEST),
                {},
                2,
            ),
            "no idle timeout": (
                [build_response(b"a")],
                (repeatable_request, repeatable_request),
                {"idle_timeout_s": 0.0},
                2,
            ),
            "server closes": (
                [build_response(b"a", "Connection: close")],
                (repeatable_request, repeatable_request),
                {},
                2,
            ),
            "bytes after the response": (
                [build_response(b"a") + b"more"],
                (repeatable_request, repeatable_request),
                {},
                2,
            ),
            "server timeout that is no number": (
                [build_response(b"a", "Keep-Alive: timeout=\xb2")] * 2,
                (repeatable_request, repeatable_request),
                {},
                1,
            ),
            "server timeout of zero": (
                [build_response(b"a", "Keep-Alive: timeout=0")],
                (repeatable_request, repeatable_request),
                {},
                2,
            ),
        }
        for name, (responses, requests, options, expected_connections) in cases.items():
            with self.subTest(name):
                bodies, opened_connections = await self.fetch_all(
                    responses, requests, **options
                )
                self.assertEqual(opened_connections, expected_connections)
                self.assertEqual(bodies[0], b"a")

    async def test_bytes_while_idle(self):
        """A connection on which bytes came without a request is not reused."""
        request = replace(REQUEST, repeatable=True)
        async with ScriptedServer([build_response(b"a")] * 2) as server:
            backend = HttpBackend(url=server.url, health_path="/", idle_timeout_s=5.0)
            (await self.read_response(await backend.send(request)))
            (idle,) = backend._idle
            idle.data_received(b"late bytes")
            self.assertIs(idle.is_lost, True)
            await self.read_response(await backend.send(request))
            await backend.close()
        self.assertEqual(backend.opened_connections, 2)

    async def read_response(self, response):
        while await response.read():
            pass
        response.close()

    async def test_answer_before_the_request_was_read(self):
        """A connection that still carries a request's rest is not reused."""

        async def answer_early(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(build_response(b"early"))
                await asyncio.sleep(TEST_TIMEOUT_S)

        server = await asyncio.start_server(answer_early, "127.0.0.1", 0, limit=1024)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        backend = HttpBackend(
            url=f"http://127.0.0.1:{port}", health_path="/", idle_timeout_s=5.0
        )
        large = replace(REQUEST, repeatable=True, body=b"x" * 50_000_000)
        await self.read_response(await backend.send(large))
        self.assertEqual(len(backend._idle), 0)
        await backend.close()

    async def test_closed_connections_are_forgotten(self):
        """Nothing is kept of connections, however they end."""
        cases = {
            "closed by the server": build_response(b"a", "Connection: close"),
            "kept by the server": build_response(b"a"),
            "cut": build_response(b"a")[:-1],
            "no response": b"nonsense\r\n\r\n",
        }
        for name, sent in cases.items():
            for is_read in (True, False):
                with self.subTest(name, is_read=is_read):
                    async with RawServer(sent) as server:
                        backend = HttpBackend(url=server.url, health_path="/")
                        for _ in range(3):
                            with contextlib.suppress(IncompleteResponseError):
                                response = await backend.send(REQUEST)
                                try:
                                    while is_read and await response.read():
                                        pass
                                finally:
                                    response.close()
                        self.assertEqual(backend._active, set())
                        self.assertEqual(len(backend._idle), 0)

    async def test_unused_connections_are_closed(self):
        """Connections that no request takes are closed in time.

        Requests that may run once open one each and leave it to others.
        """
        async with ScriptedServer([build_response(b"a")] * 4) as server:
            backend = HttpBackend(url=server.url, health_path="/", idle_timeout_s=0.2)
            for _ in range(4):
                await self.read_response(await backend.send(REQUEST))
            self.assertEqual(len(backend._idle), 4)
            idle = list(backend._idle)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while backend._idle:
                    await asyncio.sleep(0.02)
            self.assertTrue(all(connection.is_lost for connection in idle))
            await backend.close()

    async def test_idle_connections_are_bounded(self):
        """Of more idle connections than a client may keep, the oldest go."""
        async with ScriptedServer([build_response(b"a")] * 4) as server:
            backend = HttpBackend(
                url=server.url,
                health_path="/",
                idle_timeout_s=5.0,
                compute_max_idle=lambda: 2,
            )
            for _ in range(4):
                await self.read_response(await backend.send(REQUEST))
            kept = list(backend._idle)
            self.assertEqual(len(kept), 2)
            self.assertLess(kept[0].idle_since, kept[1].idle_since)
            self.assertEqual(backend.opened_connections, 4)
            await backend.close()

    async def test_follow_up(self):
        """What comes behind a response tells whether it was the last one."""
        refusal = build_refusal()
        closing = build_refusal("Connection: close")
        own = build_response(b"own", "X-For: own")
        health = build_response(b"", "X-For: health")
        cases = {
            # name: (sent at once, sent later, sent to the check, the response
            # behind, False if there is none, or the error)
            "answer at once": (refusal + own, b"", health, "own"),
            "answer later": (refusal, own, health, "own"),
            "last word": (refusal, b"", health, "health"),
            "ends": (refusal, None, b"", IncompleteResponseError),
            "says that it ends": (closing, None, b"", False),
            "goes on after it says that it ends": (
                closing + own,
                None,
                b"",
                IncompleteResponseError,
            ),
        }
        for name, (first, later, checked, expected) in cases.items():
            with self.subTest(name):

                async def respond(
                    reader, writer, first=first, later=later, checked=checked
                ):
                    await reader.readuntil(b"\r\n\r\nbody")
                    writer.write(first)
                    await asyncio.sleep(0.05)
                    if later is None:
                        writer.close()
                        return
                    writer.write(later)
                    with contextlib.suppress(asyncio.IncompleteReadError):
                        head = await reader.readuntil(b"\r\n\r\n")
                        self.assertIn(b"GET /health HTTP/1.1", head)
                        writer.write(checked)
                    writer.close()

                server = await asyncio.start_server(respond, "127.0.0.1", 0)
                port = server.sockets[0].getsockname()[1]
                backend = HttpBackend(
                    url=f"http://127.0.0.1:{port}",
                    health_path="/health",
                    idle_timeout_s=5.0,
                )
                response = await backend.send(REQUEST)
                self.assertEqual(response.status, 503)
                if expected is IncompleteResponseError:
                    with self.assertRaises(IncompleteResponseError):
                        await response.read_follow_up()
                else:
                    self.assertIs(
                        await response.read_follow_up(), expected is not False
                    )
                    if expected:
                        self.assertEqual(dict(response.headers)["X-For"], expected)
                response.close()
                await backend.close()
                server.close()

    async def test_follow_up_to_a_request_for_a_head(self):
        """No part of what follows is the body of an answer without one."""
        refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
        own = b"HTTP/1.1 200 OK\r\nX-For: own\r\nContent-Length: 5\r\n\r\n"
        check = b"HTTP/1.1 200 OK\r\nX-For: check\r\nContent-Length: 9\r\n\r\n"

        async def respond(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(refusal)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(own + check)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        backend = HttpBackend(url=f"http://127.0.0.1:{port}", health_path="/")
        request = replace(REQUEST, method="HEAD", body=b"")
        response = await backend.send(request)
        self.assertIs(await response.read_follow_up(), True)
        self.assertEqual(dict(response.headers)["X-For"], "own")
        self.assertEqual(await response.read(), b"")
        response.close()
        await backend.close()

    async def test_late_second_response(self):
        """A second response to an earlier request is skipped."""
        late = build_response(b"late", "X-For: old") + build_response(
            b"own", "X-For: new"
        )
        async with ScriptedServer([late]) as server:
            backend = HttpBackend(url=server.url, health_path="/", idle_timeout_s=5.0)
            response = await backend.send(REQUEST)
            self.assertEqual(dict(response.headers)["X-For"], "old")
            self.assertIs(await response.read_next_response(), True)
            self.assertEqual(dict(response.headers)["X-For"], "new")
            self.assertEqual(await response.read(), b"own")
            self.assertEqual(await response.read(), b"")
            response.close()
            await backend.close()

    async def test_unmarked_end_behind_a_late_response(self):
        """An end that nothing marks is refused behind a marked one, too."""
        late = build_response(b"late") + b"HTTP/1.1 200 OK\r\n\r\nown"
        for allowed in (False, True):
            with self.subTest(allowed=allowed):
                async with RawServer(late) as server:
                    backend = HttpBackend(
                        url=server.url,
                        health_path="/",
                        allow_close_delimited=allowed,
                    )
                    response = await backend.send(REQUEST)
                    self.assertIs(response.is_end_marked, True)
                    self.assertIs(await response.read_next_response(), True)
                    self.assertIs(response.is_end_marked, False)
                    self.assertEqual(await response.read(), b"own")
                    if allowed:
                        self.assertEqual(await response.read(), b"")
                    else:
                        with self.assertRaises(IncompleteResponseError):
                            await response.read()
                    response.close()
                    await backend.close()

    async def test_close_delimited_response(self):
        """If allowed, a close ends a response, but a reset does not."""
        start = b"HTTP/1.1 200 OK\r\n\r\nabc"
        for resets in (False, True):
            with self.subTest(resets=resets):

                async def respond(reader, writer, resets=resets):
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(start)
                    await writer.drain()
                    await asyncio.sleep(0.05)
                    if resets:
                        linger = struct.pack("ii", 1, 0)
                        sock = writer.get_extra_info("socket")
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.close()

                server = await asyncio.start_server(respond, "127.0.0.1", 0)
                port = server.sockets[0].getsockname()[1]
                backend = HttpBackend(
                    url=f"http://127.0.0.1:{port}",
                    health_path="/",
                    allow_close_delimited=True,
                )
                response = await backend.send(REQUEST)
                self.assertEqual(await response.read(), b"abc")
                if resets:
                    with self.assertRaises(IncompleteResponseError):
                        await response.read()
                else:
                    self.assertEqual(await response.read(), b"")
                await backend.close()
                server.close()

    async def test_host_and_hop_by_hop_headers(self):
        """The host is forwarded if requested; hop-by-hop headers are not."""
        request = replace(
            REQUEST,
            headers=(
                ("Host", "shop.example"),
                ("Connection", "close, X-Hop"),
                ("X-Hop", "1"),
                ("X-One", "1"),
            ),
        )
        async with RawServer(build_response(b"")) as server:
            backend = HttpBackend(url=server.url, health_path="/", preserve_host=True)
            (await backend.send(request)).close()
            await backend.close()
        self.assertEqual(
            server.requests[0].split(b"\r\n")[1:-2],
            [b"Host: shop.example", b"X-One: 1", b"Content-Length: 4"],
        )


class RequestTests(unittest.TestCase):
    def test_priority_and_fencing_token(self):
        """Both are set by the router; other values stay unchanged."""
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
