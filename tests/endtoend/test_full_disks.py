"""Disks of control daemons that are full, one after another."""

import asyncio
import resource
import time
import unittest

from standins.operator import build_configuration
from tests.endtoend.instances import InstancesTestCase

FULL_S = 2.0
#: Seconds between two full disks, and after the last one.
PAUSE_S = 3.0
ROUNDS = 1
CHANGE_INTERVAL_S = 0.1
#: Seconds within which the operator's change is confirmed.
CONFIRM_S = 4.0


class FullDiskTests(InstancesTestCase):
    """Guards against daemons that refuse changes long after they had room."""

    SERVER_COUNT = 1

    def set_full(self, control, is_full):
        """Let a daemon's writes to files be refused, or not any more."""
        pid = control.programs["carob-control"].pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        size = 0 if is_full else hard
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, hard))

    async def change_steadily(self):
        while self.is_changing:
            self.version += 1
            asked_at = time.monotonic()
            await self.operator.put(build_configuration(self.version))
            self.confirmed.append((asked_at, time.monotonic()))
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def test_one_after_another(self):
        """Changes are confirmed in time once the last disk has room again."""
        self.version, self.confirmed, self.is_changing = 1, [], True
        changing = asyncio.create_task(self.change_steadily())
        for _ in range(ROUNDS):
            for control in self.instances.controls:
                self.set_full(control, True)
                await asyncio.sleep(FULL_S)
                self.set_full(control, False)
                await asyncio.sleep(PAUSE_S)
        had_room_at = time.monotonic() - PAUSE_S
        await asyncio.sleep(CONFIRM_S + PAUSE_S)
        self.assertFalse(changing.done(), "the changes have ended")
        # A change that was not confirmed might be in force or not.
        self.is_changing = False
        await changing
        took_s = [
            end - start
            for start, end in self.confirmed
            if start > had_room_at + CONFIRM_S
        ]
        self.assertGreater(len(took_s), 10)
        self.assertLess(max(took_s), CONFIRM_S)
        self.assertGreater(self.confirmed[-1][1], time.monotonic() - CONFIRM_S)
        await self.check_versions(self.operator.confirmed_version)
        for control in self.instances.controls:
            self.assertIsNone(control.programs["carob-control"].returncode)


if __name__ == "__main__":
    unittest.main()
