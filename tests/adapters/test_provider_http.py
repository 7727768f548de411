import asyncio
import unittest

from carobspring.adapters.provider_http import ProviderClient, ProviderError
from carobspring.domain import Address

HEADERS = (("Content-Type", "application/json"),)


class ProviderClientTests(unittest.IsolatedAsyncioTestCase):
    """Calls to a provider on a loopback address."""

    async def start_provider(self, response):
        """Return a client of a provider that sends the same response."""
        self.requests = []
        self.ends = asyncio.Queue()

        async def serve(reader, writer):
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head + await reader.readexactly(2))
                writer.write(response)
                await reader.read()
                self.ends.put_nowait("closed")
            except (ConnectionError, asyncio.IncompleteReadError) as error:
                self.ends.put_nowait(type(error).__name__)
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return ProviderClient(
            address=Address(host="127.0.0.1", port=port), timeout_s=0.3
        )

    async def post(self, client, *, may_send=True):
        return await client.post("/usage", HEADERS, b"{}", may_send=lambda: may_send)

    async def test_status(self):
        """The status of the response is returned, whatever it is."""
        for status in (200, 429, 503):
            with self.subTest(status=status):
                response = b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status
                client = await self.start_provider(response)
                self.assertEqual(await self.post(client), status)
                [request] = self.requests
                self.assertTrue(request.startswith(b"POST /usage HTTP/1.1\r\n"))
                self.assertTrue(request.endswith(b"\r\n\r\n{}"))

    async def test_silent_provider(self):
        """A call that gets no response is reset, so that no rest arrives."""
        client = await self.start_provider(b"")
        with self.assertRaisesRegex(ProviderError, "no response in time"):
            await self.post(client)
        self.assertEqual(await self.ends.get(), "ConnectionResetError")

    async def test_garbage(self):
        """Bytes that are no response are an error of the call."""
        client = await self.start_provider(b"garbage\r\n\r\n")
        with self.assertRaises(ProviderError):
            await self.post(client)

    async def test_duty_lost_while_connecting(self):
        """Nothing is sent once the duty is no longer held."""
        client = await self.start_provider(b"")
        with self.assertRaisesRegex(ProviderError, "no longer held"):
            await self.post(client, may_send=False)
        self.assertEqual(self.requests, [])

    async def test_unreachable(self):
        """A provider that does not listen is an error of the call."""
        client = await self.start_provider(b"")
        client = ProviderClient(
            address=Address(host="127.0.0.1", port=1), timeout_s=0.3
        )
        with self.assertRaises(ProviderError):
            await self.post(client)


if __name__ == "__main__":
    unittest.main()
