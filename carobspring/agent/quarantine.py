"""Requests that were running when a backend server crashed."""

from collections import OrderedDict
from collections.abc import Iterable

from carobspring.protocol import Strike

MAX_REQUESTS = 10_000
#: Strikes at which a request is refused.
QUARANTINE_STRIKES = 2


class Quarantine:
    """Counts strikes by workspace and request hash.

    A request with one strike runs alone. When it then ends well it was only
    a neighbour of the one that crashed the server, and its strikes up to that
    time are void; they may still come back from control and count no more.
    """

    def __init__(self) -> None:
        self._strikes: OrderedDict[tuple[str, str], set[Strike]] = OrderedDict()
        self._cleared: OrderedDict[tuple[str, str], int] = OrderedDict()

    def add(self, strikes: Iterable[Strike]) -> None:
        """Take in strikes, own ones and those that control sent."""
        for strike in strikes:
            key = (strike.workspace, strike.request_hash)
            if not strike.request_hash or strike.at_ms <= self._cleared.get(key, -1):
                continue
            self._strikes.setdefault(key, set()).add(strike)
            self._strikes.move_to_end(key)
        while len(self._strikes) > MAX_REQUESTS:
            self._strikes.popitem(last=False)

    def count(self, workspace: str, request_hash: str) -> int:
        """Return the strikes of a request."""
        return len(self._strikes.get((workspace, request_hash), ()))

    def release(self, strikes: Iterable[Strike]) -> None:
        """Forget strikes that an operator released."""
        for strike in strikes:
            key = (strike.workspace, strike.request_hash)
            left = self._strikes.get(key, set()) - {strike}
            if left:
                self._strikes[key] = left
            else:
                self._strikes.pop(key, None)

    def clear(self, workspace: str, request_hash: str, at_ms: int) -> None:
        """Void the strikes of a request that ran alone and ended well."""
        key = (workspace, request_hash)
        if self._strikes.pop(key, None) is not None:
            self._cleared[key] = at_ms
            self._cleared.move_to_end(key)
        while len(self._cleared) > MAX_REQUESTS:
            self._cleared.popitem(last=False)
