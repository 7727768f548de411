"""The programs as the users' machines start them, on loopback addresses."""

import asyncio
import itertools
import json
import shutil
import signal
import unittest

import aiohttp

from standins.backend_server import StandInServer
from standins.deployment import Deployment, open_client, wait_until
from standins.instances import READINESS_PORT, InstanceSet, find_free_network
from standins.operator import Operator, build_configuration


class InstancesCase(unittest.IsolatedAsyncioTestCase):
    """Three control daemons, four entries and two backend servers."""

    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(Deployment())
        self.client = await self.enterAsyncContext(open_client(20))
        self.operator_client = await self.enterAsyncContext(open_client(1))
        self.network = find_free_network()
        self.instances = InstanceSet(self.deployment, network=self.network)
        await self.instances.start_all()
        controls = [each.control_url for each in self.instances.controls]
        self.controls = controls
        self.operator = Operator(controls, self.operator_client)
        self.servers = [
            StandInServer(
                service="svc", ip=f"127.{self.network}.{200 + n}.1", controls=controls
            )
            for n in range(2)
        ]
        for server in self.servers:
            await server.start()
            self.addAsyncCleanup(server.crash)
        self.identifiers = itertools.count(1)
        await self.operator.put(build_configuration(1))
        await self.wait_serving()

    async def call(self, entry, path, *, key="key-1", method="GET", headers=()):
        """Return the status and body that a caller gets at an entry."""
        headers = {
            "Host": "shop.example",
            "Carobspring-Attempt-Id": f"a{next(self.identifiers)}",
            "Carobspring-Deadline-Ms": "10000",
            "Authorization": f"Bearer {key}",
            "Connection": "close",
            **dict(headers),
        }
        async with self.client.request(
            method, entry.frontend_url + path, headers=headers
        ) as answer:
            return answer.status, await answer.text()

    async def try_call(self, entry, path):
        try:
            return (await self.call(entry, path))[0] == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_serving(self):
        async def serves_everywhere():
            served = [
                await self.try_call(entry, "/read/x")
                for entry in self.instances.instances
            ]
            return all(served)

        await wait_until(serves_everywhere, "every entry serves")

    async def wait_logged(self, *words):
        """Wait until every entry has logged a line with all these words."""

        def has_line(entry):
            lines = entry.programs["carob-entry"].read_log().splitlines()
            return any(all(word in line for word in words) for line in lines)

        async def all_have():
            return all(has_line(entry) for entry in self.instances.instances)

        await wait_until(all_have, f"a log line with {words} at every entry")

    async def check_versions(self, expected):
        """Read at every control daemon until each has shown a version.

        A daemon may say at any time that it can't know the newest; what it
        shows must be the expected version each time.
        """
        shown = {control: set() for control in self.controls}

        async def all_shown():
            for control, versions in shown.items():
                version = await self.operator.read_version(control)
                if version is not None:
                    versions.add(version)
            return all(shown.values())

        await wait_until(all_shown, "every control daemon answers a read")
        self.assertEqual(shown, {control: {expected} for control in self.controls})


class GateTests(InstancesCase):
    async def test_engine_behind_its_gate(self):
        """Long prompts ask the gate, and are served when no host is left."""
        ip = f"127.{self.network}.210.1"
        engine = StandInServer(
            service="engines", ip=ip, controls=self.controls, is_engine=True
        )
        await engine.start()
        self.addAsyncCleanup(engine.crash)
        await self.wait_logged("connected to admission host")
        await self.wait_logged("backend server listed", engine.server_id)
        entries = self.instances.instances
        tokens = {"Carobspring-Token-Usage": "6000,50"}

        async def call_everywhere():
            return [
                (await self.call(entry, "/model/x", headers=tokens))[0]
                for entry in entries
            ]

        self.assertEqual(await call_everywhere(), [200] * 4)
        controls = [each.programs["carob-control"] for each in self.instances.controls]
        admitted = sum(program.read_log().count('"admitted"') for program in controls)
        self.assertEqual(admitted, 4)
        for program in controls:
            await program.kill()
        await self.wait_logged("lost connection to admission host")
        self.assertEqual(await call_everywhere(), [200] * 4)


class ReplacementTests(InstancesCase):
    async def test_replica_at_another_address(self):
        """A replica that is gone for good is replaced by one elsewhere.

        After that a second one may be lost, too.
        """
        first, second, third = self.instances.controls
        await first.programs["carob-control"].kill()
        spare = self.instances.add_spare(f"127.{self.network}.9.1")
        await self.instances.start(spare, "carob-control")
        program = spare.programs["carob-control"]

        async def votes():
            return '"votes":true' in program.read_log()

        await wait_until(votes, "the new replica votes")
        await second.programs["carob-control"].kill()
        left = [third.control_url, spare.control_url]
        operator = Operator(left, self.operator_client)
        await operator.put(build_configuration(2))

        async def is_shown():
            return await operator.read_version(spare.control_url) == 2

        await wait_until(is_shown, "the new replica shows the change")


