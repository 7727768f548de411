import asyncio
import unittest

from carobspring.domain import ServiceKind
from carobspring.domain.routes import EngineTraits, KeyOwner, Repeatability
from carobspring.gateway.relay import MAX_BUFFERED_BYTES
from carobspring.ports import BackendUnreachableError, IncompleteResponseError
from tests.gateway.fakes import (
    REQUEST_ID,
    RESPONSE_HEADERS,
    STREAM_HEADERS,
    FakeClient,
    FakeResponder,
    GatewayHarness,
    build_event,
    build_incomplete_error,
)

ENGINE = EngineTraits(slots=64, kv_capacity_tokens=300_000)
ONCE = Repeatability.ONCE
IDEMPOTENT = Repeatability.IDEMPOTENT
RESUMABLE = Repeatability.RESUMABLE_STREAM
STREAM_ONCE = Repeatability.STREAM_ONCE

SUCCESS = (200, RESPONSE_HEADERS, [b"an", b"swer"])
SHED = (503, (("Carobspring-Not-Executed", "1"),), [])
MISDIRECTED = (421, (("Carobspring-Upstream-Instance", "i-2"),), [])
SERVER_ERROR = (500, RESPONSE_HEADERS, [b"failed"])
TRUNCATED = (200, RESPONSE_HEADERS, [b"an", build_incomplete_error()])
OTHER_REQUEST = (200, (("Carobspring-Attempt-Id", "other"),), [b"not yours"])
NO_REQUEST_ID = (200, (), [b"whose"])
UNREACHABLE = BackendUnreachableError(reason="refused")


