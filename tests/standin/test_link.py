import asyncio
import contextlib
import unittest

from standins.link import Link

REPLY_TIMEOUT_S = 0.2


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.echo_server = await asyncio.start_server(self.echo_data, "127.0.0.1", 0)
        port = self.echo_server.sockets[0].getsockname()[1]
        self.link = Link(target_host="127.0.0.1", target_port=port, delay_s=0.001)
        await self.link.start()
        self.writers = []
        self.echo_tasks = []

    async def asyncTearDown(self):
        for writer in self.writers:
            writer.close()
        await self.link.close()
        self.echo_server.close()
        await asyncio.gather(*self.echo_tasks)

    async def echo_data(self, reader, writer):
        self.echo_tasks.append(asyncio.current_task())
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(100):
                writer.write(data)
        writer.close()

    async def connect(self):
        connection = await asyncio.open_connection("127.0.0.1", self.link.port)
        self.writers.append(connection[1])
        return connection

    async def ping(self, connection):
        connection[1].write(b"ping")
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await connection[0].read(100)
        except TimeoutError:
            return None

    async def test_silent_faults(self):
        """Silenced and cut connections deliver nothing but stay open."""
        old = await self.connect()
        self.assertEqual(await self.ping(old), b"ping")
        self.link.silence_connections()
        new = await self.connect()
        self.assertIsNone(await self.ping(old))
        self.assertEqual(await self.ping(new), b"ping")
        self.link.cut()
        self.assertIsNone(await self.ping(new))
        self.link.heal()
        self.assertIsNone(await self.ping(new))
        self.assertEqual(await self.ping(await self.connect()), b"ping")

    async def test_held_bytes(self):
        """Held bytes arrive in order once released, new connections too."""
        old = await self.connect()
        self.assertEqual(await self.ping(old), b"ping")
        self.link.hold()
        new = await self.connect()
        for connection in (old, new):
            connection[1].write(b"1")
            self.assertIsNone(await self.ping(connection))
        self.link.release()
        for connection in (old, new):
            self.assertEqual(await connection[0].readexactly(5), b"1ping")
