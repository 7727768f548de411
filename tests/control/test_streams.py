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
    make_report,
    make_server,
    open_agent,
    open_entry,
    run_control,
    send_request,
)


class StuckStream:
    """A stream whose peer neither sends nor receives."""

    has_started_sending = False

    async def recv_message(self) -> None:
        await asyncio.Event().wait()

    async def send_message(self, message: object) -> None:
        self.has_started_sending = True
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
    async def test_entry_that_asks(self):
        """An entry that asks gets an update at once."""
        async with run_control() as (_, ports), open_entry(ports["rpc"]) as entry:
            await entry.send(EntryReport(entry_id="e1", zone="a"))
            await entry.wait_for(lambda update: update.complete)
            loop = asyncio.get_running_loop()
            asked_at = loop.time()
            for number in range(3):
                await entry.send(
                    EntryReport(entry_id="e1", zone="a", asked_at=number + 1.0)
                )
                await entry.wait_for(lambda update: update.asked_at == number + 1.0)
            self.assertLess(loop.time(), asked_at + streams.HEARTBEAT_INTERVAL_S)

    async def test_entries_learn_of_servers(self):
        """An entry is sent settings, a new server, and its removal."""
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
        """An accepted change is pushed to agents and entries."""
        # Heartbeats would carry the change too, so they are disabled.
        patch = unittest.mock.patch.object(streams, "HEARTBEAT_INTERVAL_S", 1e6)
        async with run_control() as (program, ports):
            port = ports["rpc"]
            with patch:
                agent = await self.enterAsyncContext(open_agent(port))
                entry = await self.enterAsyncContext(open_entry(port))
                await agent.wait_for(lambda update: update.settings)
                await entry.wait_for(lambda update: update.complete)
                await program.proposer.propose(make_change())
                for client in (agent, entry):
                    update = await client.wait_for(
                        lambda update: update.settings and update.settings.revision
                    )
                    self.assertEqual(list(update.settings.classes), ["chat"])

    async def test_silent_peers(self):
        """A stream without incoming messages is ended, even while sending."""
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

    async def test_strikes_do_not_block_reports(self):
        """Reports are handled while the proposal of strikes is pending."""
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
            # The server was removed by its report, not by an expired lease.
            self.assertEqual(program.state.members.members["m1"].sequence, 2)

    async def test_stuck_writer(self):
        """A stream is ended even while a send to its peer blocks."""
        stuck = StuckStream()
        service = streams.WatchService(
            state=ControlState(replica_id="c1", clock=SystemClock()),
            proposer=unittest.mock.Mock(),
        )
        with unittest.mock.patch.object(streams, "SILENCE_TIMEOUT_S", 0.1):
            async with asyncio.timeout(20):
                await service.watch_agent(stuck)
        self.assertIs(stuck.has_started_sending, True)

    async def test_replaced_boot(self):
        """An agent with an outdated boot number is sent the minimum one."""
        async with run_control() as (_, ports):
            port = ports["rpc"]
            async with (
                open_agent(port) as later_agent,
                open_agent(port) as earlier_agent,
                open_entry(port) as entry,
            ):
                await later_agent.send(make_report(boot=9))
                await entry.wait_for(lambda update: update.servers)
                await earlier_agent.send(make_report(boot=8))
                update = await earlier_agent.wait_for(
                    lambda update: update.minimum_boot
                )
                self.assertEqual(update.minimum_boot, 10)

    async def test_unknown_outcome_requires_replaced_boot(self):
        """An unknown outcome is accepted only once the boot was replaced."""
        unknown_outcome = OutcomeReport(number=1, run_status=RunStatus.UNKNOWN)
        async with run_control() as (_, ports):
            port = ports["rpc"]
            async with open_agent(port) as agent, open_entry(port) as entry:
                await agent.send(make_report(boot=7))
                await entry.wait_for(lambda update: update.servers)
                await send_request(port, paths.CLAIM_CALL, REQUEST, ClaimReply)
                early_reply = await send_request(
                    port, paths.REPORT_OUTCOME, unknown_outcome, OutcomeReply
                )
                self.assertEqual(early_reply.error, "agent_not_gone")
                self.assertIs(early_reply.claim.state, ClaimState.CLAIMED)
                await agent.send(make_report(boot=8))
                await entry.wait_for(
                    lambda update: update.servers and update.servers[0].boot == 8
                )
                late_reply = await send_request(
                    port, paths.REPORT_OUTCOME, unknown_outcome, OutcomeReply
                )
                self.assertEqual(late_reply.error, "")
                self.assertIs(late_reply.claim.state, ClaimState.UNKNOWN)
                stale = replace(REQUEST, key="k2")
                refused = await send_request(port, paths.CLAIM_CALL, stale, ClaimReply)
                self.assertEqual(refused, ClaimReply(error="stale_boot"))

    async def test_unique_call(self):
        """A claim is granted once; a repeated claim returns the outcome."""
        answer = StoredResponse(status=201, body=b"booked")
        async with run_control() as (_, ports):
            port = ports["rpc"]
            first = await send_request(port, paths.CLAIM_CALL, REQUEST, ClaimReply)
            self.assertIs(first.granted, True)
            report = OutcomeReport(
                number=1, run_status=RunStatus.RAN, answer=answer, boot=7
            )
            await send_request(port, paths.REPORT_OUTCOME, report, OutcomeReply)
            repeated = await send_request(port, paths.CLAIM_CALL, REQUEST, ClaimReply)
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
                changed_ms=repeated.claim.changed_ms,
            )
            self.assertEqual(repeated, ClaimReply(claim=expected))