class RetryTests(unittest.IsolatedAsyncioTestCase):
    async def test_retries_by_outcome(self):
        """A request is retried only if its kind and the outcome allow it."""
        cases = {
            # name: (kind, first server's script, sends, status, body)
            "success": (ONCE, SUCCESS, (1, 0), 200, b"answer"),
            "shed": (ONCE, SHED, (1, 1), 200, b"answer"),
            "misdirected": (ONCE, MISDIRECTED, (1, 1), 200, b"answer"),
            "nothing sent": (ONCE, UNREACHABLE, (1, 1), 200, b"answer"),
            "once, no response": (ONCE, build_incomplete_error(), (1, 0), 502, None),
            "once, truncated": (ONCE, TRUNCATED, (1, 0), 502, None),
            "once, failure": (ONCE, SERVER_ERROR, (1, 0), 500, b"failed"),
            "once, other request's response": (ONCE, OTHER_REQUEST, (1, 0), 502, None),
            "once, no request id": (ONCE, NO_REQUEST_ID, (1, 0), 502, None),
            "repeatable, no response": (
                IDEMPOTENT,
                build_incomplete_error(),
                (1, 1),
                200,
                b"answer",
            ),
            "repeatable, truncated": (IDEMPOTENT, TRUNCATED, (1, 1), 200, b"answer"),
            "repeatable, failure": (IDEMPOTENT, SERVER_ERROR, (1, 1), 200, b"answer"),
            "repeatable, other request's": (
                IDEMPOTENT,
                OTHER_REQUEST,
                (1, 1),
                200,
                b"answer",
            ),
            "stream once, no response": (
                STREAM_ONCE,
                build_incomplete_error(),
                (1, 0),
                502,
                None,
            ),
            "resumable, no response": (
                RESUMABLE,
                build_incomplete_error(),
                (1, 1),
                200,
                b"answer",
            ),
        }
        for name, (kind, script, sends, status, body) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness([script], [SUCCESS], repeatability=kind)
                response = await gateway.call()
                self.assertEqual(tuple(gateway.count_requests().values()), sends)
                self.assertEqual(response.status, status)
                if body is not None:
                    self.assertEqual(response.body, body)

    async def test_refusal_means_not_run(self):
        """The gateway sends 503 only if no server can have run the request."""
        cases = {
            "all shed": (IDEMPOTENT, [SHED], [SHED], 503, True),
            "all unreachable": (ONCE, [UNREACHABLE], [UNREACHABLE], 503, True),
            "one possibly ran it": (
                IDEMPOTENT,
                [build_incomplete_error()],
                [SHED],
                502,
                False,
            ),
            "server error, then shed": (IDEMPOTENT, [SERVER_ERROR], [SHED], 500, False),
        }
        for name, (kind, first, second, status, has_retry_after) in cases.items():
            with self.subTest(name):
                response = await GatewayHarness(
                    first, second, repeatability=kind
                ).call()
                self.assertEqual(response.status, status)
                self.assertIs(response.retry_after is not None, has_retry_after)

    async def test_refusal_of_an_earlier_request(self):
        """A refusal that is no last word neither refuses nor repeats.

        The server writes one of an earlier request before its own answer.
        """
        own_shed = (503, (*RESPONSE_HEADERS[:1], SHED[1][0]), [])
        own_misdirected = (421, RESPONSE_HEADERS[:1], [])
        health = (200, (("Carobspring-Upstream-Instance", "i-1"),), [])
        unidentified = (400, SHED[1], [])
        cases = {
            # name: (first response, those behind it, sends, status)
            "answer behind": (SHED, [SUCCESS], (1, 0), 200),
            "421, answer behind": (MISDIRECTED, [SUCCESS], (1, 0), 200),
            "two, answer behind": (SHED, [SHED, SUCCESS], (1, 0), 200),
            "failure behind": (SHED, [SERVER_ERROR], (1, 0), 500),
            "own refusal behind": (SHED, [own_shed], (1, 1), 200),
            "last word": (SHED, [unidentified, SUCCESS], (1, 1), 200),
            "last word, check served": (SHED, [health, SUCCESS], (1, 1), 200),
            "last word, check refused": (SHED, [SHED, SHED], (1, 1), 200),
            "connection ended": (SHED, [], (1, 1), 200),
            "nobody can tell": (SHED, [build_incomplete_error()], (1, 0), 502),
            "with the identifier": (own_shed, [build_incomplete_error()], (1, 1), 200),
            "421 with the identifier": (
                own_misdirected,
                [build_incomplete_error()],
                (1, 1),
                200,
            ),
        }
        for name, (first, behind, sends, status) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness(
                    [(*first, behind)], [SUCCESS], repeatability=ONCE
                )
                response = await gateway.call()
                self.assertEqual(tuple(gateway.count_requests().values()), sends)
                self.assertEqual(response.status, status)

    async def test_refusal_that_may_repeat(self):
        """A request that may be repeated isn't told either that none ran."""
        doubtful = (*SHED, [build_incomplete_error()])
        cases = {
            "answer behind": ((*SHED, [SUCCESS]), SHED, (1, 0), 200),
            "goes on elsewhere": (doubtful, SUCCESS, (1, 1), 200),
            "refused elsewhere": (doubtful, SHED, (1, 1), 502),
            "refused everywhere": (SHED, SHED, (1, 1), 503),
        }
        for name, (first, second, sends, status) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness([first], [second], repeatability=IDEMPOTENT)
                response = await gateway.call()
                self.assertEqual(tuple(gateway.count_requests().values()), sends)
                self.assertEqual(response.status, status)

    async def test_max_attempts(self):
        """A request runs on no more servers than its route allows."""
        scripts = [[build_incomplete_error()]] * 4
        for attempts, expected in ((1, 1), (2, 2), (3, 3)):
            with self.subTest(attempts=attempts):
                gateway = GatewayHarness(*scripts, attempts=attempts)
                await gateway.call()
                self.assertEqual(sum(gateway.count_requests().values()), expected)

    async def test_time_left_for_a_retry(self):
        """A second server is handed what the first one left of the time."""

        class SlowClient(FakeClient):
            async def send(self, request):
                await asyncio.sleep(0.2)
                return await super().send(request)

        gateway = GatewayHarness([], [SUCCESS])
        gateway.clients["s1"] = SlowClient([build_incomplete_error()])
        await gateway.call()
        first, second = (
            int(dict(client.requests[0].headers)["Carobspring-Deadline-Ms"])
            for client in gateway.clients.values()
        )
        self.assertLessEqual(second, first - 199)

    async def test_rank_is_forwarded_to_engines(self):
        """An engine is told the rank of a request, and a plain service not."""
        for engine, expected in ((ENGINE, "0"), (None, None)):
            with self.subTest(engine=engine):
                gateway = GatewayHarness([SUCCESS], engine=engine)
                await gateway.call()
                (sent,) = gateway.clients["s1"].requests
                rank = dict(sent.headers).get("Carobspring-Request-Priority")
                self.assertEqual(rank, expected)

    async def test_ranks_past_the_levels_of_engines(self):
        """An engine is told apart tenants whose ranks it has no level for."""
        owners = tuple(
            KeyOwner(name=f"w{priority}", keys=(f"k{priority}",), priority=priority)
            for priority in (9, 10, 11)
        )
        ranks = []
        for owner in owners:
            gateway = GatewayHarness([SUCCESS], engine=ENGINE, owners=owners)
            key = ("Authorization", f"Bearer {owner.keys[0]}")
            await gateway.call(headers=(key,))
            (sent,) = gateway.clients["s1"].requests
            ranks.append(int(dict(sent.headers)["Carobspring-Request-Priority"]))
        self.assertEqual(ranks, [1, 2, 3])

    async def test_no_retry_of_a_body_that_has_begun(self):
        """Once a part of a body was sent, no other server is asked in vain."""
        large = b"x" * (MAX_BUFFERED_BYTES + 1)
        script = (200, RESPONSE_HEADERS, [large, build_incomplete_error()])
        gateway = GatewayHarness([script], [SUCCESS])
        response = await gateway.call()
        self.assertEqual(response.ended, "aborted")
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 0})

    async def test_retry_budget_is_used_up(self):
        """A request is not retried once the retry budget is used up."""
        gateway = GatewayHarness([build_incomplete_error()], [SUCCESS], retry_slack=0.0)
        response = await gateway.call()
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 0})
        self.assertEqual(response.status, 502)

    async def test_forwarded_request(self):
        """Path, query and body are unchanged, and the deadline is updated."""
        gateway = GatewayHarness([SUCCESS], timeout_ms=2000)
        await gateway.call(headers=(("Carobspring-Tenant", "forged"),))
        (sent,) = gateway.clients["s1"].requests
        headers = dict(sent.headers)
        self.assertEqual(
            (sent.method, sent.path, sent.body), ("POST", "/a/x?q=1", b"body")
        )
        self.assertNotIn("Carobspring-Tenant", headers)
        self.assertEqual(headers["Carobspring-Expected-Instance"], "s1")
        self.assertLessEqual(int(headers["Carobspring-Deadline-Ms"]), 2000)

    async def test_load_with_further_figures(self):
        """A full server is avoided whether or not it reports a speed."""
        for load in ("9,9,1", "9,9,1,150", "9,9,1,x", "9,9,1,150,7"):
            with self.subTest(load):
                headers = (*RESPONSE_HEADERS, ("Carobspring-Upstream-Load", load))
                full = (200, headers, [b"full"])
                gateway = GatewayHarness([full], [SUCCESS], kind=ServiceKind.MODEL)
                await gateway.call()
                await gateway.call()
                self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 1})

    async def test_expected_output_and_maximum(self):
        """Placement knows the maximum of the output as well as the hint.

        The memory that a request may need is bounded by the maximum.
        """
        gateway = GatewayHarness([SUCCESS])
        queries = []
        record_sent = gateway.dispatcher.record_sent

        def record(placement, query, now):
            queries.append(query)
            record_sent(placement, query, now)

        gateway.dispatcher.record_sent = record
        headers = (
            ("Carobspring-Token-Usage", "1460,80"),
            ("Carobspring-Output-Length-Hint", "90"),
        )
        await gateway.call(headers=headers)
        (query,) = queries
        self.assertEqual((query.output_tokens, query.max_output_tokens), (90, 80))


