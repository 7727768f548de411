"""Crowds of clients that take memory by their number, on a small instance.

The crowds and the bounds are fixed. The bounds are the memory of the smallest
instance and the descriptors that it is told: a platform kills a process that
uses more memory, and it counts the bytes that have arrived for it unread.
"""

import asyncio
import unittest
from pathlib import Path

import aiohttp

from standins.deployment import wait_until
from standins.hostile_clients import CROWD_FORMS, HostileCrowd
from standins.instances import CONTROL_PORT, FRONTEND_PORT, READINESS_PORT
from standins.operator import build_configuration
from tests.endtoend.test_hostile_clients import (
    LIMITS,
    HostileClientsTestCase,
    count_descriptors,
    read_peak_memory_kb,
)

CROWD = 400
#: Clients of which each sends without end.
FEW = 8
MEMORY_MB = 88
MAX_DESCRIPTORS = 1_000
SAMPLE_INTERVAL_S = 0.02
#: Routes of a large configuration. Each read of it returns some 500 KB.
MANY_ROUTES = 2_000
RESPONSE_BYTES = 1024 * 1024
CALLER_HEADERS = {
    "Authorization": "Bearer key-1",
    "Carobspring-Attempt-Id": "h1",
    "Carobspring-Deadline-Ms": "10000",
}
LISTENING_STATE = "0A"


def read_memory_kb(pid):
    """Return the memory that a process has now, in KiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    [line] = [each for each in status.splitlines() if each.startswith("VmRSS:")]
    return int(line.split()[1])


def read_unread_kb(ports, ip):
    """Return what has arrived at an address and was not read, in KiB."""
    packed = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    addresses = {f"{packed}:{port:04X}" for port in ports}
    unread_bytes = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        if local in addresses and state != LISTENING_STATE:
            unread_bytes += int(queues.partition(":")[2], 16)
    return unread_bytes // 1024


class CrowdTestCase(HostileClientsTestCase):
    """One instance of the smallest size."""

    instance_limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
    ports_by_program = {
        "carob-entry": (FRONTEND_PORT, READINESS_PORT),
        "carob-control": (CONTROL_PORT,),
    }

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.most_kb = dict.fromkeys(self.instance.programs, 0)

    def check_programs(self):
        """Check each program against the instance's memory."""
        for name, program in self.instance.programs.items():
            self.assertIsNone(program.returncode, f"{name} has ended")
            peak_kb = max(self.most_kb[name], read_peak_memory_kb(program.pid))
            self.assertLess(peak_kb, MEMORY_MB * 1024, f"memory of {name} in KiB")
            count = count_descriptors(program.pid)
            self.assertLess(count, MAX_DESCRIPTORS, f"descriptors of {name}")

    async def sample_memory(self):
        """Record the most memory of each program, with what it left unread."""
        while True:
            for name, program in self.instance.programs.items():
                if program.returncode is None:
                    ports = self.ports_by_program[name]
                    memory_kb = read_memory_kb(program.pid)
                    memory_kb += read_unread_kb(ports, self.instance.ip)
                    self.most_kb[name] = max(self.most_kb[name], memory_kb)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def check_crowd(self, form, target, count=CROWD):
        """Send a form, and check what must hold during it and afterwards."""
        sampling = asyncio.create_task(self.sample_memory())
        try:
            crowd = HostileCrowd(target=target, form=form, count=count)
            async with crowd:
                await self.wait_until_served()
            await self.wait_until_served()
        finally:
            sampling.cancel()
        self.assertFalse(sampling.done(), "the sampling of the memory has ended")
        self.check_programs()


class RouteCrowdTests(CrowdTestCase):
    """Crowds that use a route with a valid key."""

    async def check(self, form):
        target = self.build_target(FRONTEND_PORT, "/read/x", headers=CALLER_HEADERS)
        await self.check_crowd(CROWD_FORMS[form], target)


class UnreadResponseTests(CrowdTestCase):
    """Clients that read none of a backend server's large responses."""

    async def check(self, count):
        self.server.response_bytes = RESPONSE_BYTES
        target = self.build_target(
            FRONTEND_PORT, "/read/x", headers=CALLER_HEADERS, method="GET"
        )
        await self.check_crowd(CROWD_FORMS["requests ahead"], target, count)

    async def test_few_clients(self):
        """A few clients that ask without end stay within the memory."""
        await self.check(FEW)

    async def test_crowd(self):
        """A crowd of clients that ask without end stays within the memory."""
        await self.check(CROWD)


class UnroutedCrowdTests(CrowdTestCase):
    """Crowds that use a path without a route, and no key."""

    async def check(self, form):
        target = self.build_target(FRONTEND_PORT, "/none/x")
        await self.check_crowd(CROWD_FORMS[form], target)


class ControlCrowdTests(CrowdTestCase):
    """Crowds that send configurations to the control daemon."""

    async def check(self, form):
        target = self.build_target(CONTROL_PORT, "/v1/config", method="PUT")
        await self.check_crowd(CROWD_FORMS[form], target)


class UnreadConfigurationTests(CrowdTestCase):
    """Clients that read none of the large responses that they ask for."""

    def build_configuration(self):
        configuration = build_configuration(1, limits=LIMITS)
        [route, *_] = configuration["routes"]
        configuration["routes"] += [
            route | {"name": f"more-{number}", "path_prefix": f"/more-{number}/"}
            for number in range(MANY_ROUTES)
        ]
        return configuration

    async def read_configuration(self):
        """Return whether an operator gets the configuration."""
        url = f"{self.instance.control_url}/v1/config"
        try:
            async with self.client.get(url) as response:
                await response.read()
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def check(self, count):
        target = self.build_target(CONTROL_PORT, "/v1/config", method="GET")
        await self.check_crowd(CROWD_FORMS["hosts ahead"], target, count)
        await wait_until(self.read_configuration, "an operator is answered")

    async def test_few_clients(self):
        """A few clients that ask without end stay within the memory."""
        await self.check(FEW)

    async def test_crowd(self):
        """A crowd of clients that ask without end stays within the memory."""
        await self.check(CROWD)


def _add_tests():
    """Add a test for each form to the class of each address."""
    for case in (RouteCrowdTests, UnroutedCrowdTests, ControlCrowdTests):
        for form in CROWD_FORMS:

            async def test(self, form=form):
                await self.check(form)

            test.__doc__ = f"Process and unread bytes stay within memory: {form}."
            test.__name__ = f"test_{form.replace(' ', '_')}"
            setattr(case, test.__name__, test)


_add_tests()


if __name__ == "__main__":
    unittest.main()
