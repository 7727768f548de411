"""Quarantine of requests that ran when a backend server crashed."""

from collections import OrderedDict
from collections.abc import Iterable

from carobspring.protocol import Strike

#: Number of requests whose strikes are kept, and of those that were cleared.
MAX_REQUESTS = 10_000
#: Number of strikes at which a request is refused.
QUARANTINE_STRIKES = 2


class Quarantine:
    """Counts strikes by workspace and request hash.

    A request with one strike runs while no other call does. If it then
    succeeds, another request crashed the server, and its strikes up to that
    time are cleared. Control may still send cleared strikes; they are
    ignored.
    """

    def __init__(self) -> None:
        self._strikes: OrderedDict[tuple[str, str], set[Strike]] = OrderedDict()
        #: Wall time in milliseconds up to which strikes are ignored.
        self._cleared: OrderedDict[tuple[str, str], int] = OrderedDict()

    def add(self, strikes: Iterable[Strike]) -> None:
        """Add strikes, whether of this agent or received from control."""
        for strike in strikes:
            key = (strike.workspace, strike.request_hash)
            if not strike.request_hash or strike.at_ms <= self._cleared.get(key, -1):
                continue
            self._strikes.setdefault(key, set()).add(strike)
            self._strikes.move_to_end(key)
        while len(self._strikes) > MAX_REQUESTS:
            self._strikes.popitem(last=False)

    def count(self, workspace: str, request_hash: str) -> int:
        """Return the number of strikes of a request."""
        return len(self._strikes.get((workspace, request_hash), ()))

    def release(self, strikes: Iterable[Strike]) -> None:
        """Remove strikes that an operator released."""
        for strike in strikes:
            key = (strike.workspace, strike.request_hash)
            remaining = self._strikes.get(key, set()) - {strike}
            if remaining:
                self._strikes[key] = remaining
            else:
                self._strikes.pop(key, None)

    def clear(self, workspace: str, request_hash: str, at_ms: int) -> None:
        """Clear the strikes of a request that ran alone and succeeded."""
        key = (workspace, request_hash)
        if self._strikes.pop(key, None) is not None:
            self._cleared[key] = at_ms
            self._cleared.move_to_end(key)
        while len(self._cleared) > MAX_REQUESTS:
            self._cleared.popitem(last=False)
