"""The share floor: every class that waits starts now and then."""

from collections.abc import Iterable

MIN_WINDOW = 20
MAX_WINDOW = 200


class StarvationGuard:
    """Counts starts, and names the class whose turn can't wait any more.

    A class that waits gets at least one of every ``window`` starts, counted
    and not timed, so that it holds under any burst. The window of a class is
    larger the longer its calls occupy a slot compared to others (to 200), so
    that the floor of long calls doesn't take the slots of short ones.
    """

    def __init__(self) -> None:
        self._starts = 0
        self._since: dict[str, int] = {}
        self._windows: dict[str, int] = {}

    def note_waiting(self, service_class: str, *, window: int) -> None:
        """Take in that a class has begun to wait."""
        if service_class not in self._since:
            self._since[service_class] = self._starts
            self._windows[service_class] = window

    def note_start(self, service_class: str, *, window: int, waits: bool) -> None:
        """Take in a start, and whether the class has more calls waiting."""
        self._starts += 1
        if waits:
            self._since[service_class] = self._starts
            self._windows[service_class] = window
        else:
            self.note_empty(service_class)

    def note_empty(self, service_class: str) -> None:
        """Take in that no call of a class waits any more."""
        self._since.pop(service_class, None)
        self._windows.pop(service_class, None)

    def find_overdue(self) -> str | None:
        """Return the class that has to start now, if any.

        One start is kept for each class that waits, since they may fall due
        together.
        """
        if len(self._since) < 2:
            return None
        classes = len(self._since)
        first = min(self._since, key=self._find_end)
        return first if self._find_end(first) - self._starts <= classes else None

    def _find_end(self, service_class: str) -> int:
        return self._since[service_class] + self._windows[service_class]


def compute_start_window(
    work_s: float, others_s: Iterable[float], *, classes: int
) -> int:
    """Return the window of a class from the work of a call of each class."""
    known = [seconds for seconds in others_s if seconds > 0]
    lowest = max(MIN_WINDOW, 4 * classes)
    if not known or work_s <= 0:
        return lowest
    ratio = work_s / min(known)
    return max(lowest, min(MAX_WINDOW, round(MIN_WINDOW * ratio)))