class LogTests(unittest.IsolatedAsyncioTestCase):
    async def test_digest_of_failed_attempts(self):
        """A resent request has another identifier and the same digest."""
        error = IncompleteResponseError(reason="reset", peer_ended=True)
        calls = (
            {},
            {"headers": (("Carobspring-Attempt-Id", "other"),)},
            {"path": "/a/y"},
        )
        with self.assertLogs("carobspring.gateway.exchange", "INFO") as logs:
            for call in calls:
                await GatewayHarness([error], repeatability=ONCE).call(**call)
        records = [each for each in logs.records if each.msg == "attempt failed"]
        self.assertEqual([each.peer_ended for each in records], [True] * 3)
        digests = [each.digest for each in records]
        self.assertEqual(digests[0], digests[1])
        self.assertNotEqual(digests[0], digests[2])

    async def test_parts_of_failed_attempts(self):
        """The parts of a failed attempt's prompt are in the log."""
        gateway = GatewayHarness([(500, RESPONSE_HEADERS, [b"x"])])
        header = ("Carobspring-Prefix-Hash", "5c1e:800,91bd:410,e440:250")
        with self.assertLogs("carobspring.gateway.exchange", "INFO") as logs:
            await gateway.call(headers=(header,))
        records = [each for each in logs.records if hasattr(each, "parts")]
        self.assertEqual([each.parts for each in records], ["5c1e,91bd"])


