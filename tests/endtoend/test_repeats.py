"""Tests of the retry budget that all entries share, counted at the servers."""

import asyncio
import time

import aiohttp

from carobspring.membership.entries import ENTRY_LEASE_S
from tests.endtoend.instances import InstancesTestCase

SHARE = 0.2
SLACK = 40
WINDOW_S = 8.0
#: Seconds in which a program starts and hears of the others.
SETTLE_S = 4.0
REQUESTS_PER_S = 24
#: Requests to each entry as soon as it has started.
BURST_REQUESTS = 10


class RepeatsTests(InstancesTestCase):
    SERVER_COUNT = 4
    BOUNDS = {
        "retry_budget": SHARE,
        "retry_slack": SLACK,
        "retry_window_s": WINDOW_S,
    }
    DISKLESS_ENTRIES = 5

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.sent_at = []
        for server in self.servers:
            # Each request is tried at every server, as far as the budget goes.
            server.fault = "shed"
            server.arrivals.clear()

    async def send(self, seconds, entries=None):
        """Send requests by the entries in turn, whether they run or not."""
        entries = entries or self.instances.instances
        calls = []
        for number in range(int(seconds * REQUESTS_PER_S)):
            entry = entries[number % len(entries)]
            self.sent_at.append(time.monotonic())
            calls.append(asyncio.create_task(self.try_send(entry)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*calls)

    async def send_burst(self, entry):
        """Send an entry some requests at once."""
        self.sent_at += [time.monotonic()] * BURST_REQUESTS
        calls = [self.try_send(entry) for _ in range(BURST_REQUESTS)]
        await asyncio.gather(*calls)

    async def send_to_starting(self):
        """Send each entry some requests as soon as it responds at all."""

        async def send_when_up(entry):
            while await self.try_send(entry) == 0:
                await asyncio.sleep(0.02)
            await self.send_burst(entry)

        await asyncio.gather(*map(send_when_up, self.instances.instances))

    async def try_send(self, entry):
        try:
            return (await self.call(entry, "/book/x", method="POST"))[0]
        except (aiohttp.ClientError, OSError):
            return 0

    def list_repeats(self):
        """Return when requests arrived again, at whatever server."""
        seen, repeats = set(), []
        arrivals = [each for server in self.servers for each in server.arrivals]
        for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
            if arrival.attempt_id in seen:
                repeats.append(arrival.at)
            seen.add(arrival.attempt_id)
        return repeats

    def check_budget(self):
        """Compare every window with what the rules allow, as they count."""
        repeats = self.list_repeats()
        self.assertGreater(len(repeats), 0)
        for start in repeats:
            count = sum(start <= at < start + WINDOW_S for at in repeats)
            requests = max(
                sum(begin <= at < begin + WINDOW_S for at in self.sent_at)
                for begin in (start, start - WINDOW_S / 2, start - WINDOW_S)
            )
            self.assertLessEqual(count, SHARE * requests + SLACK)

    async def kill_entries(self, entries):
        for entry in entries:
            await entry.programs["carob-entry"].kill()

    async def test_all_entries_start_together(self):
        """Entries that start share the slack, and do not take it each."""
        await self.kill_entries(self.instances.instances)
        await asyncio.sleep(ENTRY_LEASE_S + 1.0)
        await asyncio.gather(self.instances.start_all(), self.send_to_starting())
        await self.send(2.0)
        self.check_budget()

    async def test_restart_in_the_window(self):
        """Entries that return do not spend again what was spent before."""
        await asyncio.sleep(WINDOW_S + SETTLE_S)
        await self.send(2.0)
        await self.kill_entries(self.instances.instances)
        await asyncio.gather(self.instances.start_all(), self.send_to_starting())
        self.check_budget()

    async def test_entry_out_of_touch_while_others_join(self):
        """An entry that hears nothing does not keep too large a part."""
        entries = self.instances.instances
        stale = entries[-1]
        await self.kill_entries(entries[:-1])
        await asyncio.sleep(WINDOW_S + SETTLE_S)
        stale.programs["carob-entry"].suspend()
        await self.instances.start_all()
        await asyncio.sleep(WINDOW_S + SETTLE_S)
        stale.programs["carob-entry"].resume()
        await self.send_burst(stale)
        await self.send_burst(stale)
        await self.send(2.0, entries[:-1])
        self.check_budget()

    async def test_entries_that_are_gone(self):
        """What gone entries spent is not spent again by the others at once."""
        entries = self.instances.instances
        await asyncio.sleep(WINDOW_S + SETTLE_S)
        await self.send(2.0)
        await self.kill_entries(entries[2:])
        await self.send(WINDOW_S + SETTLE_S, entries[:2])
        self.check_budget()
