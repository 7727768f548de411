"""The clock and randomness of the running programs."""

import random
import time

from carobspring.ports import Clock, RandomSource


class SystemClock(Clock):
    """Reads the operating system's clocks."""

    def read_monotonic(self) -> float:
        """Return seconds that never go back, for intervals and deadlines."""
        return time.monotonic()

    def read_wall_ms(self) -> int:
        """Return milliseconds since 1970, for records that people read."""
        return time.time_ns() // 1_000_000


class SystemRandom(RandomSource):
    """Draws from Python's generator, seeded when a seed is given."""

    def __init__(self, *, seed: int | None = None) -> None:
        self._generator = random.Random(seed)

    def draw_uniform(self) -> float:
        """Return a number from [0, 1)."""
        return self._generator.random()

    def draw_index(self, count: int) -> int:
        """Return an index from 0 up to, not including, count."""
        return self._generator.randrange(count)
