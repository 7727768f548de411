import asyncio
import unittest
import unittest.mock
from dataclasses import replace

from carobspring.dispatch import quarantine
from carobspring.domain.routes import Repeatability
from carobspring.gateway.directory import ListedServer
from carobspring.ports import IncompleteResponseError
from carobspring.protocol import ViewUpdate
from tests.gateway.fakes import (
    REQUEST_ID,
    RESPONSE_HEADERS,
    STREAM_HEADERS,
    FakeResponder,
    GatewayHarness,
    build_event,
)

IDEMPOTENT = Repeatability.IDEMPOTENT
ONCE = Repeatability.ONCE
SUCCESS = (200, RESPONSE_HEADERS, [b"answer"])
ENDED = IncompleteResponseError(reason="reset", peer_ended=True)
SILENT = IncompleteResponseError(reason="TimeoutError")


class CrashTests(unittest.IsolatedAsyncioTestCase):
    def build(self, *scripts, down=(), **options):
        gateway = GatewayHarness(*scripts, **options)
        for name in down:
            gateway.clients[name].is_down = True
        return gateway

    def list_struck(self, gateway):
        return [each.server_id for each in gateway.crash_detector.list_strikes()]

    async def test_what_counts_as_a_crash(self):
        """A strike needs a connection that ended and then a refused one."""
        cases = {
            "crashed": (ENDED, ("s1",), ["s1"]),
            "still listening": (ENDED, (), []),
            "timed out": (SILENT, ("s1",), []),
        }
        for name, (error, down, expected) in cases.items():
            with self.subTest(name):
                gateway = self.build([error], down=down, repeatability=ONCE)
                response = await gateway.call()
                self.assertEqual(response.status, 502)
                self.assertEqual(self.list_struck(gateway), expected)
                self.assertEqual(gateway.report_requests, len(expected))

    async def test_planned_leaving_is_no_crash(self):
        """A draining server that ends its last connections has not crashed."""
        gateway = self.build([ENDED], down=("s1",), repeatability=ONCE)
        listed = ListedServer(server=gateway.servers["s1"], draining=True)
        gateway.listings["s1"] = listed
        await gateway.call()
        self.assertEqual(self.list_struck(gateway), [])

    async def test_request_that_crashes_servers(self):
        """After two crashes a request reaches no server, and others do."""
        gateway = self.build([ENDED], [ENDED], down=("s1", "s2"), attempts=3)
        response = await gateway.call()
        # It may have run, so the caller is not told otherwise.
        self.assertEqual(response.status, 502)
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 1})
        for client in gateway.clients.values():
            client.scripts = [SUCCESS]
        response = await gateway.call(headers=(("Carobspring-Attempt-Id", "b"),))
        self.assertEqual(response.status, 503)
        self.assertEqual(response.body, b'{"error":"quarantined"}')
        self.assertGreater(float(response.retry_after), 0.0)
        self.assertEqual(gateway.count_requests(), {"s1": 1, "s2": 1})
        response = await gateway.call(path="/a/sound")
        self.assertEqual(response.status, 200)

    async def test_strikes_of_other_entries(self):
        """A request that crashed servers elsewhere is not sent here."""
        first = self.build([ENDED], [ENDED], down=("s1", "s2"))
        await first.call()
        strikes = first.crash_detector.list_strikes()
        second = self.build([SUCCESS])
        second.crash_detector.apply_update(ViewUpdate(strikes=strikes))
        self.assertEqual((await second.call()).status, 503)
        second.crash_detector.apply_update(ViewUpdate(released=strikes))
        self.assertEqual((await second.call()).status, 200)

    async def test_popular_request_at_joined_crashes(self):
        """Crashes of two servers at once don't stop what runs elsewhere.

        The answer that is under way clears a request that was answered
        before. A new one is stopped and held back.
        """
        first = self.build([ENDED], [ENDED], down=("s1", "s2"))
        await first.call()
        strikes = first.crash_detector.list_strikes()
        for name, is_proven in (("answered before", True), ("new", False)):
            with self.subTest(name):
                gateway = self.build([SUCCESS])
                if is_proven:
                    await gateway.call()
                waiting = asyncio.Event()
                client = gateway.clients["s1"]
                answer = client.send

                async def send(request, answer=answer, waiting=waiting):
                    await waiting.wait()
                    return await answer(request)

                client.send = send
                calling = asyncio.create_task(gateway.call())
                await asyncio.sleep(0.05)
                gateway.crash_detector.apply_update(ViewUpdate(strikes=strikes))
                await asyncio.sleep(0.05)
                self.assertIs(calling.done(), not is_proven)
                waiting.set()
                status = (await calling).status
                self.assertEqual(status, 200 if is_proven else 502)
                released = gateway.crash_detector.list_released()
                self.assertEqual(len(released), 2 if is_proven else 0)
                status = (await gateway.call()).status
                self.assertEqual(status, 200 if is_proven else 503)

    async def test_success_clears_a_request(self):
        """A sound request that ran at a crash is cleared by its success."""
        gateway = self.build([ENDED], [SUCCESS], down=("s1",))
        response = await gateway.call()
        self.assertEqual(response.status, 200)
        self.assertEqual(len(gateway.crash_detector.list_released()), 1)

    async def test_strikes_that_come_during_a_wait(self):
        """A request that waits for a permit is held by what is heard then."""
        first = self.build([ENDED], [ENDED], down=("s1", "s2"))
        await first.call()
        strikes = first.crash_detector.list_strikes()
        second = self.build([SUCCESS])
        second.dispatcher.record_rate_limit(second.servers["s1"], 5.0)
        client = second.admission_client
        client.permit_waits["s1"] = 0
        client.permit_event = asyncio.Event()
        calling = asyncio.create_task(second.call())
        await asyncio.sleep(0.05)
        self.assertEqual(len(client.permit_requests), 1)
        second.crash_detector.apply_update(ViewUpdate(strikes=strikes))
        client.permit_event.set()
        self.assertEqual((await calling).status, 503)
        self.assertEqual(second.count_requests(), {"s1": 0})
        self.assertEqual(client.released, [("s1", REQUEST_ID)])

    async def test_strikes_outlive_those_who_gave_them(self):
        """An entry tells replicas that lost them of all strikes it knows."""
        first = self.build([ENDED], [ENDED], down=("s1", "s2"))
        await first.call()
        strikes = first.crash_detector.list_strikes()
        detector = self.build([SUCCESS]).crash_detector
        detector.apply_update(ViewUpdate(strikes=strikes))
        self.assertEqual(detector.list_strikes(), ())
        detector.apply_update(ViewUpdate(complete=True))
        self.assertEqual(detector.list_strikes(), strikes)

    async def test_failure_clears_nothing(self):
        """An error response does not tell what a request does that runs on."""
        failure = (500, RESPONSE_HEADERS, [b"failed"])
        gateway = self.build([ENDED], [failure], down=("s1",))
        response = await gateway.call()
        self.assertEqual(response.status, 500)
        self.assertEqual(self.list_struck(gateway), ["s1"])
        self.assertEqual(gateway.crash_detector.list_released(), ())

    async def test_crash_known_from_a_later_start(self):
        """A server that went dark is known as crashed by its next start."""
        released = asyncio.Event()
        gateway = self.build([released], repeatability=ONCE)
        detector = gateway.crash_detector
        server = gateway.servers["s1"]
        detector.handle_listed(ListedServer(server=server, draining=False))
        calling = asyncio.create_task(gateway.call())
        await asyncio.sleep(0.05)
        successor = gateway.build_server("s9", boot=2, port=server.port)
        detector.handle_listed(ListedServer(server=successor, draining=False))
        self.assertEqual(self.list_struck(gateway), ["s1"])
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)

    async def test_start_at_a_contested_address(self):
        """It proves a crash once it answers, or the other one is gone."""
        answered = (200, RESPONSE_HEADERS, [b"x"])
        cases = {
            "neither": (False, False, []),
            "it answers": (True, False, ["s1"]),
            "the other one is gone": (False, True, ["s1"]),
        }
        for name, (answers, is_gone, expected) in cases.items():
            with self.subTest(name):
                released = asyncio.Event()
                gateway = self.build([released], [answered], repeatability=ONCE)
                detector, server = gateway.crash_detector, gateway.servers["s1"]
                detector.handle_listed(ListedServer(server=server, draining=False))
                calling = asyncio.create_task(gateway.call())
                await asyncio.sleep(0.05)
                later = gateway.build_server("s2", boot=2, port=server.port)
                gateway.dispatcher.add_server(later, draining=False)
                listed = ListedServer(server=later, draining=False)
                gateway.listings["s2"] = listed
                gateway.contested.add("s2")
                detector.handle_listed(listed)
                if answers:
                    gateway.dispatcher.add_server(server, draining=True)
                    self.assertEqual((await gateway.call()).status, 200)
                if is_gone:
                    gateway.contested.clear()
                detector.apply_update(ViewUpdate())
                self.assertEqual(self.list_struck(gateway), expected)
                calling.cancel()
                await asyncio.gather(calling, return_exceptions=True)

    async def test_crash_known_after_the_lease(self):
        """A silent server is struck also if it was delisted meanwhile.

        Its next start ends the connections and is listed afterwards. A server
        that was leaving ends them too, and its address gets another one.
        """
        cases = {"fell silent": (False, ["s1"]), "left as planned": (True, [])}
        for name, (draining, expected) in cases.items():
            with self.subTest(name):
                released = asyncio.Event()
                script = (200, RESPONSE_HEADERS, [released, ENDED])
                gateway = self.build([script], repeatability=ONCE)
                detector, server = gateway.crash_detector, gateway.servers["s1"]
                for is_leaving in (False, draining):
                    listed = ListedServer(server=server, draining=is_leaving)
                    detector.handle_listed(listed)
                calling = asyncio.create_task(gateway.call())
                await asyncio.sleep(0.05)
                del gateway.listings["s1"]
                released.set()
                self.assertEqual((await calling).status, 502)
                successor = gateway.build_server("s9", boot=2, port=server.port)
                detector.handle_listed(ListedServer(server=successor, draining=False))
                self.assertEqual(self.list_struck(gateway), expected)

    async def build_on_trial(self, script):
        """Return a gateway that has heard of a request struck twice."""
        first = self.build([ENDED], [ENDED], down=("s1", "s2"))
        await first.call()
        gateway = self.build([script])
        gateway.crash_detector.apply_update(
            ViewUpdate(
                strikes=tuple(
                    replace(strike, server_id=f"earlier-{strike.server_id}")
                    for strike in first.crash_detector.list_strikes()
                )
            )
        )
        self.assertEqual((await gateway.call()).status, 503)
        return gateway

    async def test_trial_is_a_strike_at_once(self):
        """The first send after a hold is reported before its outcome."""
        waiting = asyncio.Event()
        script = (200, RESPONSE_HEADERS, [waiting, b"answer"])
        gateway = await self.build_on_trial(script)
        with unittest.mock.patch.object(quarantine, "HOLD_S", 0.0):
            calling = asyncio.create_task(gateway.call())
            await asyncio.sleep(0.05)
        self.assertEqual(self.list_struck(gateway), ["s1"])
        self.assertEqual((await gateway.call()).status, 503)
        self.assertEqual(gateway.count_requests(), {"s1": 1})
        waiting.set()
        self.assertEqual((await calling).status, 200)
        self.assertEqual(len(gateway.crash_detector.list_released()), 3)

    async def test_trial_that_did_not_run(self):
        """A trial that its server refused takes its strike back."""
        shed = (503, (("Carobspring-Not-Executed", "1"),), [b""])
        gateway = await self.build_on_trial(shed)
        with unittest.mock.patch.object(quarantine, "HOLD_S", 0.0):
            await gateway.call()
        released = gateway.crash_detector.list_released()
        self.assertEqual([strike.server_id for strike in released], ["s1"])

    async def test_suspects_are_kept_apart(self):
        """Two requests with a strike don't run at one server together."""
        waiting = asyncio.Event()
        gateway = self.build(
            [ENDED, waiting], [waiting], [waiting], down=("s1",), attempts=3
        )
        paths = ("/a/x", "/a/y")
        gateway.clients["s1"].scripts = [ENDED, ENDED]
        responders = [FakeResponder() for _ in paths]
        calls = [
            asyncio.create_task(gateway.call(path=path, responder=responder))
            for path, responder in zip(paths, responders, strict=True)
        ]
        await asyncio.sleep(0.2)
        counts = gateway.count_requests()
        self.assertEqual((counts["s2"], counts["s3"]), (1, 1))
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)


