import asyncio
import unittest

from carobspring.agent import TableLimits
from carobspring.domain import RunStatus, ServiceKind
from carobspring.ports import BackendUnreachableError, IncompleteResponseError
from carobspring.protocol import (
    CallEnd,
    CancelCall,
    CancelReply,
    FenceClaim,
    FenceReply,
    OutcomeReport,
    StoredResponse,
    Strike,
)
from tests.agent.support import (
    DONE,
    EVENT_STREAM,
    TEST_TIMEOUT_S,
    ManagerHarness,
    build_settings,
)

RAN = CallEnd(run_status=RunStatus.RAN)


def build_strike(number, *, at_ms=1000, request_hash="h"):
    return Strike(
        workspace="w",
        request_hash=request_hash,
        server_id=f"r{number}",
        boot=1,
        at_ms=at_ms,
    )


class EndTests(unittest.IsolatedAsyncioTestCase):
    async def test_end_of_a_response(self):
        """A call ends as UNKNOWN after an incomplete response or a crash."""
        connection_lost = IncompleteResponseError(reason="reset")
        cases = {
            "complete": ((), [b"ab", b"c", b""], True, RunStatus.RAN, ""),
            "incomplete": (
                (),
                [b"ab", connection_lost],
                True,
                RunStatus.UNKNOWN,
                "answer_cut",
            ),
            "crash": (
                (),
                [connection_lost],
                False,
                RunStatus.UNKNOWN,
                "backend_failed",
            ),
            "complete stream": (EVENT_STREAM, [DONE, b""], True, RunStatus.RAN, ""),
            "last event split in two chunks": (
                EVENT_STREAM,
                [DONE[:9], DONE[9:], b""],
                True,
                RunStatus.RAN,
                "",
            ),
            "stream without last event": (
                EVENT_STREAM,
                [b"data: {}\n\n", b""],
                True,
                RunStatus.UNKNOWN,
                "answer_cut",
            ),
        }
        for name, (headers, chunks, listening, status, reason) in cases.items():
            with self.subTest(name):
                harness = ManagerHarness(kind=ServiceKind.MODEL)
                harness.backend.headers = headers
                harness.backend.listening = listening
                record = await harness.submit("c", stream=bool(headers))
                (await harness.backend.wait_for_response(0)).feed(*chunks)
                output, end = await harness.read_end(record)
                self.assertEqual(end, CallEnd(run_status=status, reason=reason))
                sent = [chunk for chunk in chunks if isinstance(chunk, bytes)]
                self.assertEqual(output, b"".join(sent))

    async def test_unreachable_backend_server_has_not_run_it(self):
        """Nothing was sent, so it is NOT_RUN, and the server is unhealthy."""
        harness = ManagerHarness()
        harness.backend.error = BackendUnreachableError(reason="refused")
        _, end = await harness.read_end(await harness.submit("c"))
        self.assertEqual(
            (end.run_status, end.reason), (RunStatus.NOT_RUN, "backend_unreachable")
        )
        _, end = await harness.read_end(await harness.submit("d"))
        self.assertEqual(end.reason, "backend_unhealthy")
        self.assertIs(harness.manager.build_load_report().unhealthy, True)


class DuplicateTests(unittest.IsolatedAsyncioTestCase):
    async def test_duplicate_of_a_running_call_attaches(self):
        """The request is sent once; both readers get the whole response."""
        harness = ManagerHarness(slots=2)
        first = await harness.submit("c")
        second = await harness.submit("c")
        (await harness.backend.wait_for_response(0)).feed(b"abc", b"")
        self.assertEqual(await harness.read_end(first), (b"abc", RAN))
        self.assertEqual(await harness.read_end(second), (b"abc", RAN))
        self.assertEqual(len(harness.backend.responses), 1)

    async def test_late_duplicates_are_refused(self):
        """A duplicate after a cancel or after eviction never runs."""
        harness = ManagerHarness(table=TableLimits(retention_s=5))
        harness.manager.cancel(CancelCall(call_id="unseen"))
        _, end = await harness.read_end(await harness.submit("unseen"))
        self.assertEqual(end, CallEnd(run_status=RunStatus.NOT_RUN, reason="past"))
        record = await harness.submit("c")
        (await harness.backend.wait_for_response(0)).feed(b"")
        await harness.read_end(record)
        harness.advance(6)
        _, end = await harness.read_end(await harness.submit("c"))
        self.assertEqual(end, CallEnd(run_status=RunStatus.UNKNOWN, reason="past"))
        self.assertEqual(len(harness.backend.responses), 1)


