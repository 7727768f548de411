"""Tests of responses that are made of very many tiny parts."""

import asyncio
import contextlib
import unittest

from carobspring.adapters.backend_http import HttpBackend
from carobspring.adapters.loop_slices import FREE_STEPS, SLICE_STEPS
from carobspring.domain.routes import Repeatability
from carobspring.ports import BackendRequest
from tests.adapters.turns import TurnCounter
from tests.gateway.fakes import STREAM_HEADERS, FakeResponder, GatewayHarness
from tests.gateway.test_endless_responses import CHUNKED, HEAD, EndlessServer

TINY_CHUNKS = b"1\r\nx\r\n" * 2000
#: Parts of each response that are read.
PARTS = 5000
RESPONSES = 8


class BatchResponder(FakeResponder):
    """Records how many writes are sent together."""

    def __init__(self):
        super().__init__()
        self.batches = []
        self._is_batching = False

    def set_batching(self, is_batching):
        if is_batching and not self._is_batching:
            self.batches.append(0)
        self._is_batching = is_batching

    async def write(self, data):
        await super().write(data)
        if self._is_batching:
            self.batches[-1] += 1


class TinyPartsTests(unittest.IsolatedAsyncioTestCase):
    """Guards against entries that hang while a server sends tiny parts."""

    async def read_parts(self, server, turns):
        backend = HttpBackend(url=server.url, health_path="/")
        response = await backend.send(BackendRequest(method="GET", path="/"))
        for _ in range(PARTS):
            self.assertEqual(await response.read(), b"x")
            turns.record()
        response.close()
        await backend.close()

    async def test_chunks(self):
        """A turn of the loop takes few chunks, of however many responses."""
        async with EndlessServer(HEAD + CHUNKED, TINY_CHUNKS) as server:
            for responses in (1, RESPONSES):
                with self.subTest(responses=responses):
                    turns = TurnCounter()
                    await asyncio.gather(
                        *(self.read_parts(server, turns) for _ in range(responses))
                    )
                    turns.stop()
                    self.assertLessEqual(
                        turns.largest, responses * FREE_STEPS + SLICE_STEPS
                    )

    async def test_interim_bodies(self):
        """What is skipped as another request's response gives way too."""
        other = b"HTTP/1.1 200 OK\r\nCarobspring-Attempt-Id: other\r\n" + CHUNKED
        async with EndlessServer(other, TINY_CHUNKS) as server:
            backend = HttpBackend(url=server.url, health_path="/")
            response = await backend.send(BackendRequest(method="GET", path="/"))
            turns = TurnCounter()
            skipping = asyncio.create_task(response.read_next_response())
            await asyncio.sleep(0.2)
            skipping.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await skipping
            turns.stop()
            # One read has 2,700 chunks.
            self.assertGreater(turns.count, 40)
            response.close()
            await backend.close()

    async def test_events(self):
        """A turn of the loop relays few of the events that came together."""
        events = b"".join(b"id: %d\ndata:\n\n" % number for number in range(1, 1001))
        gateway = GatewayHarness(
            [(200, STREAM_HEADERS, [events])],
            repeatability=Repeatability.RESUMABLE_STREAM,
            timeout_ms=9000,
        )
        turns = TurnCounter()
        record_event = gateway.dispatcher.record_event

        def count_event(*arguments):
            turns.record()
            record_event(*arguments)

        gateway.dispatcher.record_event = count_event
        response = await gateway.call(responder=BatchResponder())
        turns.stop()
        self.assertEqual((response.body, response.ended), (events, "complete"))
        self.assertLessEqual(turns.largest, FREE_STEPS + SLICE_STEPS)
        # The caller gets no tiny chunks for it; a write before is the head's.
        self.assertEqual(response.batches, [1000 + 1])