class CrashingPartTests(unittest.IsolatedAsyncioTestCase):
    """Servers that crash under requests with one part of their prompts."""

    def setUp(self):
        # Answers under way are awaited in the tests of the decision.
        patch = unittest.mock.patch.object(quarantine, "ANSWER_WAIT_S", 0.0)
        self.enterContext(patch)

    async def call(self, gateway, number, *parts, **options):
        """Send a request that is like no other but for its parts."""
        prefix = ",".join(f"{part}:10" for part in (*parts, f"own{number}"))
        return await gateway.call(
            path=f"/a/{number}",
            headers=(("Carobspring-Prefix-Hash", prefix),),
            **options,
        )

    async def build_crashed(self, *, count=3, parts=("sys", "deadly")):
        """Return a gateway whose servers s1 to s3 crashed under requests."""
        names = [f"s{number}" for number in range(1, count + 1)]
        gateway = GatewayHarness(
            *([ENDED] for _ in names), [SUCCESS], repeatability=ONCE
        )
        for number, name in enumerate(names):
            gateway.clients[name].is_down = True
            await self.call(gateway, number, *parts)
            gateway.dispatcher.remove_server(name)
        return gateway

    async def test_part_that_crashes_servers(self):
        """A new request with the part reaches no server, and others do."""
        gateway = await self.build_crashed()
        for number, parts, expected in (
            (10, ("sys", "deadly"), b'{"error":"quarantined_parts"}'),
            (11, ("sys",), b"answer"),
            (12, ("sys", "other"), b"answer"),
            (13, ("deadly",), b'{"error":"quarantined_parts"}'),
        ):
            with self.subTest(parts=parts):
                response = await self.call(gateway, number, *parts)
                self.assertEqual(bytes(response.body), expected)
        self.assertEqual(gateway.count_requests()["s4"], 2)

    async def test_answer_clears_parts(self):
        """A sound request frees its parts, also of what others reported."""
        gateway = await self.build_crashed(parts=("sys", "other"))
        other = GatewayHarness([SUCCESS])
        update = ViewUpdate(strikes=gateway.crash_detector.list_strikes())
        other.crash_detector.apply_update(update)
        for number, parts, expected in (
            (20, ("sys", "other"), 503),
            (21, ("sys",), 200),
            (22, ("other",), 503),
        ):
            response = await self.call(other, number, *parts)
            self.assertEqual(response.status, expected)
        released = other.crash_detector.list_released()
        self.assertEqual({each.request_hash for each in released}, {"part:sys"})
        gateway.crash_detector.apply_update(ViewUpdate(released=released))
        for number, parts, expected in ((23, ("sys",), 200), (24, ("other",), 503)):
            response = await self.call(gateway, number, *parts)
            self.assertEqual(response.status, expected)

    async def test_part_that_was_answered_before(self):
        """The new part is blamed, not the one that was answered before."""
        gateway = GatewayHarness(*([SUCCESS] for _ in range(4)), repeatability=ONCE)
        await self.call(gateway, 1, "sys")
        for client in gateway.clients.values():
            client.scripts, client.is_down = [ENDED], True
        for number in range(2, 5):
            response = await self.call(gateway, number, "sys", "deadly")
            self.assertEqual(response.status, 502)
            for name, count in gateway.count_requests().items():
                if count:
                    gateway.dispatcher.remove_server(name)
        gateway.clients["s1"].scripts = [SUCCESS]
        gateway.dispatcher.add_server(gateway.servers["s1"], draining=False)
        response = await self.call(gateway, 10, "deadly", "other")
        self.assertEqual(response.status, 503)

    async def test_own_crashes_stop_requests(self):
        """A crash that this entry proves stops what it has elsewhere."""
        waiting, crashing = asyncio.Event(), asyncio.Event()
        scripts = [(200, RESPONSE_HEADERS, [crashing, ENDED])]
        gateway = GatewayHarness(
            [ENDED], [ENDED], scripts, [waiting], repeatability=ONCE
        )
        calls = []
        for number, name in enumerate(("s1", "s2", "s3", "s4")):
            gateway.clients[name].is_down = True
            calling = asyncio.create_task(self.call(gateway, number, "sys", "deadly"))
            # Those whose server has ended are done soon, the others wait.
            timeout_s = 5.0 if name in ("s1", "s2") else 0.05
            await asyncio.wait({calling}, timeout=timeout_s)
            gateway.dispatcher.remove_server(name)
            calls.append(calling)
        self.assertEqual([each.done() for each in calls], [True, True, False, False])
        crashing.set()
        responses = await asyncio.gather(*calls)
        self.assertEqual([each.status for each in responses], [502] * 4)

    async def test_failures_clear_no_part(self):
        """Neither an error nor a cut answer frees a part."""
        cases = {
            "error": (500, RESPONSE_HEADERS, [b"failed"]),
            "cut answer": (200, RESPONSE_HEADERS, [b"ans", SILENT]),
        }
        for name, script in cases.items():
            with self.subTest(name):
                gateway = await self.build_crashed()
                gateway.clients["s4"].scripts = [script]
                await self.call(gateway, 30, "sys")
                self.assertEqual(gateway.crash_detector.list_released(), ())

    async def test_answer_that_began_before_the_crashes(self):
        """An answer that began before a strike doesn't clear it."""
        waiting = asyncio.Event()
        gateway = GatewayHarness([ENDED], [(200, RESPONSE_HEADERS, [waiting, b"x"])])
        gateway.dispatcher.remove_server("s1")
        calling = asyncio.create_task(self.call(gateway, 1, "sys"))
        await asyncio.sleep(0.05)
        gateway.dispatcher.add_server(gateway.servers["s1"], draining=False)
        gateway.clients["s1"].is_down = True
        gateway.clients["s2"].scripts = [ENDED]
        await self.call(gateway, 2, "sys")
        self.assertGreater(len(gateway.crash_detector.list_strikes()), 0)
        waiting.set()
        self.assertEqual((await calling).status, 200)
        self.assertEqual(gateway.crash_detector.list_released(), ())

    async def test_resumed_stream(self):
        """A stream with the part doesn't go on at another server."""
        first = await self.build_crashed()
        strikes = first.crash_detector.list_strikes()
        waiting = asyncio.Event()
        chunks = [build_event(1), waiting, ENDED]
        gateway = GatewayHarness(
            [(200, STREAM_HEADERS, chunks)],
            [(200, STREAM_HEADERS, [build_event(2)])],
            repeatability=Repeatability.RESUMABLE_STREAM,
        )
        calling = asyncio.create_task(self.call(gateway, 40, "sys", "deadly"))
        await asyncio.sleep(0.05)
        gateway.crash_detector.apply_update(ViewUpdate(strikes=strikes))
        waiting.set()
        response = await calling
        self.assertEqual(response.ended, "aborted")
        self.assertEqual(gateway.count_requests()["s2"], 0)

    async def test_requests_that_already_wait_at_a_server(self):
        """A request that must be held is stopped before its answer begins.

        Another one isn't, nor one whose answer has begun.
        """
        first = await self.build_crashed(count=5)
        strikes = first.crash_detector.list_strikes()
        cases = {
            "no head": (("sys", "deadly"), None, (502, "complete")),
            "only a head": (("sys", "deadly"), [], (502, "complete")),
            "answer begun": (("sys", "deadly"), [build_event(1)], (200, "complete")),
            "sound": (("sys",), [], (200, "complete")),
        }
        for name, (parts, begun, expected) in cases.items():
            with self.subTest(name):
                waiting = asyncio.Event()
                script = waiting
                if begun is not None:
                    script = (200, STREAM_HEADERS, [*begun, waiting, build_event(2)])
                gateway = GatewayHarness(
                    [script], repeatability=Repeatability.STREAM_ONCE
                )
                calling = asyncio.create_task(self.call(gateway, 60, *parts))
                await asyncio.sleep(0.05)
                gateway.crash_detector.apply_update(ViewUpdate(strikes=strikes))
                await asyncio.sleep(0.05)
                self.assertIs(calling.done(), expected[0] == 502)
                waiting.set()
                response = await calling
                self.assertEqual((response.status, response.ended), expected)

    async def test_trial_is_not_stopped(self):
        """A trial goes on, though its own strike holds the part back."""
        waiting = asyncio.Event()
        with unittest.mock.patch.object(quarantine, "PART_HOLD_S", 0.0):
            gateway = await self.build_crashed()
        script = (200, STREAM_HEADERS, [waiting, build_event(1)])
        gateway.clients["s4"].scripts = [script]
        calling = asyncio.create_task(self.call(gateway, 70, "deadly", "sys"))
        await asyncio.sleep(0.05)
        self.assertEqual(gateway.count_requests()["s4"], 1)
        other = replace(gateway.crash_detector.list_strikes()[0], server_id="s9")
        gateway.crash_detector.apply_update(ViewUpdate(strikes=(other,)))
        response = await self.call(gateway, 71, "deadly", "sys")
        self.assertEqual(response.status, 503)
        waiting.set()
        self.assertEqual((await calling).status, 200)
        response = await self.call(gateway, 72, "deadly", "sys")
        self.assertEqual(response.status, 200)

    async def test_blame_is_logged_once(self):
        """One line tells which parts are blamed, until that changes."""
        with self.assertLogs("carobspring.gateway.crashes", "INFO") as logs:
            gateway = await self.build_crashed()
            await self.call(gateway, 50, "sys")
            await self.call(gateway, 51, "sys", "deadly")
        lines = [
            each.parts_crashes
            for each in logs.records
            if each.msg == "parts blamed for crashes"
        ]
        self.assertEqual(lines, ["part:deadly+part:sys: 3", "part:deadly: 3"])
