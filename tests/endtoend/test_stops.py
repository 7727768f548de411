import asyncio
from dataclasses import replace

from carobspring.domain import ServiceClass
from carobspring.settings import Change
from standins.caller import Verdict
from standins.deployment import wait_until
from standins.setup import send_changes
from tests.endtoend.cluster import TARGET, ZONES, ClusterTestCase, LoadGenerator

STOP_NOTICE_S = 3.0
#: Time within which a change must be in force everywhere.
IN_FORCE_S = 8.0
CHAT = ServiceClass(name="chat", priority=90, target=TARGET)
#: Enough that a call ends only when its caller disconnects.
ENDLESS_TOKENS = 100_000


class StopTests(ClusterTestCase):
    replicas = 3

    async def read_started_count(self, name):
        url = f"{self.backends[name].url()}/standin/counters"
        async with self.client.get(url) as response:
            return (await response.json())["started"]

    async def test_rolling_restart(self):
        """No call in flight fails when each program is stopped in turn."""
        load = LoadGenerator(self)
        load.start()
        await load.wait_for_more()
        for name in ("runner-0", "runner-1"):
            self.assertEqual(await self.agents[name].stop(), 0)
            await self.start_agent(name)
            for entry in self.entries:
                await self.wait_until_serving(entry)
            await load.wait_for_more()
        for index, zone in enumerate(ZONES[:2]):
            entry = self.entries[index]
            load.routed_entries.remove(entry)
            self.assertEqual(await entry.stop(), 0)
            restarted = await self.deployment.start_entry(entry.name, zone)
            self.entries[index] = restarted
            await self.wait_until_serving(restarted)
            load.routed_entries.append(restarted)
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
        results = await load.stop()
        failed = [
            result for result in results if result.verdict is not Verdict.COMPLETE
        ]
        self.assertEqual(failed, [])

    async def read_revision(self, entry):
        async with self.client.get(f"{entry.url()}/readyz") as response:
            return (await response.json())["revision"]

    async def test_settings_after_planned_stops(self):
        """Entries get every change, whichever replica was stopped before."""
        for index, control in enumerate(list(self.controls)):
            self.assertEqual(await control.stop(), 0)
            running = [c for c in self.controls if c.returncode is None]
            revision = await send_changes(
                self.deployment,
                [Change(set_class=replace(CHAT, priority=80 + index))],
                base_revision=await self.read_revision(self.entries[0]),
                admin=",".join(c.address("admin") for c in running),
            )
            for entry in self.entries:

                async def is_in_force(entry=entry, revision=revision):
                    return await self.read_revision(entry) == revision

                await wait_until(is_in_force, "the change is in force", IN_FORCE_S)
            self.controls[index] = await self.deployment.start_control(
                control.name,
                ZONES[index],
                rpc_port=control.ports["rpc"],
                admin_port=control.ports["admin"],
                peers=self.deployment.peers,
            )
            await self.find_leader()

    async def keep_busy(self, name):
        """Start endless calls until one runs at this runner; return them."""
        calls = []
        before = await self.read_started_count(name)

        async def is_busy():
            entry = self.entries[len(calls) % len(self.entries)]
            calls.append(asyncio.create_task(self.complete(entry, ENDLESS_TOKENS)))
            await asyncio.sleep(0.1)
            return await self.read_started_count(name) > before

        await wait_until(is_busy, f"{name} is busy")
        return calls

    async def test_stopping_agent(self):
        """A stopping agent gets no new call 3 s later, from any entry."""
        calls = await self.keep_busy("runner-0")
        load = LoadGenerator(self, callers=4, tokens=5)
        load.start()
        stopping = asyncio.create_task(self.agents["runner-0"].stop())
        await asyncio.sleep(STOP_NOTICE_S)
        before = await self.read_started_count("runner-0")
        await load.wait_for_more(40)
        after = await self.read_started_count("runner-0")
        # The agent still runs, because its call in flight has not ended.
        self.assertIsNone(self.agents["runner-0"].returncode)
        results = await load.stop()
        for call in calls:
            call.cancel()
        self.assertEqual(await stopping, 0)
        self.assertEqual(after, before)
        self.assertEqual({result.verdict for result in results}, {Verdict.COMPLETE})
