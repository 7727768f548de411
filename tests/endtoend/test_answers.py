import asyncio

from standins.caller import Verdict
from tests.endtoend.cluster import ClusterCase, Load


class AnswerTests(ClusterCase):
    async def test_own_whole_answers(self):
        """Parallel callers at both entries each get their own whole answer."""
        answers = await asyncio.gather(
            *(
                self.ask(entry, tokens=10 + number, stream=number % 2 == 0)
                for number in range(20)
                for entry in self.entries
            )
        )
        self.assertEqual({answer.verdict for answer in answers}, {Verdict.COMPLETE})

    async def test_kills_under_load(self):
        """Kill -9 of runner, agent or entry passes no cut answer for whole."""
        load = Load(self)
        load.start()
        await load.wait_for_more()
        await self.backends["runner-0"].kill()
        await load.wait_for_more()
        await self.start_runner("runner-2")
        await self.agents["runner-1"].kill()
        await load.wait_for_more()
        await self.start_agent("runner-1")
        victim = self.entries[1]
        await victim.kill()
        load.balanced.remove(victim)
        await load.wait_for_more()
        await load.stop()
        self.assertEqual(load.count(Verdict.INCORRECT), 0)
        self.assertGreater(load.count(Verdict.COMPLETE), 0)
        last = await self.ask(self.entries[0])
        self.assertIs(last.verdict, Verdict.COMPLETE, last)
