"""The system clock and the random generator that the programs use."""

import random
import time

from carobspring.ports import Clock, RandomSource


class SystemClock(Clock):
    """Reads the operating system's clocks."""

    def read_monotonic(self) -> float:
        """Return monotonic seconds, for intervals and deadlines."""
        return time.monotonic()

    def read_wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for timestamps."""
        return time.time_ns() // 1_000_000


class SystemRandom(RandomSource):
    """Draws from Python's random generator, optionally seeded."""

    def __init__(self, *, seed: int | None = None) -> None:
        self._generator = random.Random(seed)

    def draw_uniform(self) -> float:
        """Return a number from [0, 1)."""
        return self._generator.random()

    def draw_index(self, count: int) -> int:
        """Return an index from 0 to ``count`` - 1."""
        return self._generator.randrange(count)