class StopTests(unittest.IsolatedAsyncioTestCase):
    async def test_cancel_of_a_running_call_closes_its_connection(self):
        """The engine stops its work, and the next call gets the slot."""
        harness = ManagerHarness()
        record = await harness.submit("c")
        following = await harness.submit("d")
        response = await harness.backend.wait_for_response(0)
        response.feed(b"a")
        self.assertEqual(
            harness.manager.cancel(CancelCall(call_id="c")), CancelReply(cancelled=True)
        )
        _, end = await harness.read_end(record)
        self.assertEqual(end, CallEnd(run_status=RunStatus.UNKNOWN, reason="cancelled"))
        self.assertIs(response.closed.is_set(), True)
        (await harness.backend.wait_for_response(1)).feed(b"")
        self.assertEqual(await harness.read_end(following), (b"", RAN))

    async def test_cancel_of_a_waiting_call(self):
        """It ends as NOT_RUN and is never sent."""
        harness = ManagerHarness()
        first = await harness.submit("c")
        waiting = await harness.submit("d")
        harness.manager.cancel(CancelCall(call_id="d"))
        _, end = await harness.read_end(waiting)
        self.assertEqual((end.run_status, end.reason), (RunStatus.NOT_RUN, "cancelled"))
        (await harness.backend.wait_for_response(0)).feed(b"")
        await harness.read_end(first)
        self.assertEqual(len(harness.backend.responses), 1)

    async def test_orphaned_call_is_cancelled(self):
        """A call without a reader runs on for a while, then is cancelled."""
        harness = ManagerHarness()
        await harness.submit("c")
        response = await harness.backend.wait_for_response(0)
        response.feed(b"a")
        harness.advance(29)
        self.assertIs(response.closed.is_set(), False)
        harness.advance(2)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await response.closed.wait()
        _, end = await harness.read_end(await harness.submit("c"))
        self.assertEqual(end.reason, "orphaned")

    async def test_hung_call_is_cancelled(self):
        """A call is cancelled after silence far beyond the usual time."""
        harness = ManagerHarness()
        for number in range(10):
            record = await harness.submit(f"past-{number}")
            response = await harness.backend.wait_for_response(number)
            harness.clock.now += 1.0
            response.feed(b"")
            await harness.read_end(record)
        record = await harness.submit("c")
        reader = record.attach(0, harness.clock.now)
        response = await harness.backend.wait_for_response(10)
        harness.advance(9)
        self.assertIs(response.closed.is_set(), False)
        harness.advance(50)
        _, end = await harness.read_end(record)
        self.assertEqual(end.reason, "backend_hung")
        record.detach(reader, harness.clock.now)

    async def test_drain_completes_accepted_calls(self):
        """New calls are refused; running and waiting ones are completed."""
        harness = ManagerHarness()
        running = await harness.submit("c")
        waiting = await harness.submit("d")
        harness.agent_state.leaving = True
        drain = asyncio.create_task(harness.manager.drain())
        _, end = await harness.read_end(await harness.submit("e"))
        self.assertEqual((end.run_status, end.reason), (RunStatus.NOT_RUN, "draining"))
        self.assertIs(drain.done(), False)
        for index, record in enumerate((running, waiting)):
            (await harness.backend.wait_for_response(index)).feed(b"whole", b"")
            self.assertEqual(await harness.read_end(record), (b"whole", RAN))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await drain


