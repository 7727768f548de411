import subprocess
import sys
import unittest

#: Finds a network, as a process whose identifier prefers a given one, and
#: keeps it until its input ends.
FIND_NETWORK = """
import os, sys
os.getpid = lambda: 42
from standins.instances import find_free_network
print(find_free_network(), find_free_network(), flush=True)
sys.stdin.read()
"""


class FindFreeNetworkTests(unittest.TestCase):
    def find_in_process(self):
        process = subprocess.Popen(
            [sys.executable, "-c", FIND_NETWORK],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        return process.stdout.readline().split()

    def test_runs_at_the_same_time(self):
        """Two test runs get different networks, each the same every time."""
        first, second = self.find_in_process(), self.find_in_process()
        self.assertEqual(len(set(first)), 1)
        self.assertEqual(len(set(second)), 1)
        self.assertNotEqual(first, second)
