import unittest

from carobspring.adapters.byte_budget import (
    MIN_RECEIVE_BYTES_PER_S,
    SMALL_BODY_BYTES,
    ByteBudget,
    BytePool,
    Hold,
)
from carobspring.adapters.client_memory import STALL_S

MIB = 1024 * 1024


class BytePoolTests(unittest.TestCase):
    """Room for the bodies of a crowd of clients."""

    def setUp(self):
        self.pool = BytePool(max_bytes=10)
        self.events = []

    def add(self, name, size, *, progress_at=0.0):
        hold = Hold(
            size=size,
            handle_room=lambda: self.events.append(f"room for {name}"),
            refuse=lambda: self.events.append(f"refuse {name}"),
            progress_at=progress_at,
        )
        self.pool.add(hold)
        return hold

    def test_room_in_order(self):
        """A small body does not overtake a large one that waits."""
        first, second, third = self.add("a", 8), self.add("b", 6), self.add("c", 1)
        self.assertEqual(
            [hold.has_room for hold in (first, second, third)], [True, False, False]
        )
        self.pool.remove(first)
        self.assertEqual(self.events, ["room for b", "room for c"])
        self.assertEqual((self.pool.held_bytes, self.pool.waiting_count), (7, 0))

    def test_larger_than_the_pool(self):
        """A body larger than the pool is read, but alone."""
        first, second = self.add("a", 50), self.add("b", 1)
        self.assertEqual((first.has_room, second.has_room), (True, False))
        self.pool.remove(first)
        self.assertIs(second.has_room, True)

    def test_end_of_a_wait(self):
        """A client that leaves while it waits holds up nobody."""
        self.add("a", 8)
        second, third = self.add("b", 6), self.add("c", 2)
        self.pool.remove(second)
        self.assertIs(third.has_room, True)

    def test_stalled(self):
        """Only a body that stalls while others wait is refused."""
        first = self.add("a", 5, progress_at=1.0)
        second = self.add("b", 5, progress_at=0.5)
        now = 0.5 + STALL_S
        self.assertIsNone(self.pool.find_stalled(now))
        self.add("c", 5)
        self.assertIs(self.pool.find_stalled(now), second)
        second.is_receiving = False
        self.assertIsNone(self.pool.find_stalled(now))
        self.assertIs(self.pool.find_stalled(1.0 + STALL_S), first)

    def test_slow(self):
        """Bodies that arrive byte by byte don't keep their room for long."""
        hold = self.add("a", 10)
        hold.room_at = 0.0
        self.add("b", 1)
        for second in (0.5, 1.0):
            hold.record_received(1, second)
            self.assertIsNone(self.pool.find_stalled(second))
        now = STALL_S + 1.0
        hold.record_received(1, now)
        self.assertIs(self.pool.find_stalled(now), hold)
        hold.record_received(MIN_RECEIVE_BYTES_PER_S, now)
        self.assertIsNone(self.pool.find_stalled(now))

    def test_shrink(self):
        """Room that a complete body does not need goes to those that wait."""
        first, second = self.add("a", 10), self.add("b", 6)
        self.pool.shrink(first, 4)
        self.assertIs(second.has_room, True)
        self.pool.shrink(first, 8)
        self.pool.remove(first)
        self.assertEqual(self.pool.held_bytes, 6)


class ByteBudgetTests(unittest.TestCase):
    """The pools of a process."""

    def build_hold(self, size):
        return Hold(size=size, handle_room=lambda: None, refuse=self.record_refusal)

    def record_refusal(self):
        self.refused = True

    def test_pools(self):
        """Large bodies don't keep small ones out."""
        budget = ByteBudget(max_bytes=2 * MIB)
        large = [self.build_hold(MIB) for _ in range(3)]
        small = self.build_hold(SMALL_BODY_BYTES)
        for hold in (*large, small):
            budget.add(hold)
        self.assertEqual([hold.has_room for hold in large], [True, False, False])
        self.assertIs(small.has_room, True)
        budget.remove(large[0])
        self.assertIs(large[1].has_room, True)

    def test_refusal(self):
        """A stalled body makes room for the next."""
        budget = ByteBudget(max_bytes=2 * MIB)
        stalled, waiting = self.build_hold(MIB), self.build_hold(MIB)
        budget.add(stalled)
        budget.add(waiting)
        budget.refuse_stalled(STALL_S)
        self.assertIs(self.refused, True)
        self.assertIs(waiting.has_room, True)
        self.assertEqual(budget.refused_count, 1)


if __name__ == "__main__":
    unittest.main()
