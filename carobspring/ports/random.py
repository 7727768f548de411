"""The randomness port."""

from abc import ABC, abstractmethod


class RandomSource(ABC):
    """Generates random numbers; tests use a seeded source."""

    @abstractmethod
    def draw_uniform(self) -> float:
        """Return a random number in [0, 1)."""

    @abstractmethod
    def draw_index(self, count: int) -> int:
        """Return a random index in [0, count)."""
