"""A moving average of observations."""


class SmoothedValue:
    """An exponential moving average; zero before the first observation."""

    def __init__(self, weight: float) -> None:
        self._weight = weight
        self.value = 0.0
        self.count = 0

    def observe(self, value: float) -> None:
        """Add an observation; the first few have a larger weight."""
        self.count += 1
        weight = max(self._weight, 1.0 / self.count)
        self.value += weight * (value - self.value)