class PathTests(InstancesCase):
    async def test_whole_path(self):
        """Requests, keys, streams, drains and new routes, everywhere."""
        entries = self.instances.instances
        with self.subTest("requests"):
            status, body = await self.call(entries[0], "/book/x", method="POST")
            self.assertEqual((status, body.split()[0]), (200, "POST"))
            found = [(await self.call(entry, "/none/x"))[0] for entry in entries] + [
                (await self.call(entry, "/read/x", key="k"))[0] for entry in entries
            ]
            self.assertEqual(found, [404] * 4 + [401] * 4)
        with self.subTest("a stream"):
            _, body = await self.call(entries[3], "/stream/x")
            expected = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, 6))
            self.assertEqual(body, expected)
        with self.subTest("what may run once ran once"):
            for server in self.servers:
                self.assertLessEqual(max(server.run_counts.values(), default=0), 1)
        with self.subTest("a new version and a key that is taken away"):
            owners = [{"name": "acme", "api_keys": ["key-2"]}]
            await self.operator.put(build_configuration(4, tenants=owners))
            await self.wait_logged('"routes in force"', '"version":4')
            found = [(await self.call(e, "/read/x"))[0] for e in entries]
            self.assertEqual(found, [401] * 4)
            found = [(await self.call(e, "/read/x", key="key-2"))[0] for e in entries]
            self.assertEqual(found, [200] * 4)
            await self.check_versions(4)
        with self.subTest("a drain"):
            drained, other = self.servers
            await drained.drain()
            await self.wait_logged(drained.server_id, '"draining":true')
            before = len(drained.arrival_times)
            for entry in entries * 5:
                self.assertEqual(
                    (await self.call(entry, "/read/x", key="key-2"))[0], 200
                )
            self.assertEqual(len(drained.arrival_times), before)
            self.assertGreater(len(other.arrival_times), 0)

    async def test_planned_stop(self):
        """A stopping entry says so at once and cuts no stream."""
        entry = self.instances.instances[3]
        for server in self.servers:
            server.event_count, server.event_interval_s = 30, 0.1
        streaming = asyncio.create_task(self.call(entry, "/stream/x"))
        await asyncio.sleep(0.5)
        program = entry.programs["carob-entry"]
        program.send_signal(signal.SIGTERM)
        url = f"http://{entry.ip}:{READINESS_PORT}/v1/readyz"

        async def is_unready():
            async with self.client.get(url) as answer:
                return answer.status == 503

        await wait_until(is_unready, "the entry is unready")
        status, body = await streaming
        self.assertEqual((status, body.count("data: ")), (200, 30))
        self.assertEqual(await program.stop(), 0)


class FaultTests(InstancesCase):
    async def test_everything_killed(self):
        """After all processes were killed nothing confirmed is lost."""
        await self.operator.put(build_configuration(9))
        await self.instances.kill_all()
        await self.instances.start_all()
        await self.wait_serving()
        await self.check_versions(9)

    async def test_lost_disk(self):
        """A daemon that lost its disk comes back; then another may be lost."""
        await self.operator.put(build_configuration(5))
        first, second, _ = self.instances.controls
        await first.programs["carob-control"].kill()
        shutil.rmtree(first.data_folder)
        await self.instances.start(first, "carob-control")
        await self.check_versions(5)
        await self.operator.put(build_configuration(6))
        await self.wait_voting(first)
        await second.programs["carob-control"].kill()
        await self.operator.put(build_configuration(7))
        for control in (self.controls[0], self.controls[2]):
            self.assertIn(await self.operator.read_version(control), (7, None))

    async def wait_voting(self, instance):
        """Wait until a daemon with a new disk has its vote back."""
        program = instance.programs["carob-control"]

        async def votes():
            lines = program.read_log().splitlines()
            changes = [line for line in lines if "members changed" in line]
            return bool(changes) and json.loads(changes[-1])["votes"]

        await wait_until(votes, f"{program.name} votes")

    async def test_server_that_fails(self):
        """Requests go past a server that sheds, cuts or is gone."""
        entry = self.instances.instances[0]
        for fault in ("shed", "cut", "error"):
            self.servers[0].fault = fault
            for _ in range(4):
                with self.subTest(fault):
                    self.assertEqual((await self.call(entry, "/read/x"))[0], 200)
        self.servers[0].fault = ""
        await self.servers[0].crash()
        for _ in range(6):
            self.assertEqual((await self.call(entry, "/read/x"))[0], 200)
