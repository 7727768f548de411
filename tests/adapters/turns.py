"""Counting of the turns of an event loop."""

import asyncio
from collections import Counter


class TurnCounter:
    """Counts the turns of the running loop, and what happens in each.

    Example:
        ``turns.record()`` for each step; then ``turns.largest`` is the number
        of steps in the turn that had most.
    """

    def __init__(self):
        self.count = 0
        self._steps = Counter()
        self._is_stopped = False
        self._begin_turn()

    @property
    def largest(self):
        """The number of steps recorded in the turn that had most."""
        return max(self._steps.values(), default=0)

    def record(self):
        """Record a step in this turn."""
        self._steps[self.count] += 1

    def stop(self):
        """Count no further turn."""
        self._is_stopped = True

    def _begin_turn(self):
        self.count += 1
        if not self._is_stopped:
            asyncio.get_running_loop().call_soon(self._begin_turn)
