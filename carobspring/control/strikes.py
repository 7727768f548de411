"""Strikes: records of requests that were running when a server crashed."""

from collections import OrderedDict
from dataclasses import dataclass

from carobspring.protocol import Strike

#: Strikes that are kept; the oldest are evicted first.
MAX_STRIKES = 2_000
#: Strikes older than the newest one by more than this are evicted.
STRIKE_RETENTION_MS = 24 * 60 * 60 * 1000

StrikeKey = tuple[str, str, str, int, int]


@dataclass(frozen=True, kw_only=True)
class StrikeSnapshot:
    """The complete state of the table."""

    strikes: tuple[Strike, ...] = ()
    released: tuple[Strike, ...] = ()


class StrikeTable:
    """Holds each strike once, in order of arrival.

    Agents report a strike repeatedly. Released strikes are kept within the
    same limits, so that a repeated report does not add them again.
    """

    def __init__(self) -> None:
        self._strikes: OrderedDict[StrikeKey, Strike] = OrderedDict()
        self._released: OrderedDict[StrikeKey, Strike] = OrderedDict()
        #: Incremented when the strikes change, so that readers need not
        #: compare them.
        self.change_count = 0

    def find_unknown(self, strikes: tuple[Strike, ...]) -> tuple[Strike, ...]:
        """Return those strikes that are neither stored nor released."""
        return tuple(
            strike
            for strike in strikes
            if _build_key(strike) not in self._strikes
            and _build_key(strike) not in self._released
        )

    def add(self, strikes: tuple[Strike, ...]) -> int:
        """Add strikes and return how many of them are new."""
        added = self.find_unknown(strikes)
        for strike in added:
            self._strikes[_build_key(strike)] = strike
        newest_ms = max((strike.at_ms for strike in added), default=0)
        self.change_count += 1
        _evict_old(self._strikes, newest_ms)
        _evict_old(self._released, newest_ms)
        return len(added)

    def release(self, workspace: str, request_hash: str) -> int:
        """Release the strikes of a request and return their number."""
        keys = [key for key in self._strikes if key[:2] == (workspace, request_hash)]
        for key in keys:
            self._released[key] = self._strikes.pop(key)
        _evict_old(self._released, 0)
        self.change_count += 1
        return len(keys)

    def list_strikes(self) -> tuple[Strike, ...]:
        """Return every strike, oldest first."""
        return tuple(self._strikes.values())

    def take_snapshot(self) -> StrikeSnapshot:
        """Return the complete state."""
        return StrikeSnapshot(
            strikes=self.list_strikes(), released=tuple(self._released.values())
        )

    def restore(self, snapshot: StrikeSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self._strikes = OrderedDict((_build_key(s), s) for s in snapshot.strikes)
        self.change_count += 1
        self._released = OrderedDict((_build_key(s), s) for s in snapshot.released)


def _build_key(strike: Strike) -> StrikeKey:
    return (
        strike.workspace,
        strike.request_hash,
        strike.server_id,
        strike.boot,
        strike.at_ms,
    )


def _evict_old(strikes: OrderedDict[StrikeKey, Strike], newest_ms: int) -> None:
    while strikes:
        oldest = next(iter(strikes.values()))
        is_expired = newest_ms - oldest.at_ms > STRIKE_RETENTION_MS
        if not is_expired and len(strikes) <= MAX_STRIKES:
            return
        strikes.popitem(last=False)
