import asyncio
import dataclasses
import time
import unittest

from carobspring import platform
from carobspring.domain.routes import Repeatability
from carobspring.gateway.directory import ListedServer
from carobspring.ports import IncompleteResponseError, RequestWithheldError
from tests.gateway.fakes import (
    REQUEST_ID,
    RESPONSE_HEADERS,
    STREAM_HEADERS,
    FakeClient,
    GatewayHarness,
    build_event,
    build_incomplete_error,
)

SUCCESS = (200, RESPONSE_HEADERS, [b"answer"])
NOT_RUN = ("Carobspring-Not-Executed", "1")
ONCE = Repeatability.ONCE
RESUMABLE = Repeatability.RESUMABLE_STREAM


def build_rejection(rest, *, not_run=True):
    headers = (("Retry-After", rest), *((NOT_RUN,) if not_run else RESPONSE_HEADERS))
    return (503, headers, [])


class RestTests(unittest.IsolatedAsyncioTestCase):
    async def test_resting_server_is_left_out(self):
        """A server that asked for rest gets no further request."""
        for not_run in (True, False):
            with self.subTest(not_run=not_run):
                rejection = build_rejection("3", not_run=not_run)
                gateway = GatewayHarness([rejection], [SUCCESS])
                for _ in range(4):
                    response = await gateway.call()
                    self.assertEqual(response.status, 200)
                self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 4})

    async def test_responses_that_ask_for_no_rest(self):
        """Only a rejection of the server itself counts."""
        foreign = (421, (("Retry-After", "3"),), [])
        cases = {
            "another server's": foreign,
            "no number": build_rejection("soon"),
            "negative": build_rejection("-1"),
            "none": (503, (NOT_RUN,), []),
        }
        for name, script in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness([script], [SUCCESS])
                await gateway.call()
                server = gateway.servers["s1"]
                now = asyncio.get_running_loop().time()
                self.assertIs(gateway.dispatcher.may_send(server, now), True)

    async def test_response_of_another_server(self):
        """It tells that the server isn't at its address, for this request."""
        cases = {
            "without an identifier": ((), ["s1"]),
            "with the request's": (RESPONSE_HEADERS, ["s1"]),
            "to an earlier request": ((("Carobspring-Attempt-Id", "e"),), []),
        }
        for name, (headers, misdirected) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness([(421, headers, [])], [SUCCESS])
                response = await gateway.call()
                self.assertEqual(response.status, 200)
                names = [server.server_id for server in gateway.misdirected]
                self.assertEqual(names, misdirected)

    async def test_response_that_names_another_request(self):
        """It tells nothing of who is at the address now."""
        gateway = GatewayHarness([SUCCESS])
        recorder = gateway.api._context.announcements
        for request_id, expected in (("e", []), (REQUEST_ID, ["s1"])):
            with self.subTest(request_id):
                metadata = platform.ResponseMetadata(request_id=request_id)
                recorder.record(
                    metadata,
                    gateway.servers["s1"],
                    status=421,
                    request_id=REQUEST_ID,
                )
                names = [server.server_id for server in gateway.misdirected]
                self.assertEqual(names, expected)

    async def test_rejection_shows_who_is_there(self):
        """A full server that names the request has its address still."""
        for headers, expected in (
            ((NOT_RUN, RESPONSE_HEADERS[0]), True),
            ((NOT_RUN,), False),
        ):
            with self.subTest(headers=headers):
                gateway = GatewayHarness([(503, headers, [])], [SUCCESS])
                await gateway.call()
                now = asyncio.get_running_loop().time()
                server = gateway.servers["s1"]
                is_serving = gateway.dispatcher.is_serving(server, now)
                self.assertIs(is_serving, expected)

    async def test_short_rest_is_waited_for(self):
        """A request that can still meet its target waits for the server."""
        script = [build_rejection("0.2"), SUCCESS]
        gateway = GatewayHarness(script, target_ms=1000)
        await gateway.call()
        started_at = time.monotonic()
        response = await gateway.call()
        self.assertEqual(response.status, 200)
        self.assertLess(time.monotonic() - started_at, 0.4)
        self.assertEqual(gateway.count_requests(), {"s1": 2})

    async def test_all_servers_rest(self):
        """A request that can't meet its target is told when to come again."""
        gateway = GatewayHarness(
            [build_rejection("0.5")], [build_rejection("0.6")], target_ms=300
        )
        await gateway.call()
        response = await gateway.call()
        self.assertEqual(
            (response.status, response.body), (503, b'{"error":"resting"}')
        )
        self.assertGreater(float(response.retry_after), 0.45)
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 1})

    async def test_request_that_waited_for_a_permit(self):
        """It goes elsewhere if the server asks for rest meanwhile."""
        limited = (200, (*RESPONSE_HEADERS, ("Server-Limit", "2")), [b"answer"])
        gateway = GatewayHarness([limited], [SUCCESS])
        gateway.admission_client.permit_waits = {"s1": 0.0}
        await gateway.call()
        granted = gateway.admission_client.permit_event = asyncio.Event()
        calling = asyncio.create_task(gateway.call())
        await asyncio.sleep(0.01)
        now = asyncio.get_running_loop().time()
        gateway.dispatcher.record_rest(gateway.servers["s1"], 3.0, now)
        granted.set()
        response = await calling
        self.assertEqual(response.status, 200)
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 1})
        self.assertIn(("s1", "9c41"), gateway.admission_client.released)

    async def test_request_that_waited_for_a_connection(self):
        """It is withheld, and goes elsewhere without counting as run."""

        class SlowClient(FakeClient):
            async def send(self, request):
                await asyncio.sleep(0.02)
                if not request.may_send():
                    raise RequestWithheldError(reason="withheld")
                return await super().send(request)

        for kind in (ONCE, Repeatability.IDEMPOTENT):
            with self.subTest(kind=kind):
                gateway = GatewayHarness([], [SUCCESS], repeatability=kind)
                slow = gateway.clients["s1"] = SlowClient([SUCCESS])
                calling = asyncio.create_task(gateway.call())
                await asyncio.sleep(0.01)
                now = asyncio.get_running_loop().time()
                gateway.dispatcher.record_rest(gateway.servers["s1"], 3.0, now)
                response = await calling
                self.assertEqual((response.status, slow.requests), (200, []))
        with self.subTest("no other server"):
            gateway = GatewayHarness([])
            slow = gateway.clients["s1"] = SlowClient([SUCCESS])
            calling = asyncio.create_task(gateway.call())
            await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            gateway.dispatcher.record_rest(gateway.servers["s1"], 3.0, now)
            response = await calling
            self.assertEqual((response.status, slow.requests), (503, []))

    async def test_log_lines(self):
        """One line tells of the rest, and one of the return."""
        gateway = GatewayHarness([build_rejection("0.05"), SUCCESS], target_ms=1000)
        with self.assertLogs("carobspring.gateway.announcements") as logs:
            for _ in range(3):
                await gateway.call()
        lines = [(line.message, line.server, line.request) for line in logs.records]
        self.assertEqual(
            lines,
            [
                ("backend server set aside", "s1", "9c41"),
                ("backend server returns from rest", "s1", "9c41"),
            ],
        )


