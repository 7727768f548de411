import asyncio
import unittest

from carobspring.adapters.http_server import CircuitsHttpServer
from carobspring.ports import HttpLimits, HttpRequest, HttpResponder

POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
TEXT = (("Content-Type", "text/plain"),)
LIMITS = HttpLimits(max_header_bytes=1024, max_body_bytes=64)


async def echo_request(request: HttpRequest, responder: HttpResponder) -> None:
    """Echo the request; /stream responds in chunks, /fail raises."""
    if request.path == "/fail":
        raise ValueError("expected failure")
    if request.path in ("/stream", "/together"):
        await responder.start(200, TEXT)
        for chunk in (b"one", b"two"):
            await responder.write(chunk)
            if request.path == "/stream":
                # Chunks of one iteration of the event loop are sent together.
                await asyncio.sleep(0)
        await responder.finish()
        return
    if request.path == "/cut":
        await responder.start(200, TEXT)
        await responder.write(b"one")
        await asyncio.sleep(0.05)
        responder.abort()
        return
    echo = f"{request.method} {request.path}?{request.query} "
    await responder.send(200, TEXT, echo.encode() + request.body)


def strip_date(response):
    lines = response.split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.startswith(b"Date: "))


class CircuitsHttpServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = CircuitsHttpServer(
            host="127.0.0.1", port=0, handler=echo_request, limits=LIMITS
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def exchange(self, *chunks):
        """Send raw chunks and return all bytes received until the close."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0.01)
        received = await reader.read()
        writer.close()
        return received

    async def test_responses(self):
        """Complete, chunked, pipelined and HEAD responses are well framed."""
        cases = {
            "complete": (
                (b"GET /a?b=c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",),
                b"Content-Length: 11\r\nConnection: close\r\n\r\nGET /a?b=c ",
            ),
            "chunks of one loop iteration": (
                (b"GET /together HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",),
                b"\r\n\r\n6\r\nonetwo\r\n0\r\n\r\n",
            ),
            "chunked response": (
                (b"GET /stream HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",),
                b"\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n",
            ),
            "chunked body": (
                (
                    POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\n",
                    b"abc\r\n0\r\n\r\n",
                ),
                b"POST /? abc",
            ),
            "body in parts": (
                (
                    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n",
                    b"Connection: close\r\n\r\nab",
                    b"cd",
                ),
                b"POST /? abcd",
            ),
            "two requests at once": (
                (
                    b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
                    b"GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                ),
                b"GET /2? ",
            ),
            "HEAD": (
                (b"HEAD / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",),
                b"Content-Length: 8\r\nConnection: close\r\n\r\n",
            ),
        }
        for name, (chunks, ending) in cases.items():
            with self.subTest(name):
                received = await self.exchange(*chunks)
                self.assertEqual(
                    received[: len(b"HTTP/1.1 200 OK")], b"HTTP/1.1 200 OK"
                )
                self.assertEqual(received[-len(ending) :], ending)

    async def test_cuts(self):
        """A request is the same however its bytes are cut into segments.

        The server also takes configurations and check-ins.
        """
        close = b"Connection: close\r\n"
        chunked = POST + close + b"Transfer-Encoding: chunked\r\n\r\n"
        requests = {
            "head": b"GET / HTTP/1.1\r\nHost: x\r\n" + close + b"\r\n",
            "length": POST + close + b"Content-Length: 5\r\n\r\nabcde",
            "chunks": chunked + b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
            "trailers": chunked + b"3\r\nabc\r\n0\r\nX-One: 1\r\n\r\n",
        }
        for name, request in requests.items():
            expected = strip_date(await self.exchange(request))
            self.assertTrue(expected.startswith(b"HTTP/1.1 200 "), expected)
            cuts = [(cut,) for cut in range(1, len(request))]
            received = await asyncio.gather(
                *(self.exchange_cut(request, *cut) for cut in cuts),
                self.exchange_cut(request, *range(1, len(request))),
            )
            for cut, response in zip([*cuts, "every byte"], received, strict=True):
                with self.subTest(name, cut=cut):
                    self.assertEqual(strip_date(response), expected)

    async def exchange_cut(self, request, *cuts):
        """Send a request in segments that end at some bytes."""
        ends = (*cuts, len(request))
        starts = (0, *cuts)
        segments = zip(starts, ends, strict=True)
        return await self.exchange(*(request[start:end] for start, end in segments))

    async def test_rejected_requests(self):
        """Malformed and oversized requests get an error code and a close."""
        chunked = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        cases = {
            "no request line": (b"junk\r\n\r\n", 400, b"bad_request"),
            "two lengths": (
                POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
                400,
                b"bad_content_length",
            ),
            "negative length": (
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
                400,
                b"bad_content_length",
            ),
            "huge length": (
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                + b"9" * 40
                + b"\r\n\r\n",
                400,
                b"bad_content_length",
            ),
            "length and chunks": (
                chunked + b"Content-Length: 1\r\n\r\n",
                400,
                b"conflicting_length",
            ),
            "other coding": (
                b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
                501,
                b"transfer_encoding",
            ),
            "bad chunk": (chunked + b"\r\nzz\r\n", 400, b"bad_chunk"),
            "large body": (
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n",
                413,
                b"body_too_large",
            ),
            "large chunks": (chunked + b"\r\n50\r\n" + b"a" * 80, 413, b"too_large"),
            "large head": (
                b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 2000,
                431,
                b"header",
            ),
            "header without colon": (
                b"GET / HTTP/1.1\r\nHost: x\r\nfolded\r\n\r\n",
                400,
                b"bad_header",
            ),
            "bad target": (
                b"GET /\xff HTTP/1.1\r\nHost: x\r\n\r\n",
                400,
                b"bad_request",
            ),
            "huge chunk": (chunked + b"\r\n" + b"f" * 18 + b"\r\n", 400, b"bad_chunk"),
            "chunk without its line end": (
                chunked + b"\r\n1\r\nabc",
                400,
                b"bad_chunk",
            ),
            "space before a size": (chunked + b"\r\n 1\r\n", 400, b"bad_chunk"),
            "no size": (chunked + b"\r\n\r\n", 400, b"bad_chunk"),
            "negative chunk": (chunked + b"\r\n-1\r\n", 400, b"bad_chunk"),
            "no host": (b"GET / HTTP/1.1\r\n\r\n", 400, b"bad_host"),
            "two hosts": (
                b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
                400,
                b"bad_host",
            ),
            "a zero byte in the target": (
                b"GET /a\x00b HTTP/1.1\r\nHost: x\r\n\r\n",
                400,
                b"bad_request",
            ),
            "HTTP/2": (b"GET / HTTP/2.0\r\n\r\n", 505, b"http_version"),
        }
        for name, (request, status, code) in cases.items():
            with self.subTest(name):
                received = await self.exchange(request)
                head = f"HTTP/1.1 {status} Refused\r\n".encode()
                self.assertEqual(received[: len(head)], head)
                self.assertIn(code, received)

    async def test_failed_handler(self):
        """A handler that raises causes a status 500, not a silent close."""
        request = b"GET /fail HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        with self.assertLogs("carobspring.adapters.http_connection"):
            received = await self.exchange(request)
        self.assertIn(b"500 Internal Server Error", received)

    async def test_aborted_response_has_no_last_chunk(self):
        """An aborted response closes without the last chunk."""
        received = await self.exchange(b"GET /cut HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(received[-8:], b"3\r\none\r\n")

    async def test_drain_closes_idle_connections(self):
        """A drain rejects new connections and closes the idle ones."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        drained = asyncio.create_task(self.server.drain(30))
        self.assertEqual(await reader.read(), b"")
        self.assertIs(await drained, True)
        writer.close()
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", self.server.port)
