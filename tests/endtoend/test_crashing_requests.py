"""Tests of a request that crashes each backend server that runs it."""

import asyncio
import time

import aiohttp

from tests.endtoend.instances import InstancesTestCase

#: Seconds after which all entries have heard of what happened, as the users'
#: rules state.
CONTACT_S = 3.0
#: Retries of such a request that the rules allow after that.
ALLOWED_RETRIES = 3
CRASHING_BODY = b"crashes its server"


class CrashingRequestTests(InstancesTestCase):
    SERVER_COUNT = 5

    async def send_crashing(self, method, path):
        """Send one crashing body 40 times in 8 s, to each entry in turn."""
        entries = self.instances.instances
        for server in self.servers:
            server.crashing_body = CRASHING_BODY
        for number in range(40):
            entry = entries[number % len(entries)]
            await self.try_send(entry, path, method=method, body=CRASHING_BODY)
            await asyncio.sleep(0.2)

    async def try_send(self, entry, path, **options):
        try:
            return (await self.call(entry, path, **options))[0]
        except (aiohttp.ClientError, OSError):
            return 0

    async def send_sound(self, statuses):
        """Send other requests to each entry in turn; store their statuses."""
        entries = self.instances.instances
        while True:
            for entry in entries:
                sent_at = time.monotonic()
                status = await self.try_send(
                    entry, "/read/x", method="POST", body=b"sound"
                )
                statuses.append((sent_at, status))
                await asyncio.sleep(0.05)

    def count_crashes(self):
        return sum(len(server.crashes) for server in self.servers)

    async def check_crashing(self, method, path):
        statuses = []
        sending_sound = asyncio.create_task(self.send_sound(statuses))
        await self.send_crashing(method, path)
        sending_sound.cancel()
        crash_times = sorted(at for each in self.servers for at, _ in each.crashes)
        self.assertLessEqual(len(crash_times), 3 + ALLOWED_RETRIES)
        if len(crash_times) >= 3:
            late = [
                arrival
                for server in self.servers
                for arrival in server.arrivals
                if arrival.body == CRASHING_BODY
                and arrival.at > crash_times[2] + CONTACT_S
            ]
            self.assertLessEqual(len(late), ALLOWED_RETRIES)
        quiet_from = crash_times[1] + CONTACT_S
        served = [status for sent_at, status in statuses if sent_at > quiet_from]
        self.assertGreater(len(served), 20)
        self.assertEqual(set(served), {200})

    async def test_repeatable(self):
        """A repeatable request that crashes servers soon reaches none."""
        await self.check_crashing("POST", "/read/x")

    async def test_unrepeatable(self):
        """The same holds for one that is sent once for each attempt."""
        await self.check_crashing("POST", "/book/x")

    async def test_stream(self):
        """The same holds for a resumable stream."""
        await self.check_crashing("POST", "/stream/x")

    async def test_restarts_and_freezes(self):
        """Restarted, frozen and cut off entries send it nowhere either."""
        entries = self.instances.instances
        first, restarted, frozen, _ = entries
        frozen.programs["carob-entry"].suspend()
        for server in self.servers:
            server.crashing_body = CRASHING_BODY
        await self.try_send(first, "/read/x", method="POST", body=CRASHING_BODY)
        await restarted.programs["carob-entry"].kill()
        await self.instances.start(restarted, "carob-entry")
        frozen.programs["carob-entry"].resume()
        for control in self.instances.controls[:2]:
            await control.programs["carob-control"].kill()
        await self.instances.start_all()
        await asyncio.sleep(CONTACT_S)
        crash_count = self.count_crashes()
        self.assertLessEqual(crash_count, 3)
        for entry in entries * 3:
            await self.try_send(entry, "/read/x", method="POST", body=CRASHING_BODY)
        for control in self.instances.controls:
            await control.programs["carob-control"].kill()
        for entry in entries * 3:
            await self.try_send(entry, "/read/x", method="POST", body=CRASHING_BODY)
        self.assertEqual(self.count_crashes(), crash_count)
