"""Tests of streams whose events have identifiers that are no numbers."""

import unittest

from carobspring.resumption import EventPosition, EventSequence, RouteSteps


class OtherIdentifierTests(unittest.TestCase):
    def test_repeated_event(self):
        """The event after which another server goes on comes only once."""
        sequence = EventSequence(route="r", steps=RouteSteps())
        for event_id in ("a", "b", "c"):
            sequence.locate(event_id, 0.0)
        sequence.begin_continuation()
        self.assertIs(sequence.locate("c", 0.0), EventPosition.REPEATED)
        self.assertIs(sequence.locate("d", 0.0), EventPosition.NEXT)
