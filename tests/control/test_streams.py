import asyncio
import contextlib
import unittest
import unittest.mock
from dataclasses import replace

from grpclib.exceptions import StreamTerminatedError

from carobspring.adapters import paths
from carobspring.adapters.clock import SystemClock
from carobspring.control import streams
from carobspring.control.commands import Command
from carobspring.control.state import ControlState
from carobspring.domain import LatencyTarget, RunStatus, ServiceClass
from carobspring.protocol import (
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    EntryReport,
    OutcomeReply,
    OutcomeReport,
    StoredResponse,
    Strike,
)
from carobspring.settings import Change, ChangeRequest
from tests.control.harness import (
    ask,
    make_report,
    make_server,
    open_agent,
    open_entry,
    run_control,
)


class StuckStream:
    """A stream whose peer neither sends nor reads."""

    was_sending = False

    async def recv_message(self) -> None:
        await asyncio.Event().wait()

    async def send_message(self, message: object) -> None:
        self.was_sending = True
        await asyncio.Event().wait()


REQUEST = ClaimRequest(
    workspace="w",
    service="booking",
    key="k",
    request_hash="h",
    server_id="m1",
    boot=7,
    request_id="r1",
)


def make_change(change_id: str = "c1", base: int = 0) -> Command:
    chat = ServiceClass(name="chat", priority=90, target=LatencyTarget())
    return Command(
        change=ChangeRequest(
            change_id=change_id, base_revision=base, changes=(Change(set_class=chat),)
        )
    )


