import asyncio
import json
import unittest

from hypothesis import given, settings, strategies as st

from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits, HttpRequest, HttpResponder

LIMITS = HttpLimits(
    max_header_bytes=2048,
    max_body_bytes=4096,
    request_timeout_s=0.3,
    stall_timeout_s=0.5,
    write_buffer_bytes=64 * 1024,
)
POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
GOOD = b"GET /good HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
BIG = 64 * 1024


class Handler:
    """Answers at once, or with a stream that never ends."""

    def __init__(self):
        self.written = 0
        self.gone = asyncio.Event()

    async def answer(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Answer "ok", or /flood until the caller is gone."""
        if request.path != "/flood":
            await responder.send(200, (), b"ok")
            return
        await responder.start(200, ())
        while not responder.disconnected.is_set():
            await responder.write(bytes(BIG))
            self.written += BIG
        self.gone.set()


class HttpEdgeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        """Listen on a free port with tight limits."""
        self.handler = Handler()
        self.server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=self.handler.answer, limits=LIMITS
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def open(self):
        """Open a connection, closed at the end of the test."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_error(self, reader):
        """Return status and code of an error that comes before the close."""
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body)["error"]["code"]

    async def check_serves(self):
        """Send a good request and expect its answer."""
        reader, writer = await self.open()
        writer.write(GOOD)
        self.assertTrue((await reader.read()).endswith(b"\r\n\r\nok"))

    async def test_refusal_is_read_by_a_caller_that_goes_on_sending(self):
        """The answer to too large a body survives the rest of that body."""
        for _ in range(5):
            reader, writer = await self.open()
            writer.write(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3000000\r\n\r\n"
            )
            for _ in range(46):
                writer.write(bytes(BIG))
                await asyncio.sleep(0)
            self.assertEqual(await self.read_error(reader), (413, "body_too_large"))
        await self.check_serves()

    async def test_slow_senders(self):
        """A request that never becomes whole is answered with 408."""
        pieces = {
            "nothing more": b"GET / HT",
            "a head without its end": b"GET / HTTP/1.1\r\nHost: x\r\n",
            "a body that stops": POST + b"Content-Length: 9\r\n\r\n1234",
            "a chunk that stops": (POST + b"Transfer-Encoding: chunked\r\n\r\n5\r\n12"),
        }
        for name, piece in pieces.items():
            with self.subTest(name):
                reader, writer = await self.open()
                writer.write(piece)
                got = await self.read_error(reader)
                self.assertEqual(got, (408, "request_timeout"))

    async def test_stalled_reader_is_let_go(self):
        """A caller that reads nothing holds a bounded buffer, and not long."""
        _, writer = await self.open()
        writer.transport.pause_reading()
        writer.write(b"GET /flood HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(60):
            await self.handler.gone.wait()
        # What the operating system buffers on loopback comes on top.
        self.assertLess(self.handler.written, 64 * 1024 * 1024)
        await self.check_serves()

    async def test_half_open_connections(self):
        """Callers that vanish in mid-request leave nothing behind."""
        for piece in (
            b"",
            b"GET",
            GOOD[:30],
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n",
        ):
            for _ in range(20):
                _, writer = await self.open()
                writer.write(piece)
                writer.transport.abort()
        async with asyncio.timeout(60):
            while self.server._web.http.connections:
                await asyncio.sleep(0.01)
        await self.check_serves()

    async def test_cut_answer_shows_what_came_before(self):
        """An abort right after a write still delivers head and piece."""

        async def cut(request, responder):
            await responder.start(200, ())
            await responder.write(b"first")
            responder.abort()

        server = CircuitsHttpServer(host="127.0.0.1", port=0, handler=cut)
        await server.start()
        self.addAsyncCleanup(server.close)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        received = await reader.read()
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK\r\n"), received)
        self.assertTrue(received.endswith(b"\r\n\r\n5\r\nfirst\r\n"), received)


LINE = st.one_of(
    st.sampled_from(
        [
            b"Content-Length: 5",
            b"Content-Length: 05",
            b"Content-Length: -1",
            b"Content-Length: +5",
            b"Content-Length: 5, 5",
            b"Content-Length: 99999999999999999999999999",
            b"Content-Length: \xd9\xa5",
            b"Transfer-Encoding: chunked",
            b"Transfer-Encoding: gzip, chunked",
            b"Connection: close",
            b"Expect: 100-continue",
            b" folded: line",
            b"no colon",
            b"X-Utf: \xff\xfe\xc3",
            b'Cookie: a="\\777; b',
            b"Host: [::1",
        ]
    ),
    st.binary(max_size=40),
)
TARGET = st.sampled_from([b"/", b"*", b"//", b"/%zz", b"/\xff", b"http://x/", b"/a b"])
REQUEST = st.builds(
    lambda method, target, version, lines, body: b"\r\n".join(
        [method + b" " + target + b" " + version, *lines, b"", body]
    ),
    st.sampled_from([b"GET", b"POST", b"HEAD", b"OPTIONS", b"get", b"", b"\x00"]),
    TARGET,
    st.sampled_from([b"HTTP/1.1", b"HTTP/1.0", b"HTTP/9.9", b"HTTP/2", b"x", b""]),
    st.lists(LINE, max_size=4),
    st.one_of(st.binary(max_size=30), st.sampled_from([b"5\r\nhello\r\n0\r\n\r\n"])),
)


class HttpFuzzTest(unittest.TestCase):
    def setUp(self):
        """Listen in a loop that outlives each example."""
        self.runner = asyncio.Runner()
        self.handler = Handler()
        self.server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=self.handler.answer, limits=LIMITS
        )
        self.runner.run(self.server.start())

    def tearDown(self):
        """Stop listening."""
        self.runner.run(self.server.close())
        self.runner.close()

    async def exchange(self, data, end=True):
        """Send bytes, end sending if asked to, and return what comes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        try:
            writer.write(data)
            if end:
                await asyncio.sleep(0.002)
                writer.write_eof()
            async with asyncio.timeout(60):
                return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.one_of(REQUEST, st.binary(max_size=200)))
    def test_any_bytes(self, data):
        """Whatever comes, the answers are HTTP and the server goes on."""
        received = self.runner.run(self.exchange(data))
        if received:
            self.assertRegex(received, rb"^HTTP/1\.[01] \d{3} ")
            self.assertNotRegex(received, rb"^HTTP/1\.[01] 5(?!0[15])")
        after = self.runner.run(self.exchange(GOOD, end=False))
        self.assertTrue(after.endswith(b"\r\n\r\nok"), after)
        self.assertLessEqual(len(self.server._web.http.connections), 50)
