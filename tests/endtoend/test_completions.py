import asyncio

from standins.caller import Verdict
from tests.endtoend.cluster import ClusterTestCase, LoadGenerator


class CompletionTests(ClusterTestCase):
    async def test_own_complete_responses(self):
        """Concurrent callers at both entries get their own responses."""
        results = await asyncio.gather(
            *(
                self.complete(entry, tokens=10 + number, stream=number % 2 == 0)
                for number in range(20)
                for entry in self.entries
            )
        )
        self.assertEqual({result.verdict for result in results}, {Verdict.COMPLETE})

    async def test_kills_under_load(self):
        """No caller gets an incorrect response when processes are killed.

        A runner, an agent and an entry are killed with SIGKILL under load.
        """
        load = LoadGenerator(self)
        load.start()
        await load.wait_for_more()
        await self.backends["runner-0"].kill()
        await load.wait_for_more()
        await self.start_runner("runner-2")
        await self.agents["runner-1"].kill()
        await load.wait_for_more()
        await self.start_agent("runner-1")
        killed_entry = self.entries[1]
        await killed_entry.kill()
        load.routed_entries.remove(killed_entry)
        await load.wait_for_more()
        await load.stop()
        self.assertEqual(load.count(Verdict.INCORRECT), 0)
        self.assertGreater(load.count(Verdict.COMPLETE), 0)
        last = await self.complete(self.entries[0])
        self.assertIs(last.verdict, Verdict.COMPLETE, last)
