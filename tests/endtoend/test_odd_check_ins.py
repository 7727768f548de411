"""Tests of check-ins of another writer beside sound backend servers."""

from standins.odd_check_ins import build_odd_check_ins, send_check_in
from tests.endtoend.instances import InstancesTestCase


class OddCheckInTests(InstancesTestCase):
    async def test_odd_check_ins(self):
        """They are refused; neither streams nor gossip end because of them."""
        for name, body in build_odd_check_ins().items():
            for control in self.controls:
                with self.subTest(name, control=control):
                    status = await send_check_in(
                        self.operator_client, control, "i-foreign", body
                    )
                    self.assertEqual(status, 400)
        late = self.servers[-1]
        await late.crash()
        await late.start(is_restart=True)
        await self.wait_until_logged("backend server listed", late.server_id)
        await self.wait_until_serving()
        for instance in self.instances.instances:
            for program in instance.programs.values():
                log = program.read_log()
                with self.subTest(program=program.name):
                    self.assertNotIn("lost connection to control replica", log)
                    self.assertNotIn("Traceback", log)
