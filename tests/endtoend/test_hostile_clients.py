"""Clients that nobody controls, at each address of an instance's programs.

The crowd and the bounds are fixed. The bounds are half of the memory and the
descriptors of the smallest instance, which two programs share.
"""

import asyncio
import itertools
import unittest
from pathlib import Path

import aiohttp

from standins.backend_server import StandInServer
from standins.deployment import Deployment, open_client, wait_until
from standins.hostile_clients import FORMS, MAX_BODY_BYTES, HostileCrowd, Target
from standins.instances import (
    CONTROL_PORT,
    FRONTEND_PORT,
    READINESS_PORT,
    InstanceSet,
    find_free_network,
)
from standins.operator import Operator, build_configuration

CROWD = 24
MAX_MEMORY_KB = 64 * 1024
MAX_DESCRIPTORS = 767
ENTRY_METRICS_PORT = 9464
CONTROL_METRICS_PORT = 9465
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": MAX_BODY_BYTES,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


def read_peak_memory_kb(pid):
    """Return the most memory that a process has had, in KiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    [line] = [each for each in status.splitlines() if each.startswith("VmHWM:")]
    return int(line.split()[1])


def count_descriptors(pid):
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


class HostileClientsTestCase(unittest.IsolatedAsyncioTestCase):
    """One instance with both programs, and one backend server."""

    instance_limits = {"memory_mb": 128, "max_fds": 1_535}

    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(Deployment())
        self.client = await self.enterAsyncContext(open_client(30))
        network = find_free_network()
        self.instances = InstanceSet(
            self.deployment,
            network=network,
            zones="a",
            diskless_entries=0,
            limits=self.instance_limits,
            flags={
                "carob-control": {"metrics_port": CONTROL_METRICS_PORT},
                "carob-entry": {"metrics_port": ENTRY_METRICS_PORT},
            },
        )
        await self.instances.start_all()
        [self.instance] = self.instances.instances
        controls = [self.instance.control_url]
        self.server = StandInServer(
            service="svc", ip=f"127.{network}.200.1", controls=controls
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.identifiers = itertools.count(1)
        self.operator = Operator(controls, self.client)
        await self.operator.put(self.build_configuration())
        await self.wait_until_served()

    def build_configuration(self):
        return build_configuration(1, limits=LIMITS)

    async def try_call(self, body=b""):
        headers = {
            "Host": "shop.example",
            "Carobspring-Attempt-Id": f"a{next(self.identifiers)}",
            "Carobspring-Deadline-Ms": "10000",
            "Authorization": "Bearer key-1",
            "Connection": "close",
        }
        url = self.instance.frontend_url + "/read/x"
        try:
            async with self.client.post(url, headers=headers, data=body) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_until_served(self):
        await wait_until(self.try_call, "an ordinary request is served")

    def check_programs(self):
        for name, program in self.instance.programs.items():
            self.assertIsNone(program.returncode, f"{name} has ended")
            peak_kb = read_peak_memory_kb(program.pid)
            self.assertLess(peak_kb, MAX_MEMORY_KB, f"memory of {name} in KiB")
            count = count_descriptors(program.pid)
            self.assertLess(count, MAX_DESCRIPTORS, f"descriptors of {name}")

    async def check_form(self, form, target):
        """Send a form with the crowd, and check what must hold then."""
        crowd = HostileCrowd(target=target, form=FORMS[form], count=CROWD)
        async with crowd:
            self.check_programs()
            await self.wait_until_served()
        self.check_programs()
        await asyncio.sleep(0)
        await self.wait_until_served()

    def build_target(self, port, path, **values):
        return Target(host=self.instance.ip, port=port, path=path, **values)


class LargestRequestTests(HostileClientsTestCase):
    async def test_largest_request(self):
        """A single request of the largest allowed size is served in calm."""
        self.assertIs(await self.try_call(bytes(MAX_BODY_BYTES)), True)
        self.check_programs()


class RouteTests(HostileClientsTestCase):
    """Clients that use a route with a valid key."""

    async def check(self, form):
        headers = {
            "Authorization": "Bearer key-1",
            "Carobspring-Attempt-Id": "h1",
            "Carobspring-Deadline-Ms": "10000",
        }
        target = self.build_target(FRONTEND_PORT, "/read/x", headers=headers)
        await self.check_form(form, target)


class UnroutedTests(HostileClientsTestCase):
    """Clients that use a path without a route."""

    async def check(self, form):
        await self.check_form(form, self.build_target(FRONTEND_PORT, "/none/x"))


class ReadinessTests(HostileClientsTestCase):
    """Clients that use the path that says whether the entry is ready."""

    async def check(self, form):
        target = self.build_target(READINESS_PORT, "/v1/readyz")
        await self.check_form(form, target)


class ControlTests(HostileClientsTestCase):
    """Clients that send configurations to the control daemon."""

    async def check(self, form):
        target = self.build_target(CONTROL_PORT, "/v1/config", method="PUT")
        await self.check_form(form, target)


class CheckInTests(HostileClientsTestCase):
    """Clients that send check-ins to the control daemon."""

    async def check(self, form):
        target = self.build_target(CONTROL_PORT, "/v1/instances/i-1", method="PUT")
        await self.check_form(form, target)


class EntryMetricsTests(HostileClientsTestCase):
    """Clients that use the metrics address of the entry."""

    async def check(self, form):
        target = self.build_target(ENTRY_METRICS_PORT, "/metrics")
        await self.check_form(form, target)


def _add_tests():
    """Add a test for each form to the class of each address."""
    for case in (
        RouteTests,
        UnroutedTests,
        ReadinessTests,
        ControlTests,
        CheckInTests,
        EntryMetricsTests,
    ):
        for form in FORMS:

            async def test(self, form=form):
                await self.check(form)

            test.__doc__ = f"The process stays within its memory: {form}."
            test.__name__ = f"test_{form.replace(' ', '_')}"
            setattr(case, test.__name__, test)


_add_tests()


if __name__ == "__main__":
    unittest.main()
