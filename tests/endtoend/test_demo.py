import asyncio
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
TIMEOUT_S = 300


class DemoTests(unittest.IsolatedAsyncioTestCase):
    async def test_demo_ends_well(self):
        """The demo shows everything, stops all it started and exits 0."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "standins.demo",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        async with asyncio.timeout(TIMEOUT_S):
            output, _ = await process.communicate()
        self.assertEqual(process.returncode, 0, output.decode())
        self.assertIn(b"in force in 2 of 2 zones", output)
