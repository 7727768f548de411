"""A deployment of the programs on simulated instances, for tests."""

import itertools
import unittest

import aiohttp

from standins.backend_server import StandInServer
from standins.deployment import Deployment, open_client, wait_until
from standins.instances import ENTRY_MODULE, InstanceSet, find_free_network
from standins.operator import Operator, build_configuration


class InstancesTestCase(unittest.IsolatedAsyncioTestCase):
    """Three control daemons, four entries and some backend servers."""

    SERVER_COUNT = 2
    #: Software versions that the servers have in turn.
    VERSIONS = ("v1",)
    #: Values of the node file that differ from those of the stand-in.
    BOUNDS = {}
    DISKLESS_ENTRIES = 1
    ENTRY_MODULE = ENTRY_MODULE

    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(Deployment())
        self.client = await self.enterAsyncContext(open_client(20))
        self.operator_client = await self.enterAsyncContext(open_client(1))
        self.network = find_free_network()
        cloud = await self.start_provider()
        self.instances = InstanceSet(
            self.deployment,
            network=self.network,
            diskless_entries=self.DISKLESS_ENTRIES,
            entry_module=self.ENTRY_MODULE,
            bounds=self.BOUNDS,
            cloud=cloud,
        )
        await self.instances.start_all()
        controls = [control.control_url for control in self.instances.controls]
        self.controls = controls
        self.operator = Operator(controls, self.operator_client)
        self.servers = [
            StandInServer(
                service="svc",
                ip=f"127.{self.network}.{200 + n}.1",
                controls=controls,
                version=self.VERSIONS[n % len(self.VERSIONS)],
            )
            for n in range(self.SERVER_COUNT)
        ]
        for server in self.servers:
            await server.start()
            self.addAsyncCleanup(server.close)
        self.identifiers = itertools.count(1)
        await self.operator.put(build_configuration(1))
        await self.wait_until_serving()

    async def start_provider(self):
        """Start a provider and return its part of the node files, if any."""
        return None

    async def call(
        self, entry, path, *, key="key-1", method="GET", headers=(), body=None
    ):
        """Send a request to an entry; return the status and the body."""
        headers = {
            "Host": "shop.example",
            "Carobspring-Attempt-Id": f"a{next(self.identifiers)}",
            "Carobspring-Deadline-Ms": "10000",
            "Authorization": f"Bearer {key}",
            "Connection": "close",
            **dict(headers),
        }
        async with self.client.request(
            method, entry.frontend_url + path, headers=headers, data=body
        ) as response:
            return response.status, await response.text()

    async def try_call(self, entry, path):
        try:
            return (await self.call(entry, path))[0] == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_until_serving(self):
        async def serves_everywhere():
            results = [
                await self.try_call(entry, "/read/x")
                for entry in self.instances.instances
            ]
            return all(results)

        await wait_until(serves_everywhere, "every entry serves")

    async def wait_until_logged(self, *words):
        """Wait until every entry has logged a line with all the words."""

        def has_line(entry):
            lines = entry.programs["carob-entry"].read_log().splitlines()
            return any(all(word in line for word in words) for line in lines)

        async def all_have_line():
            return all(has_line(entry) for entry in self.instances.instances)

        await wait_until(all_have_line, f"a log line with {words} at every entry")

    async def check_versions(self, expected):
        """Read from every control daemon until each has returned a version.

        A daemon may respond at any time that it cannot confirm the latest
        version. Each version that it returns must be the expected one.
        """
        versions_by_control = {control: set() for control in self.controls}

        async def all_have_version():
            for control, versions in versions_by_control.items():
                version = await self.operator.read_version(control)
                if version is not None:
                    versions.add(version)
            return all(versions_by_control.values())

        await wait_until(all_have_version, "every control daemon answers a read")
        self.assertEqual(
            versions_by_control, {control: {expected} for control in self.controls}
        )
