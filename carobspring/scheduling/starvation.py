"""Starvation prevention: a minimum share of starts for each waiting class."""

from collections.abc import Iterable

MIN_WINDOW_STARTS = 20
MAX_WINDOW_STARTS = 200


class StarvationGuard:
    """Counts starts and finds the class that has to be served next.

    A waiting class gets at least one of every ``window`` starts. The window
    is counted in starts rather than time so that it holds under any burst.
    The longer a class's calls occupy a slot compared to those of others, the
    larger its window (up to 200), so that long calls don't take the slots of
    short ones.
    """

    def __init__(self) -> None:
        self._starts = 0
        #: Number of starts at which a class began to wait, by class.
        self._waiting_since: dict[str, int] = {}
        self._windows: dict[str, int] = {}

    def record_waiting(self, service_class: str, *, window: int) -> None:
        """Begin the window of a class unless it is waiting already."""
        if service_class not in self._waiting_since:
            self._waiting_since[service_class] = self._starts
            self._windows[service_class] = window

    def record_start(
        self, service_class: str, *, window: int, still_waiting: bool
    ) -> None:
        """Count a start, and begin a new window if more calls wait."""
        self._starts += 1
        if still_waiting:
            self._waiting_since[service_class] = self._starts
            self._windows[service_class] = window
        else:
            self.record_empty(service_class)

    def record_empty(self, service_class: str) -> None:
        """End the window of a class that has no waiting calls."""
        self._waiting_since.pop(service_class, None)
        self._windows.pop(service_class, None)

    def find_overdue(self) -> str | None:
        """Return the class that has to start now, if any.

        One start is reserved for each waiting class, since several windows
        may end at the same start.
        """
        if len(self._waiting_since) < 2:
            return None
        classes = len(self._waiting_since)
        first = min(self._waiting_since, key=self._get_window_end)
        return first if self._get_window_end(first) - self._starts <= classes else None

    def _get_window_end(self, service_class: str) -> int:
        return self._waiting_since[service_class] + self._windows[service_class]


def compute_start_window(
    expected_s: float, waiting_expected_s: Iterable[float], *, classes: int
) -> int:
    """Return the window of a class, in starts.

    Args:
        expected_s: Expected slot time of a call of the class.
        waiting_expected_s: The same for each class with waiting calls.
        classes: Number of classes with waiting calls.
    """
    known = [seconds for seconds in waiting_expected_s if seconds > 0]
    lowest = max(MIN_WINDOW_STARTS, 4 * classes)
    if not known or expected_s <= 0:
        return lowest
    ratio = expected_s / min(known)
    return max(lowest, min(MAX_WINDOW_STARTS, round(MIN_WINDOW_STARTS * ratio)))
