import asyncio
import contextlib
import unittest

from grpclib.client import UnaryStreamMethod, UnaryUnaryMethod

from carobspring.adapters.agent_control_stream import AgentControlStream
from carobspring.adapters.agent_service import AgentService
from carobspring.adapters.paths import (
    CANCEL_CALL,
    FETCH_SETTINGS,
    REPORT_OUTCOME,
    RESUME_CALL,
    RUN_CALL,
    WATCH_AGENT,
)
from carobspring.adapters.rpc import (
    RpcService,
    build_server,
    make_bidirectional_method,
    make_unary_method,
    open_channel,
)
from carobspring.domain import Address, RunStatus
from carobspring.programs.agent_program import start_rpc_server
from carobspring.protocol import (
    AgentReport,
    AgentUpdate,
    CallEnd,
    CallEvent,
    CancelCall,
    CancelReply,
    FetchSettings,
    OutcomeReply,
    OutcomeReport,
    ResumeCall,
    RunCall,
    SettingsReply,
)
from tests.agent.support import TEST_TIMEOUT_S, ManagerHarness, build_settings

SECRET = "secret"


class AgentServiceTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.harness = ManagerHarness()
        service = AgentService(manager=self.harness.manager, clock=self.harness.clock)
        self.server = build_server(services=[service.build_service()], secret=SECRET)
        port = await start_rpc_server(self.server, "127.0.0.1", 0)
        self.channel = open_channel(host="127.0.0.1", port=port, secret=SECRET)

    async def asyncTearDown(self):
        self.channel.close()
        self.server.close()
        await self.server.wait_closed()

    async def read_events(self, path, request, *, stop_after=None):
        method = UnaryStreamMethod(self.channel, path, type(request), CallEvent)
        events = []
        async with asyncio.timeout(TEST_TIMEOUT_S), method.open() as stream:
            await stream.send_message(request, end=True)
            async for event in stream:
                events.append(event)
                if len(events) == stop_after:
                    await stream.cancel()
                    break
        return events

    async def test_resume_after_a_broken_stream(self):
        """The call continues; its events resume at the requested offset."""
        call = RunCall(
            call_id="c",
            boot=7,
            workspace="w",
            service_class="chat",
            method="POST",
            path="/",
        )
        response_task = asyncio.create_task(self.harness.backend.wait_for_response(0))
        call_task = asyncio.create_task(self.read_events(RUN_CALL, call, stop_after=2))
        response = await response_task
        response.feed(b"abc")
        with contextlib.suppress(Exception):
            await call_task
        response.feed(b"def", b"")
        events = await self.read_events(RESUME_CALL, ResumeCall(call_id="c", offset=2))
        self.assertEqual(b"".join(event.data for event in events), b"cdef")
        self.assertEqual(events[-1].end, CallEnd(run_status=RunStatus.RAN))
        self.assertEqual(len(self.harness.backend.responses), 1)

    async def test_resume_of_a_call_that_runs_again(self):
        """A run of another start gets no part of this start's response.

        A resend has the identifier of the call, and may run here since the
        agent has started again.
        """
        call = RunCall(
            call_id="c",
            boot=7,
            workspace="w",
            service_class="chat",
            method="POST",
            path="/",
        )
        response_task = asyncio.create_task(self.harness.backend.wait_for_response(0))
        call_task = asyncio.create_task(self.read_events(RUN_CALL, call))
        (await response_task).feed(b"abcdef", b"")
        await call_task
        ran = CallEnd(run_status=RunStatus.RAN)
        past = CallEnd(run_status=RunStatus.UNKNOWN, reason="past")
        cases = {6: (None, b"", past), 7: (200, b"cdef", ran), 0: (200, b"cdef", ran)}
        for boot, expected in cases.items():
            with self.subTest(boot=boot):
                request = ResumeCall(call_id="c", offset=2, boot=boot)
                events = await self.read_events(RESUME_CALL, request)
                statuses = [event.head.status for event in events if event.head]
                data = b"".join(event.data for event in events)
                got = (statuses[0] if statuses else None, data, events[-1].end)
                self.assertEqual(got, expected)

    async def test_resume_of_an_unknown_call(self):
        """NOT_RUN is reported only for the agent's own boot, else UNKNOWN."""
        cases = {7: RunStatus.NOT_RUN, 6: RunStatus.UNKNOWN, 0: RunStatus.UNKNOWN}
        for boot, status in cases.items():
            with self.subTest(boot=boot):
                request = ResumeCall(call_id=f"c{boot}", offset=0, boot=boot)
                events = await self.read_events(RESUME_CALL, request)
                self.assertEqual(events[-1].end.run_status, status)

    async def test_unary_calls(self):
        """Cancel and Settings reply with one message."""
        self.harness.manager.apply_settings(build_settings(3))
        cases = [
            (CANCEL_CALL, CancelCall(call_id="x"), CancelReply(cancelled=False)),
            (
                FETCH_SETTINGS,
                FetchSettings(revision=2),
                SettingsReply(settings=build_settings(3), revision=3),
            ),
            (FETCH_SETTINGS, FetchSettings(revision=3), SettingsReply(revision=3)),
        ]
        for path, request, reply in cases:
            with self.subTest(request=request):
                method = UnaryUnaryMethod(
                    self.channel, path, type(request), type(reply)
                )
                self.assertEqual(await method(request, timeout=TEST_TIMEOUT_S), reply)