class StreamTests(unittest.IsolatedAsyncioTestCase):
    async def test_server_reaches_entries_and_goes(self):
        """An entry hears of a server, its settings, and of its leaving."""
        async with run_control() as (_, ports):
            port = ports["rpc"]
            async with open_agent(port) as agent, open_entry(port) as entry:
                await entry.send(EntryReport(entry_id="e1", zone="a"))
                first = await entry.wait_for(lambda update: update.complete)
                self.assertEqual(first.settings.revision, 0)
                await agent.send(make_report())
                update = await entry.wait_for(lambda update: update.servers)
                self.assertEqual(update.servers, (make_server(),))
                await agent.send(make_report(2, leaving=True))
                await entry.wait_for(lambda update: update.removed == ("m1",))

    async def test_change_is_pushed(self):
        """An accepted change reaches agents and entries unasked."""
        # Without heartbeats, which would carry it too.
        patch = unittest.mock.patch.object(streams, "HEARTBEAT_INTERVAL_S", 1e6)
        async with run_control() as (program, ports):
            port = ports["rpc"]
            with patch:
                agent = await self.enterAsyncContext(open_agent(port))
                entry = await self.enterAsyncContext(open_entry(port))
                await agent.wait_for(lambda order: order.settings)
                await entry.wait_for(lambda update: update.complete)
                await program.proposer.propose(make_change())
                for client in (agent, entry):
                    update = await client.wait_for(
                        lambda update: update.settings and update.settings.revision
                    )
                    self.assertEqual(list(update.settings.classes), ["chat"])

    async def test_silent_peers(self):
        """A stream on which nothing comes is ended, also in mid-send."""
        patch = unittest.mock.patch.object(streams, "SILENCE_TIMEOUT_S", 0.1)
        with patch:
            async with run_control() as (program, ports):
                entry = await self.enterAsyncContext(open_entry(ports["rpc"]))
                agent = await self.enterAsyncContext(open_agent(ports["rpc"]))
                for client in (entry, agent):
                    with contextlib.suppress(StreamTerminatedError):
                        await client.wait_for_end()
                state = program.state
                counts = (
                    state.entry_notifier.count_streams(),
                    state.agent_notifier.count_streams(),
                )
                self.assertEqual(counts, (0, 0))

    async def test_strikes_wait_apart(self):
        """Reports go on while strikes wait for a leader."""
        strike = Strike(
            workspace="w", request_hash="h", server_id="m1", boot=7, at_ms=1
        )
        async with run_control() as (program, ports):
            port = ports["rpc"]
            async with open_agent(port) as agent, open_entry(port) as entry:
                await entry.wait_for(lambda update: update.complete)
                program.proposer.propose = lambda command: asyncio.sleep(1e6)
                await agent.send(replace(make_report(), strikes=(strike,)))
                await entry.wait_for(lambda update: update.servers)
                await agent.send(make_report(2, leaving=True))
                await entry.wait_for(lambda update: update.removed == ("m1",))
            # By its report, and not because its lease ran out.
            self.assertEqual(program.state.members.members["m1"].sequence, 2)

    async def test_stuck_writer(self):
        """A peer that reads no more does not keep its stream for ever."""
        stuck = StuckStream()
        service = streams.WatchService(
            state=ControlState(replica_id="c1", clock=SystemClock()),
            proposer=unittest.mock.Mock(),
        )
        with unittest.mock.patch.object(streams, "SILENCE_TIMEOUT_S", 0.1):
            async with asyncio.timeout(20):
                await service.watch_agent(stuck)
        self.assertIs(stuck.was_sending, True)

    async def test_taken_boot(self):
        """An agent with a replaced boot number is told which one to use."""
        async with run_control() as (_, ports):
            port = ports["rpc"]
            async with (
                open_agent(port) as later,
                open_agent(port) as earlier,
                open_entry(port) as entry,
            ):
                await later.send(make_report(boot=9))
                await entry.wait_for(lambda update: update.servers)
                await earlier.send(make_report(boot=8))
                order = await earlier.wait_for(lambda order: order.minimum_boot)
                self.assertEqual(order.minimum_boot, 10)

    async def test_unknown_needs_the_agent_gone(self):
        """A suspicion counts only once the claim's boot was replaced."""
        suspicion = OutcomeReport(number=1, run_status=RunStatus.UNKNOWN)
        async with run_control() as (_, ports):
            port = ports["rpc"]
            async with open_agent(port) as agent, open_entry(port) as entry:
                await agent.send(make_report(boot=7))
                await entry.wait_for(lambda update: update.servers)
                await ask(port, paths.CLAIM_CALL, REQUEST, ClaimReply)
                early = await ask(port, paths.REPORT_OUTCOME, suspicion, OutcomeReply)
                self.assertEqual(early.error, "agent_not_gone")
                self.assertIs(early.claim.state, ClaimState.CLAIMED)
                await agent.send(make_report(boot=8))
                await entry.wait_for(
                    lambda update: update.servers and update.servers[0].boot == 8
                )
                late = await ask(port, paths.REPORT_OUTCOME, suspicion, OutcomeReply)
                self.assertEqual(late.error, "")
                self.assertIs(late.claim.state, ClaimState.UNKNOWN)
                stale = replace(REQUEST, key="k2")
                refused = await ask(port, paths.CLAIM_CALL, stale, ClaimReply)
                self.assertEqual(refused, ClaimReply(error="stale_boot"))

    async def test_unique_call(self):
        """A claim is granted once; a resend gets its outcome."""
        answer = StoredResponse(status=201, body=b"booked")
        async with run_control() as (_, ports):
            port = ports["rpc"]
            first = await ask(port, paths.CLAIM_CALL, REQUEST, ClaimReply)
            self.assertIs(first.granted, True)
            report = OutcomeReport(
                number=1, run_status=RunStatus.RAN, answer=answer, boot=7
            )
            await ask(port, paths.REPORT_OUTCOME, report, OutcomeReply)
            again = await ask(port, paths.CLAIM_CALL, REQUEST, ClaimReply)
            expected = Claim(
                number=1,
                workspace="w",
                service="booking",
                key="k",
                request_hash="h",
                server_id="m1",
                boot=7,
                state=ClaimState.DONE,
                answer=answer,
                changed_ms=again.claim.changed_ms,
            )
            self.assertEqual(again, ClaimReply(claim=expected))
