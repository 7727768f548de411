import unittest

from carobspring.agent import ClaimTable
from carobspring.agent.claims import ClaimRecord
from carobspring.domain import RunStatus


class ClaimTableTests(unittest.TestCase):
    def test_dropped_claims_are_unknown(self):
        """A claim whose record was dropped is unknown and may not start."""
        table = ClaimTable(limit=2)
        for number in (1, 2, 3):
            table.start(number, f"c{number}")
        unknown = ClaimRecord(run_status=RunStatus.UNKNOWN)
        self.assertEqual(table.find(1), unknown)
        self.assertEqual(table.fence(1), unknown)
        self.assertEqual(table.find(4), None)