class FakeControl:
    """A control replica that records reports and can reject outcomes."""

    def __init__(self, *, update, outcome_error="", silent=False):
        self.update = update
        self.outcome_error = outcome_error
        self.silent = silent
        self.reports = []
        self.outcomes = []
        self.reported = asyncio.Event()

    async def start(self):
        service = RpcService(
            [
                make_bidirectional_method(
                    WATCH_AGENT, self.watch, AgentReport, AgentUpdate
                ),
                make_unary_method(
                    REPORT_OUTCOME, self.record_outcome, OutcomeReport, OutcomeReply
                ),
            ]
        )
        self.server = build_server(services=[service], secret=SECRET)
        port = await start_rpc_server(self.server, "127.0.0.1", 0)
        return Address(host="127.0.0.1", port=port)

    async def watch(self, stream):
        async for report in stream:
            self.reports.append(report)
            self.reported.set()
            if not self.silent:
                await stream.send_message(self.update)

    async def record_outcome(self, report):
        self.outcomes.append(report)
        return OutcomeReply(error=self.outcome_error)


class AgentControlStreamTests(unittest.IsolatedAsyncioTestCase):
    async def test_next_replica_after_one_is_closed(self):
        """Reports and updates continue with another replica."""
        updates = []
        received = asyncio.Event()

        def record_update(update):
            updates.append(update)
            received.set()

        first = FakeControl(update=AgentUpdate(minimum_boot=1))
        second = FakeControl(update=AgentUpdate(minimum_boot=2))
        stream = AgentControlStream(
            addresses=[await first.start(), await second.start()],
            secret=SECRET,
            build_report=AgentReport,
            on_update=record_update,
        )
        stream.start()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await received.wait()
            self.assertEqual(updates[-1], AgentUpdate(minimum_boot=1))
            first.server.close()
            await second.reported.wait()
            while updates[-1].minimum_boot != 2:
                await asyncio.sleep(0.01)
        await stream.close()
        second.server.close()

    async def test_outcome_is_retried_on_other_replicas(self):
        """Replicas that reject the outcome are skipped.

        Without a confirmation, the outcome is not reported as committed.
        """
        rejecting = FakeControl(update=AgentUpdate(), outcome_error="no_quorum")
        accepting = FakeControl(update=AgentUpdate())
        report = OutcomeReport(number=1, run_status=RunStatus.RAN)
        cases = {
            "another accepts it": ([rejecting, accepting], True),
            "none": ([], False),
        }
        for name, (replicas, expected) in cases.items():
            with self.subTest(name):
                stream = AgentControlStream(
                    addresses=[await replica.start() for replica in replicas],
                    secret=SECRET,
                    build_report=AgentReport,
                    on_update=ignore_update,
                )
                committed = await stream.commit_outcome(report, TEST_TIMEOUT_S)
                self.assertIs(committed, expected)
                await stream.close()
        self.assertEqual(accepting.outcomes, [report])
        for replica in (rejecting, accepting):
            replica.server.close()


def ignore_update(update):
    pass
