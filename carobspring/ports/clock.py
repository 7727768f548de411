"""The clock port."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Reads the time. Decision logic is passed times and reads no clock."""

    @abstractmethod
    def read_monotonic(self) -> float:
        """Return monotonic seconds, for intervals and deadlines."""

    @abstractmethod
    def read_wall_ms(self) -> int:
        """Return milliseconds since 1970, for records that people read."""
