"""Tests of streams that entries take up that missed the start of a release."""

import asyncio

from standins.backend_server import StandInServer
from standins.cut_entry import MODULE, Cut, write_cuts
from standins.deployment import wait_until
from standins.resuming_caller import ResumingCaller
from tests.endtoend.test_mixed_versions import (
    COUNTED_RESUMPTIONS,
    MixedVersionsTestCase,
)

ALL_LINKS = tuple(Cut)


class OutOfStepTests(MixedVersionsTestCase):
    """A service of one version, until servers of another one join.

    Two entries are out of step: they reach each other and nobody else.
    Streams begin at the other entries, which are killed, and are taken up at
    these two.
    """

    SERVER_COUNT = 3
    VERSIONS = ("v1",)
    DISKLESS_ENTRIES = 2
    ENTRY_MODULE = MODULE
    STREAM_COUNT = 24
    #: Seconds until an entry has read which of its links are cut.
    CUT_DELAY_S = 0.1

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.out = self.instances.entries[-2:]
        self.others = self.instances.entries[:-2]

    async def cut(self, *cuts):
        for entry in self.out:
            node_file = entry.node_file.with_suffix(".carob-entry.json")
            write_cuts(node_file, cuts, same_side=[each.ip for each in self.out])
        await asyncio.sleep(self.CUT_DELAY_S)

    async def release(self):
        """Let servers of a new version join, and wait until entries know."""
        joining = []
        for number in range(3):
            server = StandInServer(
                service="svc",
                ip=f"127.{self.network}.{220 + number}.1",
                controls=self.controls,
                version="v2",
            )
            await server.start()
            self.addAsyncCleanup(server.close)
            joining.append(server)
        self.servers += joining
        self.slow_down(events=60, interval_s=0.1)

        async def all_know():
            logs = [each.programs["carob-entry"].read_log() for each in self.others]
            return all('"versions":"v1,v2"' in log for log in logs)

        await wait_until(all_know, "the other entries know of the new version")
        return joining

    def begin_streams(self):
        urls = [entry.frontend_url for entry in self.out]

        async def run(number):
            first = self.others[number % len(self.others)].frontend_url
            caller = ResumingCaller(
                client=self.client, urls=[first, urls[number % 2], *urls, *urls]
            )
            return await caller.run()

        return asyncio.gather(*(run(number) for number in range(self.STREAM_COUNT)))

    async def kill_others(self):
        await asyncio.gather(*(self.kill_entry(entry) for entry in self.others))

    async def check_taken_up(self, streaming):
        """Check that streams of both versions were taken up, none wrongly."""
        streams = await streaming
        mixed = [stream.versions for stream in streams if stream.is_mixed]
        self.assertEqual(mixed, [])
        taken_up = [stream for stream in streams if stream.resumptions]
        self.assertGreaterEqual(len(taken_up), COUNTED_RESUMPTIONS)
        first_versions = {stream.events[0].version for stream in taken_up}
        self.assertEqual(first_versions, {"v1", "v2"})

    async def test_cut_off(self):
        """Entries that were cut off a moment ago guess no version."""
        self.slow_down(events=60, interval_s=0.1)
        await self.cut(*ALL_LINKS)
        await self.release()
        streaming = self.begin_streams()
        await asyncio.sleep(0.5)
        await self.kill_others()
        await self.check_taken_up(streaming)

    async def test_cut_off_while_a_version_comes_and_goes(self):
        """The same if the new version has already left again."""
        self.slow_down(events=60, interval_s=0.1)
        await self.cut(*ALL_LINKS)
        joining = await self.release()
        streaming = self.begin_streams()
        await asyncio.sleep(0.3)
        await asyncio.gather(
            self.kill_others(), *(server.crash() for server in joining)
        )
        await self.check_taken_up(streaming)

    async def test_frozen(self):
        """Entries that read requests before news of a stall guess nothing."""
        self.slow_down(events=60, interval_s=0.1)
        await self.cut(*ALL_LINKS)
        for entry in self.out:
            entry.programs["carob-entry"].suspend()
        await self.release()
        streaming = self.begin_streams()
        await asyncio.sleep(0.4)
        await self.kill_others()
        await asyncio.sleep(0.4)
        for entry in self.out:
            entry.programs["carob-entry"].resume()
        await asyncio.sleep(0.3)
        await self.cut()
        await self.check_taken_up(streaming)

    async def test_return_after_a_gap(self):
        """Streams of a sole version go on soon after such entries are back."""
        self.slow_down(events=60, interval_s=0.1)
        await self.cut(*ALL_LINKS)
        streaming = self.begin_streams()
        # Longer than a confirmation counts, shorter than a stream's silence.
        await asyncio.sleep(2.4)
        await self.cut()
        await asyncio.sleep(0.2)
        await self.kill_others()
        streams = await streaming
        taken_up = [went_on for each in streams for went_on in each.resumptions]
        self.assertGreaterEqual(len(taken_up), COUNTED_RESUMPTIONS)
        self.assertGreater(sum(taken_up), 0.9 * len(taken_up))
