import asyncio
import unittest

import aiohttp

from standins.backend_server import StandInServer
from standins.deployment import open_client, wait_until
from standins.instances import find_free_network
from standins.kept_caller import KeptCaller
from standins.odd_continuations import ODD_CONTINUATIONS, OWN_ANSWERS


class BackendServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        ip = f"127.{find_free_network()}.200.1"
        self.server = StandInServer(
            service="svc", ip=ip, controls=["http://127.0.0.1:1"]
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.client = await self.enterAsyncContext(open_client(5))

    async def call(self, path, **headers):
        """Return the status, receipt and body of a response."""
        headers = {
            "Carobspring-Attempt-Id": "a1",
            "Carobspring-Expected-Instance": self.server.server_id,
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{self.server.address}{path}"
        async with self.client.get(url, headers=headers) as response:
            signature = response.headers.get("Carobspring-Upstream-Signature", "")
            return response.status, signature, await response.text()

    async def test_lasting_requests(self):
        """A request lasts as long as its path says; its run is recorded."""
        for kind in ("book", "stream"):
            with self.subTest(kind):
                await self.call(f"/{kind}/lasting/0.2")
                run = self.server.runs[-1]
                self.assertGreaterEqual(run.ended_at - run.started_at, 0.2)
                self.assertIs(run.is_sound, True)

    async def test_runs_that_are_given_up(self):
        """A run is sound unless its server is faulty or goes down."""
        for name, is_sound in {"caller": True, "server": False}.items():
            with self.subTest(name):
                call = asyncio.create_task(self.call("/book/lasting/5"))

                async def is_at_work():
                    return self.server.runs and self.server.runs[-1].ended_at is None

                await wait_until(is_at_work, "the server is at work")
                if is_sound:
                    call.cancel()
                else:
                    self.server.break_down()
                with self.assertRaises((aiohttp.ClientError, asyncio.CancelledError)):
                    await call
                run = self.server.runs[-1]

                async def has_ended(run=run):
                    return run.ended_at is not None

                await wait_until(has_ended, "the run has ended")
                self.assertIs(run.is_sound, is_sound)

    async def test_faulty_runs(self):
        """Runs of a faulty server, and broken streams, are not sound."""
        self.server.fault = "error"
        await self.call("/book/x")
        self.server.fault = ""
        self.server.cut_after_events = 1
        with self.assertRaises(aiohttp.ClientError):
            await self.call("/stream/x")
        self.assertEqual([run.is_sound for run in self.server.runs], [False, False])

    async def test_odd_continuations(self):
        """Only requests that go on with a stream get an odd response."""
        whole = await self.call("/stream/x")
        rest = await self.call("/stream/x", Last_Event_Id="2")
        for name in ODD_CONTINUATIONS:
            if "without end" in name:
                continue
            with self.subTest(name):
                self.server.odd_continuation = name
                self.assertEqual(await self.call("/stream/x"), whole)
                odd = await self.call("/stream/x", Last_Event_Id="2")
                self.assertNotEqual(odd, rest)

    async def test_streams_that_callers_take_up(self):
        """A caller's own resumption gets no response that may be right."""
        _, _, rest = await self.call("/stream/x", Last_Event_Id="2")
        for name in ODD_CONTINUATIONS:
            if "without end" in name:
                continue
            with self.subTest(name):
                self.server.odd_continuation = name
                _, signature, body = await self.call(
                    "/stream/x", Last_Event_Id="2", Carobspring_Attempt_Id="a2"
                )
                is_whole = body == rest and bool(signature)
                self.assertIs(is_whole, name in OWN_ANSWERS)


class KeptCallerTests(unittest.IsolatedAsyncioTestCase):
    async def test_response_that_breaks_off(self):
        """What came of a response is kept, and its status is none."""
        event = b"id: 1\ndata: 1 v1\n\n"

        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            head = (
                b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n"
                b"Carobspring-Upstream-Signature: i-1.k-0\r\n\r\n"
            )
            writer.write(head + event)
            await writer.drain()
            server.close()
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        sent = []
        caller = KeptCaller(
            url=f"http://127.0.0.1:{port}",
            paths=("/stream/x",),
            name="k",
            on_send=sent.append,
        )
        [result] = await caller.run()
        self.assertEqual(
            (result.attempt_id, result.path, result.status, result.signature),
            ("k-0", "/stream/x", 0, "i-1.k-0"),
        )
        self.assertEqual(result.body, event)
        # The second one met nobody.
        self.assertEqual(sent, ["k-0", "k-1"])
