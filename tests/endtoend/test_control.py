import re

from carobspring.domain import ServiceClass
from carobspring.settings import Change
from standins.caller import Verdict
from standins.deployment import wait_until
from standins.setup import send_changes
from tests.endtoend.cluster import TARGET, ClusterTestCase


class ControlTests(ClusterTestCase):
    replicas = 3

    async def change_class(self, control, base_revision):
        change = Change(
            set_class=ServiceClass(name="blurb", priority=base_revision, target=TARGET)
        )
        return await send_changes(
            self.deployment,
            [change],
            base_revision=base_revision,
            admin=control.address("admin"),
        )

    async def read_revision(self, entry):
        async with self.client.get(f"{entry.url()}/readyz") as response:
            return (await response.json())["revision"]

    async def wait_until_in_force(self, revision):
        async def is_in_force():
            revisions = [await self.read_revision(entry) for entry in self.entries]
            return all(number >= revision for number in revisions)

        await wait_until(is_in_force, f"revision {revision} at both entries")

    async def test_settings_and_suspended_leader(self):
        """A change through any replica takes effect everywhere and persists.

        One change is made while the leader is suspended.
        """
        leader = await self.find_leader()
        others = [control for control in self.controls if control is not leader]
        revision = await self.change_class(others[0], 1)
        await self.wait_until_in_force(revision)
        leader.suspend()
        revision = await self.change_class(others[1], revision)
        leader.resume()
        status = await self.deployment.run_carobctl(
            "status", admin=leader.address("admin")
        )
        shown = int(re.search(r"revision (\d+)", status)[1])
        self.assertEqual(shown, revision)
        await self.wait_until_in_force(revision)
        revision = await self.change_class(leader, revision)
        await self.wait_until_in_force(revision)

    async def test_loss_of_all_replicas(self):
        """Calls succeed while every control replica is down."""
        for control in self.controls:
            await control.kill()
        for _ in range(10):
            for entry in self.entries:
                result = await self.complete(entry, tokens=30)
                self.assertIs(result.verdict, Verdict.COMPLETE, result)