class StreamTests(unittest.IsolatedAsyncioTestCase):
    async def test_stream_is_resumed_within_a_response(self):
        """A broken stream resumes at another server after its last event."""
        first = (
            200,
            STREAM_HEADERS,
            [build_event(1) + build_event(2)[:5], build_incomplete_error()],
        )
        # The second server repeats an event that the caller already received.
        second = (
            200,
            (*STREAM_HEADERS, ("X-From", "s2")),
            [build_event(1), build_event(2), build_event(3)],
        )
        gateway = GatewayHarness([first], [second], repeatability=RESUMABLE)
        response = await gateway.call()
        self.assertEqual(
            response.body, build_event(1) + build_event(2) + build_event(3)
        )
        self.assertEqual(
            (response.headers, response.ended), (STREAM_HEADERS, "complete")
        )
        sent = dict(gateway.clients["s2"].requests[0].headers)
        self.assertEqual(sent["Last-Event-Id"], "1")

    async def test_broken_stream_is_aborted(self):
        """A stream that can't be resumed is aborted, not ended normally."""
        cases = {
            "runs only once": (
                STREAM_ONCE,
                [(200, STREAM_HEADERS, [build_event(1), build_incomplete_error()])],
                [SUCCESS],
            ),
            "ends inside an event": (
                STREAM_ONCE,
                [(200, STREAM_HEADERS, [build_event(1), b"id: 2"])],
                [SUCCESS],
            ),
            "second server fails too": (
                RESUMABLE,
                [(200, STREAM_HEADERS, [build_event(1), build_incomplete_error()])],
                [build_incomplete_error()],
            ),
            "second response is no stream": (
                RESUMABLE,
                [(200, STREAM_HEADERS, [build_event(1), build_incomplete_error()])],
                [SUCCESS],
            ),
        }
        for name, (kind, first, second) in cases.items():
            with self.subTest(name):
                response = await GatewayHarness(
                    first, second, repeatability=kind
                ).call()
                self.assertEqual(
                    (response.body, response.ended), (build_event(1), "aborted")
                )

    async def test_failure_before_the_first_event(self):
        """Callers get nothing from a server that fails before an event."""
        first = (
            200,
            (*STREAM_HEADERS, ("X-From", "s1")),
            [b"id: 1", build_incomplete_error()],
        )
        gateway = GatewayHarness(
            [first], [(200, STREAM_HEADERS, [build_event(1)])], repeatability=RESUMABLE
        )
        response = await gateway.call()
        self.assertEqual(
            (response.headers, response.body), (STREAM_HEADERS, build_event(1))
        )

    async def test_silent_server_is_abandoned(self):
        """A resumable stream moves from a server that sends nothing."""
        first = (200, STREAM_HEADERS, [build_event(1), asyncio.Event()])
        gateway = GatewayHarness(
            [first],
            [(200, STREAM_HEADERS, [build_event(2)])],
            repeatability=RESUMABLE,
            timeout_ms=9000,
        )
        response = await gateway.call()
        self.assertEqual(
            (response.body, response.ended),
            (build_event(1) + build_event(2), "complete"),
        )
        self.assertIs(gateway.clients["s1"].responses[0].closed, True)

    async def test_silent_server_is_kept_without_retry_budget(self):
        """A silent stream keeps waiting if the retry budget is used up."""
        can_continue = asyncio.Event()
        first = (200, STREAM_HEADERS, [build_event(1), can_continue, build_event(2)])
        gateway = GatewayHarness(
            [first],
            [SUCCESS],
            repeatability=RESUMABLE,
            timeout_ms=9000,
            retry_slack=0.0,
        )
        call = asyncio.create_task(gateway.call())
        await asyncio.sleep(1.6)
        can_continue.set()
        response = await call
        self.assertEqual(
            (response.body, response.ended),
            (build_event(1) + build_event(2), "complete"),
        )
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 0})


class RequestEndTests(unittest.IsolatedAsyncioTestCase):
    async def test_time_limit(self):
        """The caller gets a final response at the route's time limit."""
        never_set = asyncio.Event()
        stream = (200, STREAM_HEADERS, [build_event(1), asyncio.Event()])
        cases = {
            "no response": (ONCE, [never_set], 504, "complete"),
            "during a stream": (STREAM_ONCE, [stream], 200, "aborted"),
        }
        for name, (kind, script, status, ended) in cases.items():
            with self.subTest(name):
                gateway = GatewayHarness(script, repeatability=kind, timeout_ms=100)
                async with asyncio.timeout(5):
                    response = await gateway.call()
                self.assertEqual((response.status, response.ended), (status, ended))

    async def test_caller_leaves(self):
        """The backend request is cancelled at once if the caller leaves."""
        stream = (200, STREAM_HEADERS, [build_event(1), asyncio.Event()])
        gateway = GatewayHarness([stream], repeatability=STREAM_ONCE, timeout_ms=60_000)
        responder = FakeResponder()
        call = asyncio.create_task(gateway.call(responder=responder))
        while not responder.body:
            await asyncio.sleep(0.001)
        responder.disconnected.set()
        await asyncio.wait_for(call, 10)
        self.assertIs(gateway.clients["s1"].responses[0].closed, True)
        self.assertEqual(len(gateway.api.open_requests), 0)


