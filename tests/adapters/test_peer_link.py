import asyncio
import unittest

from carobspring.adapters.peer_link import SILENCE_TIMEOUT_S, PeerAddress, PeerLink
from carobspring.protocol.peers import PeerBatch

BATCH = PeerBatch(name="b")


class ManualClock:
    def __init__(self):
        self.now = 100.0

    def read_monotonic(self):
        return self.now


class FakeStream:
    """A stream to a peer that sends what the test gives it."""

    def __init__(self):
        self.batches = asyncio.Queue()

    async def recv_message(self):
        return await self.batches.get()

    async def send_message(self, batch):
        pass


class PeerLinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.opened = []
        self.link = PeerLink(
            own_name="a",
            peer=PeerAddress(name="b", host="127.0.0.1", port=1),
            secret="s",
            clock=self.clock,
            on_open=self.opened.append,
            on_batch=lambda peer, batch: None,
        )
        self.exchanges = []
        self.addAsyncCleanup(self.end_exchanges)

    async def end_exchanges(self):
        for exchange in self.exchanges:
            exchange.cancel()
        await asyncio.gather(*self.exchanges, return_exceptions=True)

    async def open(self):
        stream = FakeStream()
        self.exchanges.append(asyncio.create_task(self.link.exchange(stream)))
        await asyncio.sleep(0.01)
        return stream

    async def fall_silent(self):
        self.clock.now += SILENCE_TIMEOUT_S + 0.1
        self.link.tick()
        await asyncio.sleep(0.01)
        self.assertIs(self.link.is_open, False)

    async def test_peer_that_says_nothing(self):
        """After a silence, a stream counts once the peer says something."""
        await self.open()
        self.assertIs(self.link.is_responding, True)
        await self.fall_silent()
        self.assertIs(self.link.is_responding, False)
        await self.open()
        self.assertEqual((self.link.is_open, self.link.is_responding), (True, False))
        await self.fall_silent()
        stream = await self.open()
        opened_count = len(self.opened)
        await stream.batches.put(BATCH)
        await asyncio.sleep(0.01)
        self.assertIs(self.link.is_responding, True)
        # What was sent meanwhile may be lost, so the stream counts as new.
        self.assertEqual(len(self.opened), opened_count + 1)

    async def test_stream_that_ends(self):
        """A peer whose stream ended is counted from the next one on."""
        stream = await self.open()
        await stream.batches.put(None)
        await asyncio.sleep(0.01)
        self.assertIs(self.link.is_responding, False)
        await self.open()
        self.assertIs(self.link.is_responding, True)

    async def test_peer_that_is_silent(self):
        """A peer counts as heard until it has been silent for too long."""
        self.assertIs(self.link.is_heard, False)
        stream = await self.open()
        self.assertIs(self.link.is_heard, True)
        # As after a stall, the stream is open until the next tick.
        self.clock.now += SILENCE_TIMEOUT_S + 0.1
        self.assertEqual((self.link.is_open, self.link.is_heard), (True, False))
        stream.batches.put_nowait(PeerBatch())
        await asyncio.sleep(0.01)
        self.assertIs(self.link.is_heard, True)
        self.link.disconnect()
        await asyncio.gather(*self.exchanges)
        self.assertIs(self.link.is_heard, False)
