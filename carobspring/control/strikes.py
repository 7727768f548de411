"""The book of strikes: requests that were running at crashes."""

from collections import OrderedDict

from carobspring.protocol import Strike

#: Strikes that are kept; the oldest go first.
MAX_STRIKES = 2_000
#: Strikes are forgotten after this time, reckoned by the newest strike.
STRIKE_RETENTION_MS = 24 * 60 * 60 * 1000

StrikeKey = tuple[str, str, str, int]


class StrikeBook:
    """Holds strikes in the order they came, each one once."""

    def __init__(self) -> None:
        self._strikes: OrderedDict[StrikeKey, Strike] = OrderedDict()

    def add(self, strikes: tuple[Strike, ...]) -> int:
        """Take strikes over; return how many are new."""
        added = 0
        for strike in strikes:
            key = _name_strike(strike)
            if key not in self._strikes:
                self._strikes[key] = strike
                added += 1
        newest_ms = max((strike.at_ms for strike in strikes), default=0)
        while self._strikes:
            oldest = next(iter(self._strikes.values()))
            too_old = newest_ms - oldest.at_ms > STRIKE_RETENTION_MS
            if not too_old and len(self._strikes) <= MAX_STRIKES:
                break
            del self._strikes[_name_strike(oldest)]
        return added

    def release(self, workspace: str, request_hash: str) -> int:
        """Forget the strikes of a request; return how many there were."""
        keys = [
            key
            for key, strike in self._strikes.items()
            if (strike.workspace, strike.request_hash) == (workspace, request_hash)
        ]
        for key in keys:
            del self._strikes[key]
        return len(keys)

    def list_all(self) -> tuple[Strike, ...]:
        """Return every strike, oldest first."""
        return tuple(self._strikes.values())

    def restore(self, strikes: tuple[Strike, ...]) -> None:
        """Take over the strikes of a snapshot."""
        self._strikes = OrderedDict((_name_strike(s), s) for s in strikes)


def _name_strike(strike: Strike) -> StrikeKey:
    return (strike.workspace, strike.request_hash, strike.server_id, strike.boot)
