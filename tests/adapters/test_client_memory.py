import unittest

from carobspring.adapters.client_memory import (
    FURTHER_FIELD_BYTES,
    HEADER_FIELD_BYTES,
    REQUEST_BYTES,
    STALL_S,
    USUAL_FIELDS,
    USUAL_REQUEST_BYTES,
    ClientMemory,
    ConnectionUsage,
    estimate_request_bytes,
)


class EstimateTests(unittest.TestCase):
    """The memory of a request by its head."""

    def test_estimates(self):
        """Fields beyond the usual number count for more."""
        usual_bytes = REQUEST_BYTES + 100 + USUAL_FIELDS * HEADER_FIELD_BYTES
        cases = [
            ("no fields", 100, 0, REQUEST_BYTES + 100),
            ("usual fields", 100, USUAL_FIELDS, usual_bytes),
            (
                "further fields",
                100,
                USUAL_FIELDS + 2,
                usual_bytes + 2 * (HEADER_FIELD_BYTES + FURTHER_FIELD_BYTES),
            ),
        ]
        for name, head_bytes, fields, expected in cases:
            with self.subTest(name):
                self.assertEqual(estimate_request_bytes(head_bytes, fields), expected)


class ClientMemoryTests(unittest.TestCase):
    """The account of a process for what its connections hold."""

    def setUp(self):
        self.memory = ClientMemory(max_bytes=100)
        self.events = []

    def add(self, name, *, progress_at=0.0, **sizes):
        usage = ConnectionUsage(
            release=lambda: self.events.append(f"release {name}"),
            handle_room=lambda: self.events.append(f"room for {name}"),
            progress_at=progress_at,
            **sizes,
        )
        self.memory.add(usage)
        return usage

    def test_sum(self):
        """All that connections hold counts, until they are closed."""
        first = self.add("a", received_bytes=10)
        second = self.add("b", unsent_bytes=20, request_bytes=5)
        first.received_bytes = 15
        self.memory.update(first, 0.0)
        self.assertEqual((self.memory.held_bytes, self.memory.is_tight), (40, False))
        first.received_bytes = 30
        self.memory.update(first, 0.0)
        self.assertEqual((self.memory.held_bytes, self.memory.is_tight), (55, True))
        for usage in (first, second, second):
            self.memory.remove(usage)
        self.assertEqual(self.memory.held_bytes, 0)
        self.memory.update(first, 0.0)
        self.assertEqual(self.memory.held_bytes, 0)

    def test_release(self):
        """Past the limit, what was held longest goes first."""
        cases = [
            (
                "unread responses before one that is read",
                {"a": {"unsent_bytes": 40}, "b": {"unsent_bytes": 40}},
                {"unsent_bytes": 40, "progress_at": 9.0},
                ["release a"],
            ),
            (
                "a large usage before small ones",
                {"a": {"received_bytes": 10}, "b": {"received_bytes": 60}},
                {"received_bytes": 40, "progress_at": 9.0},
                ["release b"],
            ),
            (
                "as many as it takes",
                {"a": {"received_bytes": 20}, "b": {"received_bytes": 30}},
                {"received_bytes": 90, "progress_at": 9.0},
                ["release b", "release a"],
            ),
            (
                "requests that run are not cut",
                {"a": {"request_bytes": 90, "is_running": True}},
                {"received_bytes": 20, "progress_at": 9.0},
                ["release new"],
            ),
            (
                "unless their caller reads nothing",
                {"a": {"request_bytes": 50, "unsent_bytes": 40, "is_running": True}},
                {"received_bytes": 20, "progress_at": 9.0},
                ["release a"],
            ),
        ]
        for name, others, sizes, expected in cases:
            with self.subTest(name):
                self.setUp()
                for other, values in others.items():
                    self.add(other, **values)
                usage = self.add("new")
                for field, value in sizes.items():
                    setattr(usage, field, value)
                self.memory.update(usage, 9.0)
                self.assertEqual(self.events, expected)
                self.assertLessEqual(self.memory.held_bytes, 100)
                self.assertEqual(self.memory.released_count, len(expected))

    def test_requests_in_order(self):
        """Requests begin once there is room, in the order of arrival."""
        self.add("other", received_bytes=45)
        first, second, third = self.add("a"), self.add("b"), self.add("c")
        reserved = [
            self.memory.reserve(first, 50, 0.0),
            self.memory.reserve(second, 30, 0.0),
            self.memory.reserve(third, 5, 0.0),
        ]
        self.assertEqual(reserved, [True, False, False])
        self.assertEqual(self.memory.waiting_count, 2)
        first.request_bytes = 0
        self.memory.update(first, 1.0)
        self.assertEqual(self.events, ["room for b"])
        self.assertIs(self.memory.reserve(third, 5, 1.0), False)
        self.assertIs(self.memory.reserve(second, 30, 1.0), True)
        self.assertEqual(self.events, ["room for b", "room for c"])
        self.assertIs(self.memory.reserve(third, 5, 1.0), True)
        self.assertEqual((self.memory.held_bytes, self.memory.waiting_count), (80, 0))

    def test_end_of_a_wait(self):
        """A request that was refused or whose caller left holds up nobody."""
        self.add("a", received_bytes=90)
        for end in (self.memory.cancel, self.memory.remove):
            with self.subTest(end.__name__):
                self.events.clear()
                large, small = self.add("b"), self.add("c")
                self.memory.reserve(large, 50, 0.0)
                self.memory.reserve(small, 5, 0.0)
                end(large)
                self.assertEqual(self.events, ["room for c"])
                self.memory.remove(small)

    def test_larger_than_the_account(self):
        """A request larger than all of the room runs, one at a time."""
        first, second, third = self.add("a"), self.add("b"), self.add("c")
        self.assertIs(self.memory.reserve(first, 500, 0.0), True)
        self.assertIs(self.memory.reserve(second, 1, 0.0), True)
        self.assertIs(self.memory.reserve(third, 500, 0.0), False)
        self.assertIs(first.counted_bytes < 100, True)
        self.memory.remove(first)
        self.assertEqual(self.events, ["room for c"])
        self.assertIs(self.memory.reserve(third, 500, 0.0), True)

    def test_large_requests(self):
        """Large requests wait for each other, and nobody else for them."""
        large_bytes = USUAL_REQUEST_BYTES + 1
        self.memory = ClientMemory(max_bytes=5 * large_bytes)
        running, second, third = (self.add(name) for name in "abc")
        usual, late = self.add("usual"), self.add("late")
        self.assertIs(self.memory.reserve(running, 2 * large_bytes, 0.0), True)
        self.assertIs(self.memory.reserve(second, large_bytes, 0.0), False)
        self.assertIs(self.memory.reserve(third, large_bytes, 0.0), False)
        self.assertIs(self.memory.reserve(usual, USUAL_REQUEST_BYTES, 0.0), True)
        self.memory.remove(usual)
        self.assertEqual(self.events, [])
        self.memory.cancel(second)
        self.assertIs(self.memory.reserve(late, 1000, 0.0), True)
        self.assertEqual(self.memory.waiting_count, 1)
        self.memory.remove(running)
        self.assertEqual(self.events, ["room for c"])
        self.assertIs(self.memory.reserve(third, large_bytes, 0.0), True)

    def test_stalled(self):
        """Stalled connections make room only if requests wait to begin."""
        stalled = self.add("a", received_bytes=60)
        self.add("b", received_bytes=30, progress_at=5.0)
        self.memory.release_stalled(5.0)
        self.assertEqual(self.events, [])
        waiting = self.add("c", received_bytes=5)
        self.assertIs(self.memory.reserve(waiting, 20, 5.0), False)
        self.memory.release_stalled(STALL_S / 2)
        self.assertEqual(self.events, [])
        self.memory.release_stalled(5.0)
        self.assertEqual(self.events[0], "room for c")
        self.assertIn("release a", self.events)
        self.assertIs(self.memory.reserve(waiting, 20, 5.0), True)
        self.assertNotIn("release c", self.events)
        self.assertEqual(stalled.counted_bytes, 0)


if __name__ == "__main__":
    unittest.main()
