"""The randomness port."""

from abc import ABC, abstractmethod


class RandomSource(ABC):
    """Draws numbers; a test gives a seeded one."""

    @abstractmethod
    def draw_uniform(self) -> float:
        """Return a number from [0, 1)."""

    @abstractmethod
    def draw_index(self, count: int) -> int:
        """Return an index from 0 up to, not including, count."""
