import asyncio
import unittest

from standins.link import Link

CHUNKS = [b"%04d " % number for number in range(400)]


class LinkOrderTests(unittest.IsolatedAsyncioTestCase):
    async def test_order_of_chunks(self):
        """A connection with delay and jitter keeps the order of its bytes."""

        async def send(reader, writer):
            for chunk in CHUNKS:
                writer.write(chunk)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            writer.close()

        server = await asyncio.start_server(send, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = Link(
            target_host="127.0.0.1", target_port=port, delay_s=0.005, jitter_s=0.02
        )
        await link.start()
        self.addAsyncCleanup(link.close)
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
        received = await reader.read()
        writer.close()
        server.close()
        self.assertEqual(received, b"".join(CHUNKS))
