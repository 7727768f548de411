"""Which requests an entry that stops still takes."""

from dataclasses import dataclass
from typing import Final

from carobspring.dispatch.queries import Refusal, RefusalReason

#: Seconds of past requests that tell how long those of a route last.
WINDOW_S: Final = 60.0
#: Share by which a request may last longer than any of its route lately did.
DURATION_MARGIN: Final = 0.25
#: Seconds between the limit of a request and the end of the stop, in which its
#: last bytes are sent.
SENDING_S: Final = 0.2


@dataclass(frozen=True, kw_only=True)
class StopSchedule:
    """The moments of a planned stop, in monotonic seconds."""

    #: Until then callers still come by way of the balancer.
    listens_until: float
    #: The process ends then at the latest, and cuts what is open.
    ends_at: float


class RouteDurations:
    """The longest duration of the last requests of each route.

    Keeps two windows, so that a duration counts for one window at least and
    two at most.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}
        self._longest_before: dict[str, float] = {}
        self._window_ends_at = float("-inf")

    def record(self, route: str, duration_s: float, now: float) -> None:
        """Record how long a request lasted that a server completed."""
        self._advance(now)
        self._longest[route] = max(duration_s, self._longest.get(route, 0.0))

    def find_longest(self, route: str, now: float) -> float | None:
        """Return the longest duration in seconds; None if none is known."""
        self._advance(now)
        windows = (self._longest, self._longest_before)
        return max(
            (window[route] for window in windows if route in window), default=None
        )

    def _advance(self, now: float) -> None:
        if now < self._window_ends_at:
            return
        is_next = now < self._window_ends_at + WINDOW_S
        self._longest_before = self._longest if is_next else {}
        self._longest = {}
        self._window_ends_at = now + WINDOW_S


class StopAdmission:
    """Decides which requests may still be taken at which moment of a stop.

    A request whose limit lies before the end of the stop is always taken. One
    that may last longer is taken only while callers can't avoid this entry,
    and only if requests of its route lately ended in the time that is left.
    All others are refused at once: their callers have time for another entry,
    while a request that is cut has run in vain.

    Example:
        ``stop_admission.begin(schedule)`` at the signal, then
        ``stop_admission.check("chat", limit_at, now)`` for each request.
    """

    def __init__(self) -> None:
        self.durations = RouteDurations()
        self._schedule: StopSchedule | None = None

    def begin(self, schedule: StopSchedule) -> None:
        """Begin a stop."""
        self._schedule = schedule

    def check(
        self, route: str, limit_at: float, now: float, *, oldest_s: float = 0.0
    ) -> Refusal | None:
        """Return the refusal of a request that arrives now, or None.

        Args:
            route: Name of its route.
            limit_at: When its caller or its route gives it up.
            now: Monotonic time.
            oldest_s: How long the oldest open request of the route has lasted.
        """
        schedule = self._schedule
        if schedule is None or limit_at + SENDING_S <= schedule.ends_at:
            return None
        longest_s = self.durations.find_longest(route, now)
        if now < schedule.listens_until and longest_s is not None:
            left_s = schedule.ends_at - SENDING_S - now
            if max(longest_s, oldest_s) * (1 + DURATION_MARGIN) <= left_s:
                return None
        # Another entry may take it at once.
        return Refusal(reason=RefusalReason.STOPPING, retry_after_s=0.0)
