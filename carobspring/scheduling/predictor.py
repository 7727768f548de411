"""Prediction of service times by class and workspace."""

from collections import OrderedDict

#: Number of samples after which the mean becomes an exponential average.
AVERAGE_WINDOW_SAMPLES = 50
#: Weight of the enclosing group's mean, in samples of the narrower group.
PRIOR_WEIGHT_SAMPLES = 4
#: Number of (class, workspace) pairs that are tracked.
MAX_GROUPS = 4096


class MovingAverage:
    """A mean that turns into an exponential average once samples suffice."""

    def __init__(self) -> None:
        self.count = 0
        self.value = 0.0

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.count = min(self.count + 1, AVERAGE_WINDOW_SAMPLES)
        self.value += (sample - self.value) / self.count

    def shrink_to(self, prior: float) -> float:
        """Return the mean, shrunk toward a prior while samples are few."""
        total = self.count + PRIOR_WEIGHT_SAMPLES
        return (self.count * self.value + PRIOR_WEIGHT_SAMPLES * prior) / total


class ServiceTimePredictor:
    """Predicts how long a call occupies a slot.

    The mean of a workspace in a class is shrunk toward the mean of the class,
    and that one toward the mean of all calls, each with a prior weight of
    ``PRIOR_WEIGHT_SAMPLES``. A single outlier therefore moves a prediction by
    at most a fifth of the difference.

    Example:
        ``predictor.add("chat", "acme", 0.8)`` and then
        ``predictor.predict("chat", "acme")``.
    """

    def __init__(self) -> None:
        self._overall = MovingAverage()
        self._classes: dict[str, MovingAverage] = {}
        self._workspaces: OrderedDict[tuple[str, str], MovingAverage] = OrderedDict()

    def add(self, service_class: str, workspace: str, seconds: float) -> None:
        """Add the slot time of a call with a complete response."""
        self._overall.add(seconds)
        self._classes.setdefault(service_class, MovingAverage()).add(seconds)
        key = (service_class, workspace)
        self._workspaces.setdefault(key, MovingAverage()).add(seconds)
        self._workspaces.move_to_end(key)
        while len(self._workspaces) > MAX_GROUPS:
            self._workspaces.popitem(last=False)

    def predict(self, service_class: str, workspace: str) -> float:
        """Return the expected seconds, or zero before the first sample."""
        expected = self.predict_class(service_class)
        mean = self._workspaces.get((service_class, workspace))
        return mean.shrink_to(expected) if mean else expected

    def predict_class(self, service_class: str) -> float:
        """Return the expected seconds of a call of a class."""
        mean = self._classes.get(service_class)
        overall = self._overall.value
        return mean.shrink_to(overall) if mean else overall

    def predict_overall(self) -> float:
        """Return the mean seconds over all classes."""
        return self._overall.value
