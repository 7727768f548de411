"""The clock port."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Tells the time; the decision cores take times, never a clock."""

    @abstractmethod
    def read_monotonic(self) -> float:
        """Return seconds that never go back, for intervals and deadlines."""

    @abstractmethod
    def read_wall_ms(self) -> int:
        """Return milliseconds since 1970, for records that people read."""
