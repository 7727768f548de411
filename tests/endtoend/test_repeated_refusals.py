"""Tests of servers that write a refusal of an earlier request once more."""

import asyncio
from collections import Counter

from tests.endtoend.instances import InstancesTestCase

BOOKINGS = 120


class RepeatedRefusalTests(InstancesTestCase):
    async def book(self, fault):
        """Send bookings and return the number of each status."""
        for server in self.servers:
            server.fault = fault
            server.run_counts.clear()
        entries = self.instances.instances
        results = await asyncio.gather(
            *(
                self.call(entries[number % len(entries)], "/book/x", method="POST")
                for number in range(BOOKINGS)
            )
        )
        return Counter(status for status, _ in results)

    def count_runs(self):
        return sum((server.run_counts for server in self.servers), Counter())

    async def test_refusal_before_the_own_answer(self):
        """No booking that runs is refused, and none runs twice."""
        statuses = await self.book("repeated refusal")
        self.assertEqual(statuses, {200: BOOKINGS})
        self.assertEqual(set(self.count_runs().values()), {1})

    async def test_true_refusals(self):
        """A booking that its server refuses still goes to the next one."""
        shedding = self.servers[0]
        statuses = await self.book("")
        self.assertEqual(statuses, {200: BOOKINGS})
        shedding.fault = "shed"
        results = [
            (await self.call(entry, "/book/x", method="POST"))[0]
            for entry in self.instances.instances * 4
        ]
        self.assertEqual(set(results), {200})
