"""Answers that must not reach a caller as complete, with real programs."""

import asyncio
import itertools
import unittest

import aiohttp

from standins.deployment import Deployment, open_client, wait_until
from standins.instances import InstanceSet, find_free_network
from standins.operator import Operator, build_configuration
from standins.raw_server import RawServer, find_header, reset

LIMITS = {"max_header_bytes": 16_384, "max_body_bytes": 4 * 1024 * 1024}
#: A body that fits one write, one that is written together with its head, and
#: one that is written for as long as the server reads.
UPLOAD_SIZES = (1_000, 60_000, 3 * 1024 * 1024)
#: Bytes of the answer that come before it breaks off.
PART_SIZES = (10, 5_000, 200_000)
ROUTES = ("read", "book", "stream")
ODD_STATUSES = ("000", "099", "600", "999", "20", "2000", "+20", "2 0")
BLOCK_BYTES = 64 * 1024


class EarlyAnswerTestCase(unittest.IsolatedAsyncioTestCase):
    """One instance with both programs, and one server that answers oddly."""

    async def asyncSetUp(self):
        deployment = await self.enterAsyncContext(Deployment())
        self.client = await self.enterAsyncContext(open_client(30))
        network = find_free_network()
        instances = InstanceSet(
            deployment, network=network, zones="a", diskless_entries=0
        )
        await instances.start_all()
        [self.instance] = instances.instances
        self.controls = [self.instance.control_url]
        self.numbers = itertools.count(1)
        self.server = RawServer(
            service="svc", ip=f"127.{network}.200.1", controls=self.controls
        )
        self.server.answer = self.answer_in_order
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        operator = Operator(self.controls, self.client)
        await operator.put(build_configuration(1, limits=LIMITS))

    async def answer_in_order(self, head, reader, writer):
        await reader.readexactly(int(find_header(head, "Content-Length") or 0))
        events = b"id: 1\ndata: x\n\n"
        lines = [f"Content-Length: {len(events)}"]
        if head.startswith("POST /stream/"):
            lines.append("Content-Type: text/event-stream")
        writer.write(self.server.build_head(head, *lines) + events)
        await writer.drain()

    async def call(self, path, body=b""):
        """Return status and body, or zero if the answer was cut."""
        headers = {
            "Host": "shop.example",
            "Carobspring-Attempt-Id": f"e{next(self.numbers)}",
            "Carobspring-Deadline-Ms": "5000",
            "Authorization": "Bearer key-1",
            "Connection": "close",
        }
        url = self.instance.frontend_url + path
        try:
            async with self.client.post(url, headers=headers, data=body) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    async def call_oddly(self, answer, path, body=b""):
        """Call once while the server answers oddly; return what came.

        Answers in order come before, so that the entry uses the server.
        """

        async def is_served():
            return (await self.call(path))[0] == 200

        await wait_until(is_served, "the server is used")
        self.server.answer = answer
        try:
            return await self.call(path, body)
        finally:
            self.server.answer = self.answer_in_order


class BrokenUploadTests(EarlyAnswerTestCase):
    """Servers that answer an upload early, without a length, and break off."""

    def build_answer(self, *, part, how, delay_s=0.0):
        async def answer(head, reader, writer):
            writer.write(self.server.build_head(head) + b"x" * part)
            if how == "end while it arrives":
                writer.write_eof()
            await asyncio.sleep(delay_s)
            if how == "reset while it arrives":
                await reader.read(BLOCK_BYTES)
            reset(writer)

        return answer

    async def check(self, how):
        for size, part, route, delay_s in itertools.product(
            UPLOAD_SIZES, PART_SIZES, ROUTES, (0.0, 0.05)
        ):
            with self.subTest(size=size, part=part, route=route, delay_s=delay_s):
                answer = self.build_answer(part=part, how=how, delay_s=delay_s)
                path = f"/{route}/x"
                status, body = await self.call_oddly(answer, path, bytes(size))
                self.assertNotEqual(status, 200, f"got {len(body)} bytes as complete")

    async def test_reset_at_once(self):
        """A part that a reset ends is no answer, whatever was uploaded."""
        await self.check("reset at once")

    async def test_reset_while_it_arrives(self):
        """A reset during the upload ends the answer as incomplete."""
        await self.check("reset while it arrives")

    async def test_end_before_the_upload_is_read(self):
        """An end that comes before a long upload was read proves nothing."""
        size = UPLOAD_SIZES[-1]
        for part, route in itertools.product(PART_SIZES, ROUTES):
            with self.subTest(part=part, route=route):
                answer = self.build_answer(part=part, how="end while it arrives")
                path = f"/{route}/x"
                status, body = await self.call_oddly(answer, path, bytes(size))
                self.assertNotEqual(status, 200, f"got {len(body)} bytes as complete")


class OddStatusTests(EarlyAnswerTestCase):
    """Servers in trouble that answer with a status that HTTP doesn't have."""

    async def test_odd_statuses(self):
        """No caller gets an answer whose status is not one of HTTP."""
        for odd, route in itertools.product(ODD_STATUSES, ROUTES):
            with self.subTest(status=odd, route=route):

                async def answer(head, reader, writer, odd=odd):
                    head = self.server.build_head(
                        head, "Content-Length: 3", status=f"{odd} Odd"
                    )
                    writer.write(head + b"odd")
                    await writer.drain()
                    await reader.read(1)

                status, body = await self.call_oddly(answer, f"/{route}/x")
                self.assertEqual(status, 502, body)


if __name__ == "__main__":
    unittest.main()
