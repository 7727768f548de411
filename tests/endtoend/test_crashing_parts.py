"""Tests of a part of prompts that crashes each backend server that runs it."""

import asyncio
import itertools

import aiohttp

from standins.operator import build_configuration
from tests.endtoend.instances import InstancesTestCase

#: Seconds after which all entries have heard of what happened, as the users'
#: rules state.
CONTACT_S = 3.0
#: Crashes from which the rules count, and requests that they allow after.
COUNTED_CRASHES = 5
ALLOWED_REQUESTS = 3
#: Share of the sound requests that the rules want served beside it.
SERVED_SHARE = 0.5
DEADLY_PART = "f51bf2c1e50"
#: Seconds for which requests with the part come, and between two of them.
SEND_S = 13.0
SEND_INTERVAL_S = 0.1


class CrashingPartTests(InstancesTestCase):
    SERVER_COUNT = 6
    DISKLESS_ENTRIES = 3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        tenants = [
            {"name": name, "api_keys": [f"key-{number}"], "priority": 1}
            for number, name in enumerate(("acme", "zeta"), start=1)
        ]
        await self.operator.put(build_configuration(2, tenants=tenants))
        await self.wait_until_serving()
        self.numbers = itertools.count(1)
        for server in self.servers:
            server.crashing_parts = frozenset({DEADLY_PART})
            server.crash_delay_s = 0.05

    async def send(self, parts, *, key="key-1"):
        """Send a request that is like no other but for its parts."""
        entries = self.instances.instances
        number = next(self.numbers)
        prefix = ",".join(f"{part}:100" for part in (*parts, f"{number:x}a"))
        try:
            status, _ = await self.call(
                entries[number % len(entries)],
                "/stream/x",
                key=key,
                method="POST",
                headers=(("Carobspring-Prefix-Hash", prefix),),
                body=b"%d" % number,
            )
        except (aiohttp.ClientError, OSError):
            return 0
        return status

    async def send_deadly(self, list_parts, keys=("key-1",)):
        """Send requests with the part, each with others of its own."""
        loop = asyncio.get_running_loop()
        end = loop.time() + SEND_S
        sends = []
        while loop.time() < end:
            key = keys[len(sends) % len(keys)]
            parts = list_parts(len(sends))
            sends.append(asyncio.create_task(self.send(parts, key=key)))
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.gather(*sends)

    async def send_sound(self, parts, statuses):
        loop = asyncio.get_running_loop()
        while True:
            sent_at = loop.time()
            statuses.append((sent_at, await self.send(parts)))
            await asyncio.sleep(0.05)

    async def check(self, list_parts, *others, sound=(("90c5",),), keys=("key-1",)):
        """Count what reaches the servers, and the sound requests served."""
        statuses = []
        sending = [
            asyncio.create_task(self.send_sound(parts, statuses)) for parts in sound
        ]
        await asyncio.gather(self.send_deadly(list_parts, keys), *others)
        for task in sending:
            task.cancel()
        results = await asyncio.gather(*sending, return_exceptions=True)
        errors = [r for r in results if not isinstance(r, asyncio.CancelledError)]
        self.assertEqual(errors, [])
        # Those without a cause are the servers' own.
        crashes = sorted(
            at for each in self.servers for at, cause in each.crashes if cause
        )
        arrivals = [
            arrival
            for server in self.servers
            for arrival in server.arrivals
            if DEADLY_PART in [part.strip().lower() for part in arrival.parts]
        ]
        counts = f"{len(crashes)} crashes, {len(arrivals)} arrivals"
        # Enough to learn from, and it was learned from.
        self.assertGreaterEqual(len(crashes), 3, counts)
        counted = crashes[:COUNTED_CRASHES][-1]
        late = [each for each in arrivals if each.at > counted + CONTACT_S]
        self.assertLessEqual(len(late), ALLOWED_REQUESTS, counts)
        beside = [s for at, s in statuses if at > counted + 2 * CONTACT_S]
        self.assertGreater(len(beside), 20, counts)
        served = beside.count(200)
        self.assertGreaterEqual(served, SERVED_SHARE * len(beside), counts)

    async def test_second_part(self):
        """Requests of one kind, after a part that sound ones share."""
        await self.check(lambda number: ("90c5", DEADLY_PART))

    async def test_first_part(self):
        """The part begins the prompt, before one that sound requests share."""
        await self.check(lambda number: (DEADLY_PART, "90c5"))

    async def test_parts_that_always_come_together(self):
        """Another part comes with it, and beside it alone."""
        await self.check(
            lambda number: ("90c5", "c1bf", DEADLY_PART),
            sound=(("90c5",), ("90c5", "c1bf")),
        )

    async def test_several_workspaces(self):
        """Callers of two workspaces use the part, each after its own."""
        await self.check(
            lambda number: (("90c5", "ee38")[number % 2], DEADLY_PART),
            keys=("key-1", "key-2"),
        )

    async def test_spelling(self):
        """Case and spaces make no other part of it."""
        spellings = (DEADLY_PART, DEADLY_PART.upper(), f" {DEADLY_PART}")
        for server in self.servers:
            server.crashing_parts = frozenset(spellings)
        await self.check(lambda number: ("90c5", spellings[number % 3]))

    async def test_restarts_and_freezes(self):
        """Restarted and frozen entries send no more, nor without replicas."""

        async def disturb():
            entries = self.instances.instances
            entries[0].programs["carob-entry"].suspend()
            await asyncio.sleep(1.5)
            await entries[1].programs["carob-entry"].kill()
            await self.instances.start(entries[1], "carob-entry")
            entries[0].programs["carob-entry"].resume()
            await asyncio.sleep(1.5)
            for control in self.instances.controls:
                await control.programs["carob-control"].kill()
            await self.instances.start_all()
            await asyncio.sleep(2.0)
            await entries[2].programs["carob-entry"].kill()
            await self.instances.start(entries[2], "carob-entry")

        await self.check(lambda number: ("90c5", DEADLY_PART), disturb())

    async def test_servers_that_crash_by_themselves(self):
        """Crashes without a cause, several at once, blame no sound part."""

        async def crash_servers():
            for _ in range(3):
                await asyncio.sleep(2.0)
                for server in self.servers[:3]:
                    server.break_down()

        await self.check(
            lambda number: ("90c5", DEADLY_PART),
            crash_servers(),
            sound=(("90c5",), ("ee38", "77")),
        )
