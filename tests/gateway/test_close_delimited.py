"""Tests of answers without length or chunks, which end by the close."""

import asyncio
import socket
import struct
import unittest

from carobspring.adapters.backend_http import HttpBackend
from carobspring.domain.routes import Repeatability
from tests.gateway.fakes import (
    REQUEST_ID,
    RESPONSE_HEADERS,
    STREAM_HEADERS,
    GatewayHarness,
    build_event,
)

ONCE = Repeatability.ONCE
IDEMPOTENT = Repeatability.IDEMPOTENT
STREAM_ONCE = Repeatability.STREAM_ONCE
RESUMABLE = Repeatability.RESUMABLE_STREAM

HEAD = (
    f"HTTP/1.1 200 OK\r\nCarobspring-Attempt-Id: {REQUEST_ID}\r\n"
    "Carobspring-Upstream-Signature: s\r\n"
).encode()
EVENTS = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
BODY = b"x" * 5_500
#: Sent in whole only after its end, and relayed as it comes.
LARGE_BODY = b"x" * 600_000


class ClosingServer:
    """Answers each request with some bytes and closes or resets."""

    def __init__(self, data, *, resets=False):
        self._data = data
        self._resets = resets
        self._tasks = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *error):
        self._server.close()
        await asyncio.gather(*self._tasks)

    async def _serve(self, reader, writer):
        self._tasks.append(asyncio.current_task())
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            # The gateway only looked whether the server still listens.
            writer.close()
            return
        await reader.readexactly(len(b"body"))
        writer.write(self._data)
        await writer.drain()
        # What was sent before a reset must have been read.
        await asyncio.sleep(0.05)
        if self._resets:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


class CloseDelimitedTests(unittest.IsolatedAsyncioTestCase):
    async def call(self, data, *, kind, other, resets=False):
        """Send a request to a server that closes, and to another if needed."""
        gateway = GatewayHarness([other], [other], repeatability=kind)
        async with ClosingServer(data, resets=resets) as server:
            backend = HttpBackend(
                url=server.url, health_path="/", allow_close_delimited=True
            )
            gateway.clients["s1"] = backend
            try:
                response = await gateway.call()
            finally:
                await backend.close()
        others = [request.headers for request in gateway.clients["s2"].requests]
        return response, others

    async def test_body(self):
        """A close completes a body, and a reset breaks it off."""
        other = (200, RESPONSE_HEADERS, [b"other"])
        cases = {
            "whole": (BODY, ONCE, False, (200, "complete", BODY), 0),
            "empty": (b"", ONCE, False, (200, "complete", b""), 0),
            "large": (LARGE_BODY, ONCE, False, (200, "complete", LARGE_BODY), 0),
            "reset": (BODY, ONCE, True, (502, "complete", None), 0),
            "reset, repeatable": (
                BODY,
                IDEMPOTENT,
                True,
                (200, "complete", b"other"),
                1,
            ),
            "large and reset": (
                LARGE_BODY,
                IDEMPOTENT,
                True,
                (200, "aborted", None),
                0,
            ),
        }
        for name, (body, kind, resets, expected, other_count) in cases.items():
            with self.subTest(name):
                response, others = await self.call(
                    HEAD + b"\r\n" + body, kind=kind, other=other, resets=resets
                )
                status, ended, expected_body = expected
                self.assertEqual((response.status, response.ended), (status, ended))
                if expected_body is not None:
                    self.assertEqual(bytes(response.body), expected_body)
                self.assertEqual(len(others), other_count)

    async def test_after_an_answer_to_another_request(self):
        """A late answer to another request changes nothing."""
        late = b"HTTP/1.1 200 OK\r\nCarobspring-Attempt-Id: other\r\n"
        response, others = await self.call(
            late + b"Content-Length: 1\r\n\r\nx" + HEAD + b"\r\n" + BODY,
            kind=ONCE,
            other=(200, RESPONSE_HEADERS, [b"other"]),
        )
        self.assertEqual((response.status, bytes(response.body)), (200, BODY))
        self.assertEqual(others, [])

    async def test_stream(self):
        """A close between two events completes a stream, and no other end."""
        other = (200, STREAM_HEADERS, [build_event(2), build_event(3)])
        first = build_event(1)
        whole = first + build_event(2) + build_event(3)
        cases = {
            "whole": (whole, STREAM_ONCE, False, "complete", whole, None),
            "whole, resumable": (whole, RESUMABLE, False, "complete", whole, None),
            "inside an event": (
                first + b"id: 2\nda",
                STREAM_ONCE,
                False,
                "aborted",
                first,
                None,
            ),
            "inside an event, resumable": (
                first + b"id: 2\nda",
                RESUMABLE,
                False,
                "complete",
                whole,
                "1",
            ),
            "reset": (first, STREAM_ONCE, True, "aborted", first, None),
            "reset, resumable": (first, RESUMABLE, True, "complete", whole, "1"),
        }
        for name, (data, kind, resets, ended, body, resumed) in cases.items():
            with self.subTest(name):
                response, others = await self.call(
                    EVENTS + data, kind=kind, other=other, resets=resets
                )
                self.assertEqual((response.status, response.ended), (200, ended))
                self.assertEqual(bytes(response.body), body)
                last_events = [dict(each).get("Last-Event-Id") for each in others]
                self.assertEqual(last_events, [resumed] if resumed else [])

    async def test_stream_that_breaks_off_before_an_event(self):
        """A stream that ends inside its first event has not begun."""
        other = (200, STREAM_HEADERS, [build_event(1)])
        for kind, expected in ((STREAM_ONCE, 502), (RESUMABLE, 200)):
            with self.subTest(kind=kind):
                response, _ = await self.call(EVENTS + b"id: 1", kind=kind, other=other)
                self.assertEqual(response.status, expected)
                self.assertEqual(response.ended, "complete")
