"""Decides which requests are held back because servers crashed under them."""

from collections.abc import Iterable
from typing import Final

from carobspring.membership import (
    HELD_STRIKES,
    MAX_REQUESTS,
    RequestKey,
    ServerRun,
    StrikeSet,
)
from carobspring.protocol import Strike

#: Seconds for which a request is held back after a second crash. A sound
#: request that ran beside the cause at both may then prove it by succeeding.
HOLD_S: Final = 30.0
#: Strikes from which the request itself is the likely cause, and the seconds
#: for which it is then held back.
LIKELY_CAUSE_STRIKES: Final = 3
LIKELY_CAUSE_HOLD_S: Final = 3600.0
#: Seconds between the first sends of two entries when a hold is over, so that
#: the others hear of one before they admit theirs.
TRIAL_INTERVAL_S: Final = 0.5


class RequestQuarantine:
    """Holds back requests under which several servers have crashed.

    A request with one strike is sent, away from others with strikes, so that
    a second crash has one likely cause. With two it is held back for a while,
    with three for long. When the time is over, one send is admitted as a
    trial, which counts as a strike until it is answered. A request that runs
    to its end anywhere did not cause the crashes, and its strikes are
    released.

    Example:
        ``left_s = quarantine.compute_hold(key, now, entry_count)``; the
        request may be sent if that is zero or less.
    """

    def __init__(self, *, trial_turn: float = 0.0) -> None:
        """Create an empty quarantine.

        Args:
            trial_turn: This entry's place among the others, in [0, 1), by
                which it begins trials.
        """
        self._trial_turn = trial_turn
        self._strikes = StrikeSet()
        #: Time of the last strike of a request.
        self._held_since: dict[RequestKey, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request has a strike."""
        return self._strikes.is_empty

    def add(self, strikes: Iterable[Strike], now: float) -> tuple[Strike, ...]:
        """Add strikes of this entry or of others; return the new ones."""
        added = self._strikes.add(strikes)
        for strike in added:
            self._held_since[strike.workspace, strike.request_hash] = now
        if len(self._held_since) > MAX_REQUESTS:
            self._held_since = {
                key: at for key, at in self._held_since.items() if self.count(key)
            }
        return added

    def remove(self, strikes: Iterable[Strike]) -> None:
        """Remove strikes that were released elsewhere."""
        self._strikes.release(strikes)

    def release_request(self, key: RequestKey) -> tuple[Strike, ...]:
        """Release the strikes of a request that ran to its end."""
        return self._strikes.release(self._strikes.find(key))

    def count(self, key: RequestKey) -> int:
        """Return the number of server runs that ended under a request."""
        return self._strikes.count(key)

    def list_strikes(self) -> tuple[Strike, ...]:
        """Return all strikes that this entry knows."""
        return self._strikes.list_strikes()

    def compute_hold(self, key: RequestKey, now: float, entry_count: int = 1) -> float:
        """Return the seconds for which a request is held back, or zero.

        Args:
            key: The request.
            now: Monotonic time in seconds.
            entry_count: The number of entries that may begin a trial.
        """
        if not self.is_held(key):
            return 0.0
        is_likely = self._strikes.count(key) >= LIKELY_CAUSE_STRIKES
        hold_s = LIKELY_CAUSE_HOLD_S if is_likely else HOLD_S
        turn_s = self._trial_turn * entry_count * TRIAL_INTERVAL_S
        return max(0.0, self._held_since.get(key, now) + hold_s + turn_s - now)

    def is_held(self, key: RequestKey) -> bool:
        """Return whether a request that is sent now is on trial."""
        return self._strikes.count(key) >= HELD_STRIKES

    def release_run(self, key: RequestKey, server_run: ServerRun) -> tuple[Strike, ...]:
        """Release the strike that one run brought; return it."""
        return self._strikes.release(
            strike
            for strike in self._strikes.find(key)
            if (strike.server_id, strike.boot) == server_run
        )
