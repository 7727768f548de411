import unittest

from carobspring.resumption import EventPosition, EventSequence, RouteSteps
from carobspring.resumption.sequences import IRREGULAR_S

NEXT, REPEATED = EventPosition.NEXT, EventPosition.REPEATED
GAP, UNKNOWN = EventPosition.GAP, EventPosition.UNKNOWN


class EventSequenceTests(unittest.TestCase):
    def locate_all(self, first, then, *, last_id="", steps=None):
        sequence = EventSequence(
            route="r", steps=steps or RouteSteps(), last_id=last_id
        )
        before = [sequence.locate(event_id, 0.0) for event_id in first]
        if then is None:
            return before
        sequence.begin_continuation()
        return [sequence.locate(event_id, 0.0) for event_id in then]

    def test_first_server(self):
        """The first server's stream is its own; events don't come twice."""
        cases = {
            "in order": (["1", "2", "3"], [NEXT] * 3),
            "gap": (["1", "2", "9"], [NEXT] * 3),
            "twice": (
                ["1", "2", "2", "1", "3"],
                [NEXT, NEXT, REPEATED, REPEATED, NEXT],
            ),
            "without identifiers": (["", "", ""], [NEXT] * 3),
            "one without an identifier": (["1", "", "2"], [NEXT] * 3),
            "no numbers": (["a", "b"], [NEXT] * 2),
        }
        for name, (ids, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.locate_all(ids, None), expected)

    def test_continuation(self):
        """Another server's events must follow, by the step of the stream."""
        three = ["1", "2", "3"]
        cases = {
            "next": (three, ["4", "5"], [NEXT, NEXT]),
            "what the caller has, then next": (three, ["3", "4"], [REPEATED, NEXT]),
            "gap": (three, ["5"], [GAP]),
            "gap later": (three, ["4", "6"], [NEXT, GAP]),
            "no identifier": (three, [""], [UNKNOWN]),
            "no identifier later": (three, ["4", ""], [NEXT, UNKNOWN]),
            "no number": (three, ["x"], [UNKNOWN]),
            "too many digits": (three, ["4" * 30], [UNKNOWN]),
            "other digits": (three, ["\u0664"], [UNKNOWN]),
            "after a single event": (["1"], ["2"], [NEXT]),
            "gap after a single event": (["1"], ["3"], [GAP]),
            "step of ten": (["10", "20"], ["30"], [NEXT]),
            "gap by a step of ten": (["10", "20"], ["25"], [GAP]),
            "uneven steps": (["1", "2", "5"], ["9"], [NEXT]),
            "a single event by another count": (["7"], ["19"], [NEXT]),
            "no numbers": (["a"], ["b"], [NEXT]),
            "no numbers, no identifier": (["a"], [""], [UNKNOWN]),
        }
        for name, (first, then, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.locate_all(first, then), expected)

    def test_stream_that_a_caller_takes_up(self):
        """What follows a caller's last event is held to the route's step."""
        steps = RouteSteps()
        steps.record("r", 1, 0.0)
        cases = {
            "next": (["6"], steps, [NEXT]),
            "gap": (["8"], steps, [GAP]),
            "step unknown": (["8"], RouteSteps(), [NEXT]),
            "had already": (["5"], RouteSteps(), [REPEATED]),
            "no identifier": ([""], RouteSteps(), [UNKNOWN]),
        }
        for name, (ids, known, expected) in cases.items():
            with self.subTest(name):
                found = self.locate_all(ids, None, last_id="5", steps=known)
                self.assertEqual(found, expected)

    def test_where_to_go_on(self):
        """A stream goes on only after an event that has an identifier."""
        cases = {
            "identified": (["1", "2"], True),
            "last one not": (["1", ""], False),
            "none": ([], False),
        }
        for name, (ids, expected) in cases.items():
            with self.subTest(name):
                sequence = EventSequence(route="r", steps=RouteSteps())
                for event_id in ids:
                    sequence.locate(event_id, 0.0)
                self.assertIs(sequence.can_continue, expected)

    def test_progress(self):
        """Events that the caller already has are no progress."""
        sequence = EventSequence(route="r", steps=RouteSteps())
        sequence.locate("1", 0.0)
        sequence.begin_continuation()
        sequence.locate("1", 0.0)
        self.assertIs(sequence.has_progress, False)
        sequence.locate("2", 0.0)
        self.assertIs(sequence.has_progress, True)


class RouteStepsTests(unittest.TestCase):
    def test_irregular_route(self):
        """Streams of a route that lately varied may go on at any number."""
        steps = RouteSteps()
        sequence = EventSequence(route="r", steps=steps)
        for event_id in ("5", "10", "15"):
            sequence.locate(event_id, 0.0)
        steps.record("r", 3, 0.0)
        sequence.begin_continuation()
        self.assertIs(sequence.locate("18", IRREGULAR_S - 1), NEXT)
        self.assertIs(sequence.locate("24", IRREGULAR_S), GAP)

    def test_removed_routes(self):
        """Routes that are no longer configured are forgotten."""
        steps = RouteSteps()
        steps.record("r", 1, 0.0)
        steps.record("other", 1, 0.0)
        steps.keep_only(frozenset({"r"}))
        self.assertEqual((steps.find("r"), steps.find("other")), (1, None))
