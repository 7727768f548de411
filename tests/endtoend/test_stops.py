import asyncio

from standins.caller import Verdict
from tests.endtoend.cluster import ZONES, ClusterCase, Load

LEAVE_S = 3.0


class StopTests(ClusterCase):
    replicas = 3

    async def count_started(self, name):
        url = f"{self.backends[name].url()}/standin/counters"
        async with self.client.get(url) as response:
            return (await response.json())["started"]

    async def test_rolling_restart(self):
        """A planned stop of each program in turn cuts no call in flight."""
        load = Load(self)
        load.start()
        await load.wait_for_more()
        for name in ("runner-0", "runner-1"):
            self.assertEqual(await self.agents[name].stop(), 0)
            await self.start_agent(name)
            for entry in self.entries:
                await self.wait_serving(entry)
            await load.wait_for_more()
        for index, zone in enumerate(ZONES[:2]):
            entry = self.entries[index]
            load.balanced.remove(entry)
            self.assertEqual(await entry.stop(), 0)
            fresh = await self.deployment.start_entry(entry.name, zone)
            self.entries[index] = fresh
            await self.wait_serving(fresh)
            load.balanced.append(fresh)
            await load.wait_for_more()
        for index, control in enumerate(list(self.controls)):
            self.assertEqual(await control.stop(), 0)
            self.controls[index] = await self.deployment.start_control(
                control.name,
                ZONES[index],
                rpc_port=control.ports["rpc"],
                admin_port=control.ports["admin"],
                peers=self.deployment.peers,
            )
            await self.find_leader()
        answers = await load.stop()
        cut = [answer for answer in answers if answer.verdict is not Verdict.WHOLE]
        self.assertEqual(cut, [])

    async def test_leaving_server(self):
        """An agent that leaves gets no new call 3 s later, at any entry."""
        load = Load(self, callers=4, tokens=5)
        load.start()
        await load.wait_for_more()
        leaving = asyncio.create_task(self.agents["runner-0"].stop())
        await asyncio.sleep(LEAVE_S)
        before = await self.count_started("runner-0")
        await load.wait_for_more(40)
        after = await self.count_started("runner-0")
        answers = await load.stop()
        self.assertEqual(await leaving, 0)
        self.assertEqual(after, before)
        self.assertEqual({answer.verdict for answer in answers}, {Verdict.WHOLE})
