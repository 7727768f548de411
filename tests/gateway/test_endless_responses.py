"""Tests of backend servers that send bytes without end."""

import asyncio
import contextlib
import unittest

from carobspring.adapters.backend_http import HttpBackend
from carobspring.domain.routes import Repeatability
from tests.gateway.fakes import REQUEST_ID, RESPONSE_HEADERS, GatewayHarness

ONCE = Repeatability.ONCE
IDEMPOTENT = Repeatability.IDEMPOTENT
STREAM_ONCE = Repeatability.STREAM_ONCE
RESUMABLE = Repeatability.RESUMABLE_STREAM

CHUNK_BYTES = 16 * 1024
FILLER = b"x" * CHUNK_BYTES
CHUNK = b"%x\r\n%s\r\n" % (CHUNK_BYTES, FILLER)
LINE_FEEDS = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"\n" * CHUNK_BYTES)
HEAD = (
    f"HTTP/1.1 200 OK\r\nCarobspring-Attempt-Id: {REQUEST_ID}\r\n"
    "Carobspring-Upstream-Signature: s\r\n"
).encode()
OTHER_HEAD = b"HTTP/1.1 200 OK\r\nCarobspring-Attempt-Id: other\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
LENGTH = b"Content-Length: 1000000000000\r\n\r\n"
SUCCESS = (200, RESPONSE_HEADERS, [b"answer"])
#: Seconds of the request's deadline, and those in which it must be over.
DEADLINE_S = 10.0
IN_TIME_S = 3.0
#: Bytes that may be read of something that is no answer to the request; some
#: more are on their way when the connection is closed.
MAX_FOREIGN_BYTES = 8 * 1024 * 1024

#: What a server sends first and then without end.
NO_ANSWERS = {
    "in place of a status line": (b"", FILLER),
    "in a head": (HEAD + b"X-Filler: ", FILLER),
    "many header lines": (HEAD, b"X-Filler: x\r\n" * 1000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "a chunk's size": (HEAD + CHUNKED, b"0" * CHUNK_BYTES),
    "another's chunked body": (OTHER_HEAD + CHUNKED, CHUNK),
    "another's body until the close": (OTHER_HEAD + b"\r\n", FILLER),
    "another's body of some length": (OTHER_HEAD + LENGTH, FILLER),
    "others' answers": (b"", OTHER_HEAD + b"Content-Length: 1\r\n\r\nx"),
    "an event": (HEAD + EVENTS + CHUNKED, CHUNK),
    "empty events": (HEAD + EVENTS + CHUNKED, LINE_FEEDS),
}
BODIES = {
    "chunked": (HEAD + CHUNKED, CHUNK),
    "until the close": (HEAD + b"\r\n", FILLER),
    "of some length": (HEAD + LENGTH, FILLER),
}


class EndlessServer:
    """Sends bytes for each request until its connection is closed."""

    def __init__(self, start, repeated, *, interval_s=0.0):
        self._start = start
        self._repeated = repeated
        self._interval_s = interval_s
        self.sent_bytes = 0
        self.request_count = 0
        self.closed = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *error):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.request_count += 1
        writer.write(self._start)
        with contextlib.suppress(ConnectionError):
            while not writer.transport.is_closing():
                writer.write(self._repeated)
                await writer.drain()
                self.sent_bytes += len(self._repeated)
                await asyncio.sleep(self._interval_s)
        self.closed.set()


class EndlessResponseTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, server, *, kind, others=1):
        """Send a request to the server first; return the response, in time."""
        gateway = GatewayHarness(
            [SUCCESS],
            *[[SUCCESS]] * others,
            repeatability=kind,
            timeout_ms=DEADLINE_S * 1000,
        )
        backend = HttpBackend(
            url=server.url, health_path="/", allow_close_delimited=True
        )
        gateway.clients["s1"] = backend
        try:
            async with asyncio.timeout(IN_TIME_S):
                response = await gateway.call(
                    headers=(("Carobspring-Deadline-Ms", str(DEADLINE_S * 1000)),)
                )
                await server.closed.wait()
        finally:
            await backend.close()
        return response, gateway

    async def test_what_is_no_answer(self):
        """It ends soon, with a true status or by another server's answer."""
        for name, (start, repeated) in NO_ANSWERS.items():
            kinds = {ONCE: 502, IDEMPOTENT: 200}
            if "event" in name:
                kinds = {STREAM_ONCE: 502, RESUMABLE: 200}
            for kind, status in kinds.items():
                with self.subTest(name, kind=kind):
                    async with EndlessServer(start, repeated) as server:
                        response, gateway = await self.call(server, kind=kind)
                    self.assertEqual(response.status, status)
                    self.assertEqual(response.ended, "complete")
                    self.assertLess(server.sent_bytes, MAX_FOREIGN_BYTES)
                    self.assertEqual(server.request_count, 1)

    async def test_slow_answer_to_another(self):
        """Another's answer that trickles does not cost the whole time."""
        slow = EndlessServer(OTHER_HEAD + CHUNKED, b"1\r\nx\r\n", interval_s=0.01)
        async with slow as server:
            response, _ = await self.call(server, kind=IDEMPOTENT)
        self.assertEqual((response.status, response.body), (200, b"answer"))

    async def test_body(self):
        """A body without end is broken off visibly, and not sent again."""
        for name, (start, repeated) in BODIES.items():
            for kind in (ONCE, IDEMPOTENT):
                with self.subTest(name, kind=kind):
                    async with EndlessServer(start, repeated) as server:
                        response, gateway = await self.call(server, kind=kind)
                    self.assertNotEqual(response.ended, "complete")
                    others = sum(
                        len(client.requests)
                        for each, client in gateway.clients.items()
                        if each != "s1"
                    )
                    self.assertEqual((server.request_count, others), (1, 0))

    async def test_after_a_complete_answer(self):
        """Bytes after a complete answer change it no more."""
        start = HEAD + b"Content-Length: 6\r\n\r\nanswer"
        for kind in (ONCE, IDEMPOTENT):
            with self.subTest(kind=kind):
                async with EndlessServer(start, FILLER) as server:
                    response, _ = await self.call(server, kind=kind)
                self.assertEqual((response.status, response.body), (200, b"answer"))
                self.assertLess(server.sent_bytes, MAX_FOREIGN_BYTES)

    async def test_health_check(self):
        """A health check ends in time, whatever comes."""
        for name, (start, repeated) in NO_ANSWERS.items():
            with self.subTest(name):
                async with EndlessServer(start, repeated) as server:
                    backend = HttpBackend(url=server.url, health_path="/")
                    async with asyncio.timeout(IN_TIME_S):
                        await backend.probe(1.0)
                        await server.closed.wait()
                    await backend.close()
                self.assertLess(server.sent_bytes, MAX_FOREIGN_BYTES)

    async def test_other_callers(self):
        """Other requests are served meanwhile without delay."""
        async with EndlessServer(*BODIES["chunked"]) as server:
            calling = asyncio.create_task(self.call(server, kind=ONCE, others=0))
            gateway = GatewayHarness([SUCCESS])
            longest_s = 0.0
            loop = asyncio.get_running_loop()
            while not calling.done():
                started_at = loop.time()
                self.assertEqual((await gateway.call()).status, 200)
                longest_s = max(longest_s, loop.time() - started_at)
                await asyncio.sleep(0.005)
            await calling
        self.assertLess(longest_s, 0.25)
