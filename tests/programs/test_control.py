"""Tests of three control replicas as processes, with kills and restarts."""

import asyncio
import shutil
import unittest

from grpclib import GRPCError
from grpclib.exceptions import StreamTerminatedError

from carobspring.adapters import paths
from carobspring.control.reports import (
    ChangeReport,
    ChangeRequestBody,
    ReplicaStatus,
    StatusReport,
)
from carobspring.domain import LatencyTarget, RunStatus, ServiceClass, Settings
from carobspring.operator import AdminClient, ApiError
from carobspring.protocol import (
    ClaimReply,
    ClaimRequest,
    ClaimState,
    EntryReport,
    OutcomeReply,
    OutcomeReport,
    StoredResponse,
)
from carobspring.settings import Change
from standins.deployment import Deployment, RunningProgram
from tests.control.harness import make_report, open_agent, open_entry, send_request

TEST_TIMEOUT_S = 60.0


def make_change_request(
    change_id: str, base: int, priority: int = 1
) -> ChangeRequestBody:
    chat = ServiceClass(name="chat", priority=priority, target=LatencyTarget())
    return ChangeRequestBody(
        change_id=change_id, base_revision=base, changes=(Change(set_class=chat),)
    )


def make_claim(key: str) -> ClaimRequest:
    return ClaimRequest(
        workspace="w",
        service="booking",
        key=key,
        request_hash="h",
        server_id="m1",
        boot=7,
        request_id="r1",
    )


class ControlTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts three replicas, which the tests control by name."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.deployment.secret = "secret-of-the-test"
        self.addAsyncCleanup(self.deployment.close)
        started = await self.deployment.start_controls(["a", "b", "c"])
        self.replicas = {program.name: program for program in started}
        addresses = {name: each.ports for name, each in self.replicas.items()}
        self.peers = ",".join(
            f"{name}=127.0.0.1:{ports['rpc']}" for name, ports in addresses.items()
        )

    def make_client(self, *names: str) -> AdminClient:
        """Return a client of the named replicas, or of all."""
        chosen = [self.replicas[name] for name in names or self.replicas]
        return AdminClient(
            addresses=tuple(program.address("admin") for program in chosen),
            token=self.deployment.operator_token,
        )

    async def change(self, request: ChangeRequestBody, *names: str) -> ChangeReport:
        client = self.make_client(*names)
        return await asyncio.to_thread(
            client.post, "/v1/changes", request, ChangeReport
        )

    async def read_settings(self, *names: str) -> Settings:
        client = self.make_client(*names)
        return await asyncio.to_thread(client.get, "/v1/settings", Settings)

    async def find_leader(self) -> RunningProgram:
        """Wait for a leader that is running, and return it."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                running = [
                    name
                    for name, program in self.replicas.items()
                    if program.returncode is None
                ]
                client = self.make_client(*running)
                status = await asyncio.to_thread(client.get, "/v1/status", StatusReport)
                if status.leader in running:
                    return self.replicas[status.leader]
                await asyncio.sleep(0.05)

    async def restart(self, program: RunningProgram) -> None:
        """Restart a stopped replica with its ports and data directory."""
        self.replicas[program.name] = await self.deployment.start_control(
            program.name,
            rpc_port=program.ports["rpc"],
            admin_port=program.ports["admin"],
            peers=self.peers,
        )

    async def call_any_replica(self, path: str, request: object, reply_type: type):
        """Call the replicas in turn until one replies without an error."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                for program in self.replicas.values():
                    if program.returncode is not None:
                        continue
                    try:
                        reply = await send_request(
                            program.ports["rpc"], path, request, reply_type
                        )
                    except Exception:
                        continue
                    if not reply.error:
                        return reply
                await asyncio.sleep(0.05)


class SettingsTests(ControlTestCase):
    async def test_any_replica_accepts_changes(self):
        """Every replica accepts changes, and all show each one immediately."""
        for base, name in enumerate(self.replicas):
            report = await self.change(
                make_change_request(f"c{base}", base, base), name
            )
            self.assertEqual(report.revision, base + 1)
            for other in self.replicas:
                settings = await self.read_settings(other)
                self.assertEqual(settings.revision, base + 1)

    async def test_concurrent_changes(self):
        """Of concurrent changes to one revision, exactly one is accepted."""
        outcomes = await asyncio.gather(
            *(
                self.change(make_change_request(f"c{name}", 0, index), name)
                for index, name in enumerate(self.replicas)
            ),
            return_exceptions=True,
        )
        accepted = [each for each in outcomes if isinstance(each, ChangeReport)]
        refused = [each for each in outcomes if isinstance(each, ApiError)]
        self.assertEqual((len(accepted), len(refused)), (1, 2))
        for error in refused:
            self.assertEqual((error.status, error.report.revision), (409, 1))

    async def test_leader_killed(self):
        """A change resent after the leader was killed gets the same answer."""
        first = await self.change(make_change_request("c1", 0))
        leader = await self.find_leader()
        await leader.kill()
        running = [name for name in self.replicas if name != leader.name]
        for name in running:
            again = await self.change(make_change_request("c1", 0), name)
            self.assertEqual(again, first)
        second = await self.change(make_change_request("c2", 1, 2), *running)
        self.assertEqual(second.revision, 2)
        await self.restart(leader)
        settings = await self.read_settings(leader.name)
        self.assertEqual(settings.revision, 2)

    async def test_all_killed(self):
        """Accepted changes survive when every replica is killed."""
        first = await self.change(make_change_request("c1", 0))
        await asyncio.gather(*(each.kill() for each in self.replicas.values()))
        await asyncio.gather(*(self.restart(e) for e in self.replicas.values()))
        again = await self.change(make_change_request("c1", 0))
        self.assertEqual(again, first)
        self.assertEqual((await self.read_settings()).revision, 1)

    async def test_planned_stop(self):
        """A leader that is stopped transfers leadership and exits with 0."""
        await self.change(make_change_request("c1", 0))
        leader = await self.find_leader()
        self.assertEqual(await leader.stop(), 0)
        self.assertIn("leadership transferred: True", leader.read_log())
        running = [name for name in self.replicas if name != leader.name]
        report = await self.change(make_change_request("c2", 1), *running)
        self.assertEqual(report.revision, 2)


