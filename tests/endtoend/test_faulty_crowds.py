"""Crowds of requests to a backend server that sends bytes without end.

The crowds and the bounds are fixed: the memory of the smallest instance and,
with it, requests of others that are served meanwhile.
"""

import asyncio
import contextlib
from pathlib import Path

import aiohttp

from standins.backend_server import SERVER_PORT
from standins.deployment import wait_until
from standins.faulty_server import FLOODS, FaultyServer
from standins.instances import find_free_network
from standins.operator import build_configuration
from tests.endtoend.test_client_crowds import (
    MEMORY_MB,
    SAMPLE_INTERVAL_S,
    CrowdTestCase,
    read_memory_kb,
)
from tests.endtoend.test_hostile_clients import LIMITS, read_peak_memory_kb

CROWD = 250
#: Requests that all run at once.
SMALL_CROWD = 90
SMALL_CROWD_FLOODS = ("one event", "an event and silence")
#: Seconds for which the crowd asks.
CROWD_S = 6.0
MAX_CONNECTIONS = 1_000
CHECK_INTERVAL_S = 0.25


def read_unread_responses_kb(ip):
    """Return what has arrived from a server and was not read, in KiB."""
    packed = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    address = f"{packed}:{SERVER_PORT:04X}"
    unread_bytes = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, _, remote, _, queues, *_ = line.split()
        if remote == address:
            unread_bytes += int(queues.partition(":")[2], 16)
    return unread_bytes // 1024


class FaultyCrowdTests(CrowdTestCase):
    """Guards against an entry that keeps what a faulty server sends it."""

    def build_configuration(self):
        configuration = build_configuration(1, limits=LIMITS)
        for service in configuration["services"]:
            service["max_conns"] = MAX_CONNECTIONS
        return configuration

    async def start_faulty_server(self, flood):
        ip = f"127.{find_free_network()}.201.1"
        server = FaultyServer(
            flood=FLOODS[flood],
            service="engines",
            ip=ip,
            controls=[self.instance.control_url],
            is_engine=True,
        )
        await server.start()
        self.addAsyncCleanup(server.close)

        async def is_used():
            await self.ask_faulty(timeout_s=0.2)
            return server.request_count > 0

        await wait_until(is_used, "the faulty server gets a request")
        return ip

    async def ask_faulty(self, *, timeout_s=CROWD_S):
        headers = {
            "Host": "shop.example",
            "Carobspring-Attempt-Id": f"a{next(self.identifiers)}",
            "Carobspring-Deadline-Ms": "10000",
            "Authorization": "Bearer key-1",
            "Connection": "close",
        }
        url = self.instance.frontend_url + "/model/x"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self.crowd_client.post(
                url, headers=headers, timeout=timeout
            ) as response:
                async for _ in response.content.iter_any():
                    pass

    async def sample_entry(self, server_ip):
        """Record the most memory of the entry, with unread responses."""
        pid = self.instance.programs["carob-entry"].pid
        while self.instance.programs["carob-entry"].returncode is None:
            memory_kb = read_memory_kb(pid) + read_unread_responses_kb(server_ip)
            self.most_entry_kb = max(self.most_entry_kb, memory_kb)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def ask_again(self, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self.ask_faulty(timeout_s=max(0.1, until - loop.time()))

    async def check(self, flood, count):
        self.crowd_client = await self.enterAsyncContext(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        server_ip = await self.start_faulty_server(flood)
        self.most_entry_kb = 0
        sampling = asyncio.create_task(self.sample_entry(server_ip))
        until = asyncio.get_running_loop().time() + CROWD_S
        crowd = [asyncio.create_task(self.ask_again(until)) for _ in range(count)]
        await asyncio.sleep(CHECK_INTERVAL_S)
        await self.wait_until_served()
        await asyncio.gather(*crowd)
        sampling.cancel()
        entry = self.instance.programs["carob-entry"]
        self.assertIsNone(entry.returncode, "the entry has ended")
        peak_kb = max(self.most_entry_kb, read_peak_memory_kb(entry.pid))
        self.assertLess(peak_kb, MEMORY_MB * 1024, "memory of the entry in KiB")
        await self.wait_until_served()


def _add_tests():
    """Add a test for each flood and crowd."""
    for flood in FLOODS:
        is_small_too = flood in SMALL_CROWD_FLOODS
        for count in (CROWD, SMALL_CROWD) if is_small_too else (CROWD,):

            async def test(self, flood=flood, count=count):
                await self.check(flood, count)

            test.__doc__ = f"The entry stays within its memory: {flood}, {count}."
            test.__name__ = f"test_{flood.replace(' ', '_')}_{count}"
            setattr(FaultyCrowdTests, test.__name__, test)


_add_tests()