class StartupTests(unittest.IsolatedAsyncioTestCase):
    """After a power failure, an entry lists servers under outdated names."""

    async def call_then_list(self, script, uptime_s):
        """Call while only the first server is listed, then list the second."""
        gateway = GatewayHarness([script], [SUCCESS], uptime_s=uptime_s)
        gateway.dispatcher.remove_server("s2")
        call = asyncio.create_task(gateway.call())
        await asyncio.sleep(0.2)
        ended_early = call.done()
        gateway.dispatcher.add_server(gateway.servers["s2"], draining=False)
        return ended_early, (await call).status

    async def test_requests_wait_for_renamed_servers(self):
        """A request waits for new servers if all outdated ones refuse it."""
        cases = {
            "renamed, just started": (MISDIRECTED, 0.0, (False, 200)),
            "unreachable, just started": (UNREACHABLE, 0.0, (False, 200)),
            "renamed, started long ago": (MISDIRECTED, 60.0, (True, 503)),
            "overloaded, just started": (SHED, 0.0, (True, 503)),
        }
        for name, (script, uptime_s, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(await self.call_then_list(script, uptime_s), expected)


class AdmissionTests(unittest.IsolatedAsyncioTestCase):
    """Requests with long prompts request admission to an engine first."""

    async def call(self, *, admission_waits, servers=4, script=SUCCESS, prompt=3000):
        """Return the response and the gateway; a wait of 0 admits."""
        gateway = GatewayHarness(
            *[[script]] * servers,
            repeatability=RESUMABLE,
            kind=ServiceKind.MODEL,
            admission_waits=admission_waits,
        )
        headers = (("Carobspring-Token-Usage", f"{prompt},50"),)
        return await gateway.call(headers=headers), gateway

    async def test_admitted(self):
        """An admitted request is sent, and its admission is released."""
        response, gateway = await self.call(admission_waits={"s1": 0})
        self.assertEqual(
            (response.status, gateway.admission_client.asked_servers), (200, ["s1"])
        )
        self.assertIn(("s1", REQUEST_ID), gateway.admission_client.released)

    async def test_no_admission_controller(self):
        """A request is sent without admission if no controller responds."""
        response, gateway = await self.call(admission_waits={})
        self.assertEqual(
            (response.status, gateway.admission_client.asked_servers), (200, ["s1"])
        )

    async def test_short_prompts_need_no_admission(self):
        """A request with a short prompt is sent at once."""
        response, gateway = await self.call(admission_waits={"s1": 1.0}, prompt=500)
        self.assertEqual(
            (response.status, gateway.admission_client.asked_servers), (200, [])
        )

    async def test_rejected_request_tries_the_next_engine(self):
        """A request that one engine rejects requests admission to another."""
        response, gateway = await self.call(
            admission_waits={"s1": 1.0, "s2": 0, "s3": 0, "s4": 0}
        )
        self.assertEqual(response.status, 200)
        self.assertEqual(len(gateway.admission_client.asked_servers), 2)
        self.assertEqual(gateway.count_requests()["s1"], 0)

    async def test_rejected_by_all_engines(self):
        """After two rejections, or one by each engine, callers get a wait."""
        for servers, asked_count in ((4, 2), (1, 1)):
            with self.subTest(servers=servers):
                admission_waits = {"s1": 0.4, "s2": 0.6, "s3": 0.8, "s4": 0.8}
                response, gateway = await self.call(
                    admission_waits=admission_waits, servers=servers
                )
                self.assertEqual(
                    (response.status, response.body), (503, b'{"error":"overload"}')
                )
                self.assertGreaterEqual(float(response.retry_after), 0.3)
                self.assertLessEqual(float(response.retry_after), 0.5)
                self.assertEqual(
                    len(gateway.admission_client.asked_servers), asked_count
                )
                self.assertEqual(sum(gateway.count_requests().values()), 0)

    async def test_failed_send_releases_the_admission(self):
        """The admission is released at once if the engine sheds a request."""
        response, gateway = await self.call(
            admission_waits={"s1": 0, "s2": 0}, script=SHED, servers=2
        )
        self.assertEqual(response.status, 503)
        self.assertEqual(
            gateway.admission_client.released, [("s1", REQUEST_ID), ("s2", REQUEST_ID)]
        )
