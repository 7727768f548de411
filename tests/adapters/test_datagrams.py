import asyncio
import unittest

from carobspring.adapters.datagrams import DatagramSocket
from carobspring.adapters.metrics import Metrics
from carobspring.protocol import StreamMessage, StreamQuestion, StreamRecord

SECRET = "inner-secret"
MESSAGE = StreamMessage(
    records=(
        StreamRecord(stream=b"0123456789abcdef", service="s", version="", left_ms=5),
        StreamRecord(stream=b"1123456789abcdef", service="s", version=None, left_ms=5),
    ),
    question=StreamQuestion(stream=b"2123456789abcdef", number=7, services=("s",)),
)


class DatagramTests(unittest.IsolatedAsyncioTestCase):
    async def open(self, secret=SECRET):
        received = asyncio.Queue()
        metrics = Metrics()
        each = DatagramSocket(
            message_type=StreamMessage,
            secret=secret,
            on_message=lambda sender, message: received.put_nowait((sender, message)),
            metrics=metrics,
        )
        await each.open("127.0.0.1", 0)
        self.addCleanup(each.close)
        host, port = each._transport.get_extra_info("sockname")
        return each, f"{host}:{port}", received, metrics

    async def test_message(self):
        """A message arrives whole, with the address to answer to."""
        first, first_address, _, _ = await self.open()
        _, second_address, received, _ = await self.open()
        first.send(second_address, MESSAGE)
        async with asyncio.timeout(5):
            self.assertEqual(await received.get(), (first_address, MESSAGE))

    async def test_datagrams_that_are_not_used(self):
        """What others send, or what can't be read, is counted and dropped."""
        _, address, received, metrics = await self.open()
        own, _, _, _ = await self.open()
        foreign, _, _, _ = await self.open("other-secret")
        host, port = address.split(":")
        target = (host, int(port))
        foreign.send(address, MESSAGE)
        own._transport.sendto(b"x" * 40, target)
        garbage = b"\xc1"
        own._transport.sendto(own._sign(garbage) + garbage, target)
        number = b"\x05"
        own._transport.sendto(own._sign(number) + number, target)
        own.send(address, MESSAGE)
        async with asyncio.timeout(5):
            self.assertEqual((await received.get())[1], MESSAGE)
        self.assertTrue(received.empty())
        text = metrics.render_text().decode()
        self.assertIn('carob_datagrams_received_total{used="false"} 4', text)

    async def test_nobody_listens(self):
        """Sending to an address that is gone does no harm."""
        first, _, _, _ = await self.open()
        second, second_address, _, _ = await self.open()
        second.close()
        first.send(second_address, MESSAGE)
        await asyncio.sleep(0.05)
        first.send(second_address, MESSAGE)
        first.close()
        first.send(second_address, MESSAGE)

    async def test_address_in_use(self):
        """A second process can't take the address of a running one."""
        _, address, _, _ = await self.open()
        other = DatagramSocket(
            message_type=StreamMessage,
            secret=SECRET,
            on_message=lambda sender, message: None,
            metrics=Metrics(),
        )
        host, port = address.split(":")
        with self.assertRaises(OSError):
            await other.open(host, int(port))
