"""Smoothed observations."""


class SmoothedValue:
    """An exponentially weighted mean; zero until the first observation."""

    def __init__(self, weight: float) -> None:
        self._weight = weight
        self.value = 0.0
        self.count = 0

    def observe(self, value: float) -> None:
        """Take an observation; the first few count for more."""
        self.count += 1
        weight = max(self._weight, 1.0 / self.count)
        self.value += weight * (value - self.value)
