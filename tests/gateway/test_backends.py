import asyncio
import gc
import unittest
import weakref

from carobspring import platform
from carobspring.domain import BackendServer, ServiceKind
from carobspring.gateway.backends import (
    MAX_IDLE,
    BackendConnections,
    compute_max_idle,
)
from carobspring.ports import BackendRequest

#: What a ``Connection`` header may say to name another header.
SPELLINGS = ("{}", "close, {}", " {} ,", "keep-alive,{}")
#: Headers of a caller that reach the server.
CALLER_HEADERS = (
    ("Carobspring-Attempt-Id", "9c41"),
    ("Carobspring-Model", "m"),
    ("Carobspring-Token-Usage", "10,2"),
    ("Carobspring-Prefix-Hash", "5c:10"),
    ("Resumes", "8b30"),
)
#: Headers of a server that reach its caller or the system.
SERVER_HEADERS = (
    ("Carobspring-Attempt-Id", "9c41"),
    ("Carobspring-Upstream-Signature", "s"),
    ("Carobspring-Upstream-Load", "1,2,3"),
    ("Server-Leaving", "1"),
    ("Server-Limit", "2"),
    ("Content-Type", "text/plain"),
)


class ComputeMaxIdleTests(unittest.TestCase):
    def test_parts(self):
        """All entries together keep half of what a server takes."""
        cases = {
            "few entries": (110, 6, 9),
            "many entries": (110, 400, 1),
            "one entry": (370, 1, MAX_IDLE),
            "no bound known": (0, 6, MAX_IDLE),
            "no entry counted yet": (110, 0, 55),
        }
        for name, (max_connections, entries, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(compute_max_idle(max_connections, entries), expected)


class ConnectionHeaderTests(unittest.IsolatedAsyncioTestCase):
    """A ``Connection`` header names headers that the other end must get."""

    async def asyncSetUp(self):
        self.heads = []
        self.response = b""
        server = await asyncio.start_server(self.respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.connections = BackendConnections(find_max_idle=lambda service: 4)
        self.connections.add(
            BackendServer(
                server_id="i-1",
                boot=1,
                service="svc",
                kind=ServiceKind.PLAIN,
                zone="a",
                host="127.0.0.1",
                port=server.sockets[0].getsockname()[1],
            )
        )
        self.addAsyncCleanup(self.connections.close)

    async def respond(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")[1:-2]
        self.heads.append([tuple(line.split(": ", 1)) for line in lines])
        writer.write(self.response)
        writer.close()

    async def send(self, headers, response_headers=()):
        """Send a caller's headers; return the headers of both ways."""
        lines = ["HTTP/1.1 200 OK", "Content-Length: 0"]
        lines += [f"{name}: {value}" for name, value in response_headers]
        self.response = "\r\n".join([*lines, "", ""]).encode()
        request = BackendRequest(
            method="GET",
            path="/",
            headers=platform.build_backend_headers(
                headers,
                server_id="i-1",
                workspace="acme",
                remaining_ms=500.0,
                priority=3,
                last_event_id="7",
                prompt_source="10.0.0.1:80",
            ),
        )
        response = await self.connections.find("i-1").send(request)
        response.close()
        return self.heads[-1], response.headers

    async def test_callers(self):
        """What the system sets, and what servers rely on, arrives once."""
        expected, _ = await self.send(CALLER_HEADERS)
        names = {name for name, _ in expected} - {"Host"}
        self.assertGreaterEqual(len(names), 11)
        for name in names:
            for spelling in SPELLINGS:
                for written in (name, name.lower(), name.upper()):
                    connection = ("Connection", spelling.format(written))
                    for added in ((connection,), (("connection", "x"), connection)):
                        headers, _ = await self.send((*added, *CALLER_HEADERS))
                        self.assertEqual(headers, expected, connection)

    async def test_other_names(self):
        """Other headers that it names concern one connection only."""
        headers, received = await self.send(
            (("Connection", "X-Hop"), ("X-Hop", "1"), ("X-End", "2")),
            (("Connection", "X-Back"), ("X-Back", "1"), ("X-Far", "2")),
        )
        self.assertNotIn("X-Hop", dict(headers))
        self.assertIn("X-End", dict(headers))
        self.assertEqual(received, (("X-Far", "2"),))

    async def test_servers(self):
        """A server's Connection header removes nothing that callers need."""
        for name, _ in SERVER_HEADERS:
            for spelling in SPELLINGS:
                with self.subTest(name, spelling=spelling):
                    connection = ("Connection", spelling.format(name))
                    _, received = await self.send((), (connection, *SERVER_HEADERS))
                    self.assertEqual(received, SERVER_HEADERS)


class RemovedServerTests(unittest.IsolatedAsyncioTestCase):
    async def test_client_without_connections(self):
        """Nothing is kept of a removed server to which nothing was sent."""
        connections = BackendConnections(find_max_idle=lambda service: 4)
        server = BackendServer(
            server_id="i-1",
            boot=1,
            service="svc",
            kind=ServiceKind.PLAIN,
            zone="a",
            host="127.0.0.1",
            port=1,
        )
        before = asyncio.all_tasks()
        connections.add(server)
        client = weakref.ref(connections.find("i-1"))
        connections.remove("i-1")
        self.assertEqual(asyncio.all_tasks(), before)
        gc.collect()
        self.assertIs(client(), None)
