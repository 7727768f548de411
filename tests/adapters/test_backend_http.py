import asyncio
import contextlib
import unittest

from carobspring.adapters.backend_http import HttpBackend
from carobspring.agent import build_backend_request
from carobspring.domain import ServiceKind
from carobspring.ports import BackendCutError, BackendRequest, BackendUnreachableError
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
                        with self.assertRaises(BackendCutError):
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