class ReplacementTests(ControlTestCase):
    async def list_replicas(self) -> tuple[ReplicaStatus, ...]:
        """Return the members of the cluster as the running replicas report."""
        running = [n for n, p in self.replicas.items() if p.returncode is None]
        client = self.make_client(*running)
        status = await asyncio.to_thread(client.get, "/v1/status", StatusReport)
        return status.replicas

    async def test_lost_disk(self):
        """A replica with an empty disk gets a new identity and votes again."""
        await self.change(make_change_request("c1", 0))
        before = await self.list_replicas()
        self.assertEqual([each.name for each in before], ["c1", "c2", "c3"])
        lost, other, _ = self.replicas.values()
        await lost.kill()
        shutil.rmtree(self.deployment.folder / f"data-{lost.name}")
        await self.restart(lost)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                after = await self.list_replicas()
                names = [each.name for each in after if each.votes]
                is_new = after[0].identity != before[0].identity
                if names == ["c1", "c2", "c3"] and is_new:
                    break
                await asyncio.sleep(0.1)
        await other.kill()
        running = [name for name in self.replicas if name != other.name]
        report = await self.change(make_change_request("c2", 1), *running)
        self.assertEqual(report.revision, 2)
        settings = await self.read_settings(lost.name)
        self.assertEqual(settings.revision, 2)


class UniqueCallTests(ControlTestCase):
    async def test_leader_killed_between_claim_and_outcome(self):
        """A claim and its outcome survive the leaders that committed them."""
        request = make_claim("k1")
        answer = StoredResponse(status=201, body=b"booked")
        granted = await self.call_any_replica(paths.CLAIM_CALL, request, ClaimReply)
        self.assertIs(granted.granted, True)
        leader = await self.find_leader()
        await leader.kill()
        again = await self.call_any_replica(paths.CLAIM_CALL, request, ClaimReply)
        self.assertEqual(again, granted)
        report = OutcomeReport(
            number=granted.claim.number,
            run_status=RunStatus.RAN,
            answer=answer,
            boot=7,
        )
        await self.call_any_replica(paths.REPORT_OUTCOME, report, OutcomeReply)
        await self.restart(leader)
        await (await self.find_leader()).kill()
        done = await self.call_any_replica(paths.CLAIM_CALL, request, ClaimReply)
        self.assertIs(done.granted, False)
        self.assertIs(done.claim.state, ClaimState.DONE)
        self.assertEqual(done.claim.answer, answer)


class MembershipTests(ControlTestCase):
    async def test_agent_at_another_replica(self):
        """An entry learns of agents that report to another replica."""
        ports = [each.ports["rpc"] for each in self.replicas.values()]
        async with open_entry(ports[1]) as entry:
            async with open_agent(ports[0]) as agent:
                await agent.send(make_report())
                await entry.wait_for(lambda update: update.servers)
                await agent.send(make_report(2, leaving=True))
                await entry.wait_for(lambda update: update.removed == ("m1",))

    async def test_no_view_without_a_quorum(self):
        """A replica without a quorum sends no view to entries."""
        await self.find_leader()
        [last, *others] = self.replicas.values()
        await asyncio.gather(*(each.kill() for each in others))
        async with open_entry(last.ports["rpc"]) as entry:
            with self.assertRaises((GRPCError, StreamTerminatedError)):
                await entry.wait_for_end()
            self.assertEqual(entry.received, [])
        await asyncio.gather(*(self.restart(each) for each in others))
        await self.find_leader()
        async with open_entry(last.ports["rpc"]) as entry:
            await entry.wait_for(lambda update: update.complete)

    async def test_status_lists_every_zone(self):
        """Any replica reports each zone, also those at other replicas."""
        ports = [each.ports["rpc"] for each in self.replicas.values()]
        async with open_entry(ports[0]) as first, open_entry(ports[1]) as second:
            client = self.make_client("c3")
            zones: list[tuple[str, int]] = []
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while zones != [("a", 0), ("b", 0)]:
                    # Entries repeat their reports, one each second.
                    for stream, zone in ((first, "a"), (second, "b")):
                        report = EntryReport(entry_id=f"e-{zone}", zone=zone)
                        await stream.send(report)
                    status = await asyncio.to_thread(
                        client.get, "/v1/status", StatusReport
                    )
                    zones = [(zone.zone, zone.revision) for zone in status.zones]
                    await asyncio.sleep(0.1)
