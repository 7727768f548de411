"""Tests of sound check-ins of another writer with servers' addresses."""

import asyncio
import itertools
import time

from standins.backend_server import CHECK_IN_INTERVAL_S
from standins.odd_check_ins import build_foreign_check_in, send_check_in
from tests.endtoend.instances import InstancesTestCase

#: Seconds for which requests are sent beside the foreign check-ins.
TRAFFIC_S = 6.0
REQUEST_INTERVAL_S = 0.1


class ForeignCheckInTests(InstancesTestCase):
    async def check_in_as_other_writer(self, service, *, uses_identifiers):
        """Check in with the servers' addresses until cancelled."""
        born = int(time.time() * 1000)
        for seq in itertools.count(1):
            for number, server in enumerate(self.servers):
                server_id = f"i-foreign-{number}"
                body = build_foreign_check_in(
                    server.address, service=service, born=born, seq=seq
                )
                status = await send_check_in(
                    self.operator_client,
                    self.controls[0],
                    server.server_id if uses_identifiers else server_id,
                    body,
                )
                self.confirmed_count += status == 200
            await asyncio.sleep(CHECK_IN_INTERVAL_S)

    async def count_served(self):
        """Return how many requests were sent, and how many were served."""
        entries = itertools.cycle(self.instances.instances)
        results = []
        ends_at = time.monotonic() + TRAFFIC_S
        while time.monotonic() < ends_at:
            results.append(await self.try_call(next(entries), "/read/x"))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return len(results), sum(results)

    async def test_addresses_of_servers(self):
        """Servers keep their addresses, and no request is blamed."""
        cases = {
            "service that no configuration names": ("elsewhere", False),
            "the same under their identifiers": ("elsewhere", True),
            "service of the servers": ("svc", False),
        }
        for name, (service, uses_identifiers) in cases.items():
            with self.subTest(name):
                self.confirmed_count = 0
                writing = asyncio.create_task(
                    self.check_in_as_other_writer(
                        service, uses_identifiers=uses_identifiers
                    )
                )
                sent, served = await self.count_served()
                writing.cancel()
                self.assertGreater(self.confirmed_count, 0)
                self.assertEqual(served, sent)
        for entry in self.instances.instances:
            lines = entry.programs["carob-entry"].read_log().splitlines()
            crashes = [line for line in lines if "backend server crashed" in line]
            with self.subTest(entry=entry.name):
                self.assertEqual(crashes, [])
