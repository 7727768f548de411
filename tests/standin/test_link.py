import asyncio
import contextlib
import unittest

from standins.link import Link

SILENCE_S = 0.2


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.echo = await asyncio.start_server(self.repeat, "127.0.0.1", 0)
        port = self.echo.sockets[0].getsockname()[1]
        self.link = Link(target_host="127.0.0.1", target_port=port, delay_s=0.001)
        await self.link.start()
        self.writers = []
        self.repeaters = []

    async def asyncTearDown(self):
        for writer in self.writers:
            writer.close()
        await self.link.close()
        self.echo.close()
        await asyncio.gather(*self.repeaters)

    async def repeat(self, reader, writer):
        self.repeaters.append(asyncio.current_task())
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(100):
                writer.write(data)
        writer.close()

    async def connect(self):
        connection = await asyncio.open_connection("127.0.0.1", self.link.port)
        self.writers.append(connection[1])
        return connection

    async def ask(self, connection):
        connection[1].write(b"ping")
        try:
            async with asyncio.timeout(SILENCE_S):
                return await connection[0].read(100)
        except TimeoutError:
            return None

    async def test_silent_faults(self):
        """Forgotten and cut connections go silent and are not closed."""
        old = await self.connect()
        self.assertEqual(await self.ask(old), b"ping")
        self.link.silence_connections()
        new = await self.connect()
        self.assertIsNone(await self.ask(old))
        self.assertEqual(await self.ask(new), b"ping")
        self.link.cut()
        self.assertIsNone(await self.ask(new))
        self.link.heal()
        self.assertIsNone(await self.ask(new))
        self.assertEqual(await self.ask(await self.connect()), b"ping")
