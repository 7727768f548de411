"""Tests of servers that write a refusal of an earlier request once more."""

import asyncio
from collections import Counter

from tests.endtoend.instances import InstancesTestCase

REQUESTS = 120


class RepeatedRefusalTests(InstancesTestCase):
    async def send_all(self, fault, path="/book/x", method="POST"):
        """Send requests to all entries; return the number of each status."""
        for server in self.servers:
            server.fault = fault
            server.run_counts.clear()
        entries = self.instances.instances
        results = await asyncio.gather(
            *(
                self.call(entries[number % len(entries)], path, method=method)
                for number in range(REQUESTS)
            )
        )
        return Counter(status for status, _ in results)

    def count_runs(self):
        return sum((server.run_counts for server in self.servers), Counter())

    async def test_refusal_before_the_own_answer(self):
        """No request that runs is refused, and none runs twice."""
        for path, method in (("/book/x", "POST"), ("/read/x", "GET")):
            with self.subTest(path):
                statuses = await self.send_all("repeated refusal", path, method)
                self.assertEqual(statuses, {200: REQUESTS})
                self.assertEqual(set(self.count_runs().values()), {1})

    async def test_true_refusals(self):
        """A booking that its server refuses still goes to the next one."""
        shedding = self.servers[0]
        self.assertEqual(await self.send_all(""), {200: REQUESTS})
        shedding.fault = "shed"
        results = [
            (await self.call(entry, "/book/x", method="POST"))[0]
            for entry in self.instances.instances * 4
        ]
        self.assertEqual(set(results), {200})