class ClaimTests(unittest.IsolatedAsyncioTestCase):
    async def test_outcome_is_committed_before_the_end_is_sent(self):
        """Readers get the end only after control committed the outcome."""
        harness = ManagerHarness()
        harness.ledger.allowed.clear()
        record = await harness.submit("c", claim=5)
        response = await harness.backend.wait_for_response(0)
        response.feed(b"booked", b"")
        reading = asyncio.create_task(harness.read_end(record))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await response.closed.wait()
        self.assertIs(record.end, None)
        harness.ledger.allowed.set()
        self.assertEqual(await reading, (b"booked", RAN))
        outcome = OutcomeReport(
            number=5,
            run_status=RunStatus.RAN,
            answer=StoredResponse(status=200, body=b"booked"),
            boot=7,
        )
        self.assertEqual(harness.ledger.outcomes, [outcome])
        header = ("X-Carob-Fencing-Token", "5")
        self.assertIn(header, response.request.headers)

    async def test_uncommitted_outcome_is_unknown(self):
        """Without a commit the caller is not told that the call ran."""
        harness = ManagerHarness()
        harness.ledger.reachable = False
        record = await harness.submit("c", claim=5)
        (await harness.backend.wait_for_response(0)).feed(b"booked", b"")
        _, end = await harness.read_end(record)
        expected = CallEnd(run_status=RunStatus.UNKNOWN, reason="outcome_not_committed")
        self.assertEqual(end, expected)

    async def test_claim_runs_once(self):
        """Another call for the claim attaches; a fenced one is refused."""
        harness = ManagerHarness(slots=4)
        record = await harness.submit("c", claim=5)
        self.assertIs(await harness.submit("d", claim=5), record)
        self.assertEqual(
            harness.manager.fence(FenceClaim(claim=6, boot=7)),
            FenceReply(run_status=RunStatus.NOT_RUN),
        )
        cases = {
            "fenced": ({"claim": 6}, RunStatus.NOT_RUN, "fenced"),
            "wrong boot": ({"claim": 8, "boot": 6}, RunStatus.UNKNOWN, "wrong_boot"),
        }
        for name, (fields, status, reason) in cases.items():
            with self.subTest(name):
                end = await harness.submit(name, **fields)
                self.assertEqual(end, CallEnd(run_status=status, reason=reason))
        (await harness.backend.wait_for_response(0)).feed(b"")
        await harness.read_end(record)
        self.assertEqual(len(harness.backend.responses), 1)

    async def test_fence(self):
        """It returns the call of the claim; another boot gets UNKNOWN."""
        harness = ManagerHarness()
        record = await harness.submit("c", claim=5)
        cases = {
            "running": (7, FenceReply(run_status=RunStatus.UNKNOWN, call_id="c")),
            "other boot": (6, FenceReply(run_status=RunStatus.UNKNOWN)),
        }
        for name, (boot, reply) in cases.items():
            with self.subTest(name):
                request = FenceClaim(claim=5, boot=boot)
                self.assertEqual(harness.manager.fence(request), reply)
        (await harness.backend.wait_for_response(0)).feed(b"")
        await harness.read_end(record)
        self.assertEqual(
            harness.manager.fence(FenceClaim(claim=5, boot=7)),
            FenceReply(run_status=RunStatus.RAN, call_id="c"),
        )

    async def test_running_claim_is_not_cancelled(self):
        """A cancel leaves it running, since a later request may need it."""
        harness = ManagerHarness()
        record = await harness.submit("c", claim=5)
        response = await harness.backend.wait_for_response(0)
        reply = harness.manager.cancel(CancelCall(call_id="c"))
        self.assertEqual(reply, CancelReply(cancelled=False))
        harness.advance(60)
        response.feed(b"booked", b"")
        self.assertEqual(await harness.read_end(record), (b"booked", RAN))


