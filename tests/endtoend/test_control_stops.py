"""Tests of planned stops of control daemons while requests are open."""

import asyncio
import json
import time

from carobspring import platform
from standins.instances import CONTROL_PORT
from standins.operator import build_configuration
from tests.endtoend.instances import InstancesTestCase

#: Longer than the requests that a daemon has received whole.
BODY_S = 4.0
SEGMENTS = 8
#: Seconds from SIGTERM to SIGKILL.
GRACE_S = 8.0


def build_put(version):
    """Return the head and the body of a new configuration."""
    body = json.dumps(build_configuration(version)).encode()
    head = (
        f"PUT {platform.CONFIGURATION_PATH} HTTP/1.1\r\nHost: x\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode(), body


class ControlStopTests(InstancesTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.control = self.instances.controls[0]
        self.program = self.control.programs["carob-control"]

    async def connect(self):
        reader, writer = await asyncio.open_connection(self.control.ip, CONTROL_PORT)
        self.addCleanup(writer.close)
        return reader, writer

    async def stop_control(self):
        """Stop the daemon within its time."""
        started_at = time.monotonic()
        self.assertEqual(await self.program.stop(), 0)
        self.assertLess(time.monotonic() - started_at, GRACE_S)

    async def test_slow_configuration(self):
        """One whose body arrives during a stop is put in force."""
        reader, writer = await self.connect()
        head, body = build_put(2)
        writer.write(head)
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(self.stop_control())
        size = len(body) // SEGMENTS + 1
        for start in range(0, len(body), size):
            await asyncio.sleep(BODY_S / SEGMENTS)
            writer.write(body[start : start + size])
        received = await reader.read()
        self.assertEqual(received[:15], b"HTTP/1.1 200 OK")
        await stop

    async def test_configuration_that_never_arrives(self):
        """One whose body doesn't end is refused before the stop ends."""
        reader, writer = await self.connect()
        head, body = build_put(2)
        writer.write(head + body[:-1])
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(self.stop_control())
        received = await reader.read()
        self.assertEqual(received[:13], b"HTTP/1.1 503 ")
        await stop
