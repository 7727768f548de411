"""Tests of event streams while servers of two software versions serve."""

import asyncio

from standins.resuming_caller import ResumingCaller
from tests.endtoend.instances import InstancesTestCase

#: Streams with events of two versions that the users' rules allow.
ALLOWED_MIXED = 2
#: Taken-up streams from which the share that goes on counts.
COUNTED_RESUMPTIONS = 12


class MixedVersionsTestCase(InstancesTestCase):
    SERVER_COUNT = 6
    VERSIONS = ("v1", "v2")
    DISKLESS_ENTRIES = 5

    def setUp(self):
        self.callers = []

    def start_streams(self, count, entries, *, spacing_s=0.02, **options):
        """Start streams that begin at the entries in turn."""
        urls = [entry.frontend_url for entry in entries]
        tasks = []

        async def run(number):
            await asyncio.sleep(number * spacing_s)
            order = urls[number % len(urls) :] + urls[: number % len(urls)]
            caller = ResumingCaller(client=self.client, urls=order, **options)
            self.callers.append(caller)
            return await caller.run()

        tasks = [asyncio.create_task(run(number)) for number in range(count)]
        return asyncio.gather(*tasks)

    def check_versions(self, streams):
        """Check that no stream mixes versions, and that most of them go on."""
        mixed = [stream for stream in streams if stream.is_mixed]
        self.assertLessEqual(len(mixed), ALLOWED_MIXED, [s.versions for s in mixed])
        for stream in streams:
            numbers = [event.number for event in stream.events]
            self.assertEqual(numbers, list(range(1, len(numbers) + 1)))
        resumptions = [went_on for s in streams for went_on in s.resumptions]
        begun = sum(bool(stream.events) for stream in streams) / len(streams)
        if len(resumptions) >= COUNTED_RESUMPTIONS:
            share = sum(resumptions) / len(resumptions)
            self.assertGreaterEqual(share, begun / 2)
        return len(resumptions)

    async def kill_entry(self, entry):
        await entry.programs["carob-entry"].kill()

    def slow_down(self, *, events=20, interval_s=0.05):
        for server in self.servers:
            server.event_count = events
            server.event_interval_s = interval_s


class MixedVersionsTests(MixedVersionsTestCase):
    async def test_moves_inside_answers(self):
        """An answer goes on only at a server of the version that began it."""
        for server in self.servers:
            server.cut_after_events = 2
        streams = await self.start_streams(80, self.instances.entries)
        self.check_versions(streams)
        complete = sum(stream.is_complete for stream in streams)
        self.assertGreater(complete, 0.9 * len(streams))

    async def test_killed_entries(self):
        """Streams of killed entries go on elsewhere, at their version."""
        self.slow_down()
        entries = self.instances.entries
        diskless = [each for each in entries if each not in self.instances.controls]
        streaming = self.start_streams(80, entries)
        await asyncio.sleep(1.2)
        await asyncio.gather(*(self.kill_entry(entry) for entry in diskless[:3]))
        streams = await streaming
        taken_up = self.check_versions(streams)
        self.assertGreaterEqual(taken_up, COUNTED_RESUMPTIONS)
