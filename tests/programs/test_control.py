"""Three control replicas as processes, killed and restarted."""

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

WAIT_S = 60.0


def make_order(change_id: str, base: int, priority: int = 1) -> ChangeRequestBody:
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


class ControlCase(unittest.IsolatedAsyncioTestCase):
    """Starts three replicas; each test drives them by their names."""

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
        """Return a client of these replicas; of all without a name."""
        chosen = [self.replicas[name] for name in names or self.replicas]
        return AdminClient(
            addresses=tuple(program.address("admin") for program in chosen),
            token=self.deployment.operator_token,
        )

    async def change(self, order: ChangeRequestBody, *names: str) -> ChangeReport:
        client = self.make_client(*names)
        return await asyncio.to_thread(client.post, "/v1/changes", order, ChangeReport)

    async def read_settings(self, *names: str) -> Settings:
        client = self.make_client(*names)
        return await asyncio.to_thread(client.get, "/v1/settings", Settings)

    async def find_leader(self) -> RunningProgram:
        """Return the leader, once there is one that is not stopped."""
        async with asyncio.timeout(WAIT_S):
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
        """Start a stopped replica again on its ports and data folder."""
        self.replicas[program.name] = await self.deployment.start_control(
            program.name,
            rpc_port=program.ports["rpc"],
            admin_port=program.ports["admin"],
            peers=self.peers,
        )

    async def ask_any(self, path: str, request: object, reply_type: type):
        """Ask replicas in turn until one gives an answer without error."""
        async with asyncio.timeout(WAIT_S):
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


class SettingsTests(ControlCase):
    async def test_any_replica_takes_changes(self):
        """Each replica takes a change, and each shows all of them at once."""
        for base, name in enumerate(self.replicas):
            report = await self.change(make_order(f"c{base}", base, base), name)
            self.assertEqual(report.revision, base + 1)
            for other in self.replicas:
                settings = await self.read_settings(other)
                self.assertEqual(settings.revision, base + 1)

    async def test_racing_operators(self):
        """Of changes on one revision by all replicas, one is accepted."""
        outcomes = await asyncio.gather(
            *(
                self.change(make_order(f"c{name}", 0, index), name)
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
        """A resend after the leader died gets the first answer."""
        first = await self.change(make_order("c1", 0))
        leader = await self.find_leader()
        await leader.kill()
        alive = [name for name in self.replicas if name != leader.name]
        for name in alive:
            again = await self.change(make_order("c1", 0), name)
            self.assertEqual(again, first)
        second = await self.change(make_order("c2", 1, 2), *alive)
        self.assertEqual(second.revision, 2)
        await self.restart(leader)
        settings = await self.read_settings(leader.name)
        self.assertEqual(settings.revision, 2)

    async def test_all_killed(self):
        """What was accepted stands after every replica was killed."""
        first = await self.change(make_order("c1", 0))
        await asyncio.gather(*(each.kill() for each in self.replicas.values()))
        await asyncio.gather(*(self.restart(e) for e in self.replicas.values()))
        again = await self.change(make_order("c1", 0))
        self.assertEqual(again, first)
        self.assertEqual((await self.read_settings()).revision, 1)

    async def test_planned_stop(self):
        """A leader that is asked to stop hands over and ends in order."""
        await self.change(make_order("c1", 0))
        leader = await self.find_leader()
        self.assertEqual(await leader.stop(), 0)
        self.assertIn("leadership transferred: True", leader.read_log())
        alive = [name for name in self.replicas if name != leader.name]
        report = await self.change(make_order("c2", 1), *alive)
        self.assertEqual(report.revision, 2)


class ReplacementTests(ControlCase):
    async def list_replicas(self) -> tuple[ReplicaStatus, ...]:
        """Return the replicas as the running ones know them."""
        running = [n for n, p in self.replicas.items() if p.returncode is None]
        client = self.make_client(*running)
        status = await asyncio.to_thread(client.get, "/v1/status", StatusReport)
        return status.replicas

    async def test_lost_disk(self):
        """A replica with a new disk gets a new identity and then counts."""
        await self.change(make_order("c1", 0))
        before = await self.list_replicas()
        self.assertEqual([each.name for each in before], ["c1", "c2", "c3"])
        lost, other, _ = self.replicas.values()
        await lost.kill()
        shutil.rmtree(self.deployment.folder / f"data-{lost.name}")
        await self.restart(lost)
        async with asyncio.timeout(WAIT_S):
            while True:
                after = await self.list_replicas()
                names = [each.name for each in after if each.votes]
                is_new = after[0].identity != before[0].identity
                if names == ["c1", "c2", "c3"] and is_new:
                    break
                await asyncio.sleep(0.1)
        await other.kill()
        alive = [name for name in self.replicas if name != other.name]
        report = await self.change(make_order("c2", 1), *alive)
        self.assertEqual(report.revision, 2)
        settings = await self.read_settings(lost.name)
        self.assertEqual(settings.revision, 2)


class UniqueCallTests(ControlCase):
    async def test_leader_killed_between_claim_and_outcome(self):
        """Claim and outcome outlive the leaders that committed them."""
        request = make_claim("k1")
        answer = StoredResponse(status=201, body=b"booked")
        granted = await self.ask_any(paths.CLAIM_CALL, request, ClaimReply)
        self.assertIs(granted.granted, True)
        leader = await self.find_leader()
        await leader.kill()
        again = await self.ask_any(paths.CLAIM_CALL, request, ClaimReply)
        self.assertEqual(again, granted)
        report = OutcomeReport(
            number=granted.claim.number,
            run_status=RunStatus.RAN,
            answer=answer,
            boot=7,
        )
        await self.ask_any(paths.REPORT_OUTCOME, report, OutcomeReply)
        await self.restart(leader)
        await (await self.find_leader()).kill()
        done = await self.ask_any(paths.CLAIM_CALL, request, ClaimReply)
        self.assertIs(done.granted, False)
        self.assertIs(done.claim.state, ClaimState.DONE)
        self.assertEqual(done.claim.answer, answer)


class MembershipTests(ControlCase):
    async def test_agent_at_another_replica(self):
        """An entry hears of agents that report to any replica."""
        ports = [each.ports["rpc"] for each in self.replicas.values()]
        async with open_entry(ports[1]) as entry:
            async with open_agent(ports[0]) as agent:
                await agent.send(make_report())
                await entry.wait_for(lambda update: update.servers)
                await agent.send(make_report(2, leaving=True))
                await entry.wait_for(lambda update: update.removed == ("m1",))

    async def test_no_view_without_a_quorum(self):
        """A replica that is cut off from the quorum gives an entry no view."""
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

    async def test_status_names_every_zone(self):
        """Any replica tells what is in force where, also at other ones."""
        ports = [each.ports["rpc"] for each in self.replicas.values()]
        async with open_entry(ports[0]) as first, open_entry(ports[1]) as second:
            client = self.make_client("c3")
            zones: list[tuple[str, int]] = []
            async with asyncio.timeout(WAIT_S):
                while zones != [("a", 0), ("b", 0)]:
                    # Entries report each second.
                    for stream, zone in ((first, "a"), (second, "b")):
                        report = EntryReport(entry_id=f"e-{zone}", zone=zone)
                        await stream.send(report)
                    status = await asyncio.to_thread(
                        client.get, "/v1/status", StatusReport
                    )
                    zones = [(zone.zone, zone.revision) for zone in status.zones]
                    await asyncio.sleep(0.1)