class LeaveTests(unittest.IsolatedAsyncioTestCase):
    LEAVING = ("Server-Leaving", "1")

    async def test_every_answer_counts(self):
        """No further request goes to a server that said that it leaves."""
        headers = (*RESPONSE_HEADERS, self.LEAVING)
        stream_headers = (*STREAM_HEADERS, self.LEAVING)
        broken = [build_event(1), build_incomplete_error()]
        cases = {
            # name: (script, kind, whether the server leaves)
            "a body": ((200, headers, [b"x"]), ONCE, True),
            "an error": ((500, headers, [b"x"]), ONCE, True),
            "a client's error": ((404, headers, [b"x"]), ONCE, True),
            "a rejection": ((503, (NOT_RUN, self.LEAVING), []), ONCE, True),
            "a stream": ((200, stream_headers, [build_event(1)]), RESUMABLE, True),
            "a broken stream": ((200, stream_headers, broken), RESUMABLE, True),
            "a truncated body": ((200, headers, broken[1:]), ONCE, True),
            "another server's": ((421, (self.LEAVING,), []), ONCE, False),
            "another value": (
                (200, (*RESPONSE_HEADERS, ("Server-Leaving", "0")), [b"x"]),
                ONCE,
                False,
            ),
        }
        for name, (script, kind, leaves) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness([script], [SUCCESS], repeatability=kind)
                await gateway.call()
                now = asyncio.get_running_loop().time()
                may_send = gateway.dispatcher.may_send(gateway.servers["s1"], now)
                self.assertIs(may_send, not leaves)
                for _ in range(2):
                    await gateway.call()
                if leaves:
                    self.assertEqual(gateway.count_requests()["s1"], 1)

    async def test_streams_that_run_go_on(self):
        """What runs at a leaving server is brought to its end."""
        headers = (*STREAM_HEADERS, self.LEAVING)
        going_on = asyncio.Event()
        script = (200, headers, [build_event(1), going_on, build_event(2)])
        gateway = GatewayHarness([script], [SUCCESS], repeatability=RESUMABLE)
        calling = asyncio.create_task(gateway.call())
        await asyncio.sleep(0.05)
        going_on.set()
        response = await calling
        self.assertEqual(response.body, build_event(1) + build_event(2))
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 0})

    async def test_end_is_no_crash(self):
        """A server that leaves and ends its connections has not crashed."""
        ended = IncompleteResponseError(reason="reset", peer_ended=True)
        for leaving, strikes in (((), 1), ((self.LEAVING,), 0)):
            with self.subTest(leaving=leaving):
                first = (200, (*RESPONSE_HEADERS, *leaving), [b"x"])
                gateway = GatewayHarness([first, ended], [SUCCESS])
                gateway.crash_detector.handle_listed(gateway.listings["s1"])
                calling = asyncio.create_task(gateway.call())
                await calling
                # It goes on to check in as ready.
                gateway.crash_detector.handle_listed(gateway.listings["s1"])
                gateway.clients["s1"].is_down = True
                gateway.dispatcher.remove_server("s1")
                server = gateway.servers["s1"]
                run = gateway.crash_detector.begin(server, lambda: (("", "d"),))
                gateway.crash_detector.end_broken(run)
                await gateway.crash_detector.investigate(server)
                later = ListedServer(
                    server=dataclasses.replace(server, boot=2), draining=False
                )
                gateway.crash_detector.handle_listed(later)
                self.assertEqual(len(gateway.crash_detector.list_strikes()), strikes)
