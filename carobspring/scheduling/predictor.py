"""What calls are expected to take, by class and workspace."""

from collections import OrderedDict

#: Samples after which old ones begin to fade.
MEMORY_SAMPLES = 50
#: Samples that the wider group counts as against a narrower group's own.
PRIOR_SAMPLES = 4
MAX_GROUPS = 4096


class MovingAverage:
    """A mean whose oldest samples fade once there are enough."""

    def __init__(self) -> None:
        self.count = 0
        self.value = 0.0

    def add(self, sample: float) -> None:
        """Take in a sample."""
        self.count = min(self.count + 1, MEMORY_SAMPLES)
        self.value += (sample - self.value) / self.count

    def shrink_to(self, prior: float) -> float:
        """Return the mean, drawn to a prior while samples are few."""
        total = self.count + PRIOR_SAMPLES
        return (self.count * self.value + PRIOR_SAMPLES * prior) / total


class ServiceTimePredictor:
    """Predicts how long a call occupies a slot.

    A workspace's own mean in a class is drawn to the mean of the class, and
    that to the mean of all calls, each by ``PRIOR_SAMPLES``: one odd sample
    moves a prediction by a fifth of its distance at most.

    Example:
        ``predictor.add("chat", "acme", 0.8)`` and then
        ``predictor.predict("chat", "acme")``.
    """

    def __init__(self) -> None:
        self._overall = MovingAverage()
        self._classes: dict[str, MovingAverage] = {}
        self._workspaces: OrderedDict[tuple[str, str], MovingAverage] = OrderedDict()

    def add(self, service_class: str, workspace: str, seconds: float) -> None:
        """Take in how long a call with a whole answer took."""
        self._overall.add(seconds)
        self._classes.setdefault(service_class, MovingAverage()).add(seconds)
        key = (service_class, workspace)
        self._workspaces.setdefault(key, MovingAverage()).add(seconds)
        self._workspaces.move_to_end(key)
        while len(self._workspaces) > MAX_GROUPS:
            self._workspaces.popitem(last=False)

    def predict(self, service_class: str, workspace: str) -> float:
        """Return the expected seconds; zero when nothing was seen yet."""
        expected = self.predict_class(service_class)
        mean = self._workspaces.get((service_class, workspace))
        return mean.shrink_to(expected) if mean else expected

    def predict_class(self, service_class: str) -> float:
        """Return the expected seconds of a class."""
        mean = self._classes.get(service_class)
        overall = self._overall.value
        return mean.shrink_to(overall) if mean else overall

    def predict_any(self) -> float:
        """Return the expected seconds of any call."""
        return self._overall.value
