import asyncio

from standins.caller import Verdict
from standins.deployment import wait_until
from tests.endtoend.cluster import ZONES, ClusterCase, Load

LEAVE_S = 3.0
#: So many that a call ends only by the caller's leaving.
ENDLESS_TOKENS = 100_000


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
        cut = [answer for answer in answers if answer.verdict is not Verdict.COMPLETE]
        self.assertEqual(cut, [])

    async def keep_busy(self, name):
        """Return endless calls of which at least one runs at this runner."""
        calls = []
        before = await self.count_started(name)

        async def is_busy():
            entry = self.entries[len(calls) % len(self.entries)]
            calls.append(asyncio.create_task(self.ask(entry, ENDLESS_TOKENS)))
            await asyncio.sleep(0.1)
            return await self.count_started(name) > before

        await wait_until(is_busy, f"{name} is busy")
        return calls

    async def test_leaving_server(self):
        """An agent that leaves gets no new call 3 s later, at any entry."""
        calls = await self.keep_busy("runner-0")
        load = Load(self, callers=4, tokens=5)
        load.start()
        leaving = asyncio.create_task(self.agents["runner-0"].stop())
        await asyncio.sleep(LEAVE_S)
        before = await self.count_started("runner-0")
        await load.wait_for_more(40)
        after = await self.count_started("runner-0")
        # The agent is still there, for its call in flight.
        self.assertIsNone(self.agents["runner-0"].returncode)
        answers = await load.stop()
        for call in calls:
            call.cancel()
        self.assertEqual(await leaving, 0)
        self.assertEqual(after, before)
        self.assertEqual({answer.verdict for answer in answers}, {Verdict.COMPLETE})
