import asyncio
import unittest

from carobspring.adapters.peer_link import SILENCE_TIMEOUT_S, PeerAddress, PeerLink
from carobspring.protocol.peers import PeerBatch
from tests.control.test_gossip import ManualClock


class QuietStream:
    """A stream whose peer sends when it is told to."""

    def __init__(self):
        self.batches = asyncio.Queue()

    async def recv_message(self):
        return await self.batches.get()

    async def send_message(self, message):
        """Drop a message."""


class PeerLinkTests(unittest.IsolatedAsyncioTestCase):
    async def test_peer_that_is_silent(self):
        """A peer counts as heard until it has been silent for too long."""
        clock = ManualClock()
        link = PeerLink(
            own_name="a",
            peer=PeerAddress(name="b", host="127.0.0.1", port=1),
            secret="s",
            clock=clock,
            on_open=lambda name: None,
            on_batch=lambda name, batch: None,
        )
        self.assertIs(link.is_heard, False)
        stream = QuietStream()
        exchanging = asyncio.create_task(link.exchange(stream))
        await asyncio.sleep(0)
        self.assertIs(link.is_heard, True)
        # As after a stall, the stream is open until the next tick.
        clock.now += SILENCE_TIMEOUT_S + 0.1
        self.assertEqual((link.is_open, link.is_heard), (True, False))
        stream.batches.put_nowait(PeerBatch())
        await asyncio.sleep(0.01)
        self.assertIs(link.is_heard, True)
        link.disconnect()
        await exchanging
        self.assertIs(link.is_heard, False)
