"""Trials of servers that have answered nothing yet."""

from typing import Final

#: Failed trials in a row from which trials are paced.
MAX_FAILURES: Final = 3
#: Seconds between two trials then; each further failure doubles them.
FIRST_PAUSE_S: Final = 0.5
MAX_PAUSE_S: Final = 5.0


class TrialPace:
    """Paces the first requests to servers of one service.

    Anyone can check in, so a server that has answered nothing may be none.
    While such trials fail, few requests are spent on them. One that succeeds
    ends the pauses.

    Example:
        ``pace.record_failure(now)``, then ``pace.is_paused(now)``.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._next_at = float("-inf")

    def is_paused(self, now: float) -> bool:
        """Return whether to leave out servers that have answered nothing."""
        return now < self._next_at

    def record_start(self, now: float) -> None:
        """Record that a request is sent to such a server."""
        self._pause(now)

    def record_failure(self, now: float) -> None:
        """Record that such a server did not answer."""
        self._failures += 1
        self._pause(now)

    def record_success(self) -> None:
        """Record that such a server answered."""
        self._failures = 0
        self._next_at = float("-inf")

    def _pause(self, now: float) -> None:
        doublings = self._failures - MAX_FAILURES
        if doublings >= 0:
            # A large power would be no float.
            pause_s = FIRST_PAUSE_S * 2 ** min(doublings, 10)
            self._next_at = now + min(MAX_PAUSE_S, pause_s)
