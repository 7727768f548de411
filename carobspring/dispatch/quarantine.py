"""Decides which requests are held back because servers crashed under them."""

from collections.abc import Iterable
from typing import Final

from carobspring.membership import (
    HELD_STRIKES,
    MAX_REQUESTS,
    RequestKey,
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


class RequestQuarantine:
    """Holds back requests under which several servers have crashed.

    A request with one strike is sent, away from others with strikes, so that
    a second crash has one likely cause. With two it is held back for a while,
    with three for long. When the time is over, one send of it is admitted. A
    request that runs to its end anywhere did not cause the crashes, and its
    strikes are released.

    Example:
        ``hold_s = quarantine.admit(key, now)``; the request may be sent if
        that is zero.
    """

    def __init__(self) -> None:
        self._strikes = StrikeSet()
        #: Time of the last strike or admitted send of a request.
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

    def admit(self, key: RequestKey, now: float) -> float:
        """Return the seconds for which a request is held back, or zero."""
        count = self._strikes.count(key)
        if count < HELD_STRIKES:
            return 0.0
        hold_s = LIKELY_CAUSE_HOLD_S if count >= LIKELY_CAUSE_STRIKES else HOLD_S
        left_s = self._held_since.get(key, now) + hold_s - now
        if left_s > 0:
            return left_s
        self._held_since[key] = now
        return 0.0
