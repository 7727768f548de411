"""The book of strikes: requests that were running at crashes."""

from collections import OrderedDict
from dataclasses import dataclass

from carobspring.protocol import Strike

#: Strikes that are kept; the oldest go first.
MAX_STRIKES = 2_000
#: Strikes are forgotten after this time, reckoned by the newest strike.
STRIKE_RETENTION_MS = 24 * 60 * 60 * 1000

StrikeKey = tuple[str, str, str, int, int]


@dataclass(frozen=True, kw_only=True)
class StrikeSnapshot:
    """The whole state of the book."""

    strikes: tuple[Strike, ...] = ()
    released: tuple[Strike, ...] = ()


class StrikeTable:
    """Holds strikes in the order they came, each one once.

    Agents report a strike many times. Those that an operator released are
    remembered, within the same bounds, so that a repeat does not bring them
    back.
    """

    def __init__(self) -> None:
        self._strikes: OrderedDict[StrikeKey, Strike] = OrderedDict()
        self._released: OrderedDict[StrikeKey, Strike] = OrderedDict()
        #: Grows when the strikes change, so that readers need not compare.
        self.change_count = 0

    def find_unknown(self, strikes: tuple[Strike, ...]) -> tuple[Strike, ...]:
        """Return those strikes that the book has neither kept nor released."""
        return tuple(
            strike
            for strike in strikes
            if _name_strike(strike) not in self._strikes
            and _name_strike(strike) not in self._released
        )

    def add(self, strikes: tuple[Strike, ...]) -> int:
        """Take strikes over; return how many are new."""
        added = self.find_unknown(strikes)
        for strike in added:
            self._strikes[_name_strike(strike)] = strike
        newest_ms = max((strike.at_ms for strike in added), default=0)
        self.change_count += 1
        _drop_old(self._strikes, newest_ms)
        _drop_old(self._released, newest_ms)
        return len(added)

    def release(self, workspace: str, request_hash: str) -> int:
        """Forget the strikes of a request; return how many there were."""
        keys = [key for key in self._strikes if key[:2] == (workspace, request_hash)]
        for key in keys:
            self._released[key] = self._strikes.pop(key)
        _drop_old(self._released, 0)
        self.change_count += 1
        return len(keys)

    def list_strikes(self) -> tuple[Strike, ...]:
        """Return every strike, oldest first."""
        return tuple(self._strikes.values())

    def take_snapshot(self) -> StrikeSnapshot:
        """Return the whole state."""
        return StrikeSnapshot(
            strikes=self.list_strikes(), released=tuple(self._released.values())
        )

    def restore(self, snapshot: StrikeSnapshot) -> None:
        """Take over the state of a snapshot."""
        self._strikes = OrderedDict((_name_strike(s), s) for s in snapshot.strikes)
        self.change_count += 1
        self._released = OrderedDict((_name_strike(s), s) for s in snapshot.released)


def _name_strike(strike: Strike) -> StrikeKey:
    return (
        strike.workspace,
        strike.request_hash,
        strike.server_id,
        strike.boot,
        strike.at_ms,
    )


def _drop_old(strikes: OrderedDict[StrikeKey, Strike], newest_ms: int) -> None:
    while strikes:
        oldest = next(iter(strikes.values()))
        too_old = newest_ms - oldest.at_ms > STRIKE_RETENTION_MS
        if not too_old and len(strikes) <= MAX_STRIKES:
            return
        strikes.popitem(last=False)