class StrikeTests(unittest.IsolatedAsyncioTestCase):
    async def test_crash_strikes_every_running_call(self):
        """Each gets one strike; the strike of a single one says so."""
        for count in (1, 3):
            with self.subTest(count=count):
                harness = ManagerHarness(slots=4)
                records = [
                    await harness.submit(f"c{number}", request_hash=f"h{number}")
                    for number in range(count)
                ]
                await harness.backend.wait_for_response(count - 1)
                harness.backend.crash()
                for record in records:
                    _, end = await harness.read_end(record)
                    self.assertEqual(end.reason, "backend_failed")
                strikes = harness.manager.executor.find_recent_strikes()
                expected = {(f"h{number}", count == 1) for number in range(count)}
                found = {(strike.request_hash, strike.alone) for strike in strikes}
                self.assertEqual(found, expected)

    async def test_request_with_strikes_runs_alone_then_is_refused(self):
        """With one strike a request runs alone; with two it is refused."""
        harness = ManagerHarness(slots=4)
        harness.manager.quarantine.add([build_strike(1)])
        suspect = await harness.submit("suspect", request_hash="h")
        other = await harness.submit("other", request_hash="o")
        response = await harness.backend.wait_for_response(0)
        self.assertEqual(len(harness.backend.responses), 1)
        harness.manager.quarantine.add([build_strike(2)])
        end = (await harness.submit("again", request_hash="h")).end
        self.assertEqual(
            end, CallEnd(run_status=RunStatus.NOT_RUN, reason="quarantined")
        )
        response.feed(b"")
        await harness.read_end(suspect)
        (await harness.backend.wait_for_response(1)).feed(b"")
        self.assertEqual(await harness.read_end(other), (b"", RAN))

    async def test_request_that_succeeds_alone_is_cleared(self):
        """Its strikes are ignored, also if control sends them again."""
        harness = ManagerHarness(slots=4)
        harness.manager.quarantine.add([build_strike(1)])
        record = await harness.submit("c", request_hash="h")
        (await harness.backend.wait_for_response(0)).feed(b"")
        await harness.read_end(record)
        harness.manager.quarantine.add([build_strike(1)])
        self.assertEqual(harness.manager.quarantine.count("w", "h"), 0)


class SettingsTests(unittest.IsolatedAsyncioTestCase):
    async def test_call_of_a_newer_revision_waits_for_it(self):
        """It runs once the settings arrive, and is refused without them."""
        harness = ManagerHarness()
        _, end = await harness.read_end(await harness.submit("c", revision=3))
        self.assertEqual(
            (end.run_status, end.reason), (RunStatus.NOT_RUN, "settings_behind")
        )
        self.assertEqual(harness.agent_state.highest_known_revision, 3)
        harness.manager.apply_settings(build_settings(3))
        harness.manager.apply_settings(build_settings(2, priority=1))
        self.assertEqual(harness.agent_state.settings, build_settings(3))
        record = await harness.submit("d", revision=3)
        (await harness.backend.wait_for_response(0)).feed(b"")
        self.assertEqual(await harness.read_end(record), (b"", RAN))


class WithdrawalTests(unittest.IsolatedAsyncioTestCase):
    async def test_only_a_waiting_call_is_withdrawn(self):
        """A running or unknown call is neither cancelled nor fenced."""
        harness = ManagerHarness()
        self.addAsyncCleanup(harness.manager.close)
        running = await harness.submit("running")
        waiting = await harness.submit("waiting")
        cases = {"running": False, "waiting": True, "unknown": False}
        for call_id, cancelled in cases.items():
            with self.subTest(call_id):
                request = CancelCall(call_id=call_id, only_waiting=True)
                reply = harness.manager.cancel(request)
                self.assertEqual(reply, CancelReply(cancelled=cancelled))
        _, end = await harness.read_end(waiting)
        self.assertEqual((end.run_status, end.reason), (RunStatus.NOT_RUN, "moved"))
        (await harness.backend.wait_for_response(0)).feed(b"a", b"")
        self.assertEqual(await harness.read_end(running), (b"a", RAN))
        later = await harness.submit("unknown")
        (await harness.backend.wait_for_response(1)).feed(b"b", b"")
        self.assertEqual(await harness.read_end(later), (b"b", RAN))
