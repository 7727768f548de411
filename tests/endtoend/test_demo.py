import asyncio
import os
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent


class DemoTests(unittest.IsolatedAsyncioTestCase):
    async def test_demo(self):
        """The demo of the README runs every step and exits with 0."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "standins.demo",
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        self.assertEqual(process.returncode, 0, output.decode())
