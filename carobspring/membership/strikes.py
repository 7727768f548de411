"""Strikes that entries report, as soft state of replicas and entries."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from carobspring.protocol import Strike

#: Workspace and hash of a request, which stay the same when it is sent again.
RequestKey = tuple[str, str]
#: Identifier and boot of a backend server.
ServerRun = tuple[str, int]

#: Number of requests whose strikes are kept, and of released strikes. The
#: requests that were struck least recently are evicted first.
MAX_REQUESTS: Final = 10_000
#: Strikes from which a request is held back everywhere: with one, any other
#: request that ran on the server may have crashed it.
HELD_STRIKES: Final = 2


class StrikeSet:
    """Strikes by request, at most one for each run of a backend server.

    Several entries may report the same crash, in any order and repeatedly. A
    released strike is not added again, so that sets that exchange all their
    strikes become equal.

    Example:
        ``strikes.add(report.strikes)``, then ``strikes.count(key)``.
    """

    def __init__(self) -> None:
        self._strikes: OrderedDict[RequestKey, dict[ServerRun, Strike]] = OrderedDict()
        self._released: OrderedDict[tuple[RequestKey, ServerRun], Strike] = (
            OrderedDict()
        )

    @property
    def is_empty(self) -> bool:
        """Whether no request has a strike."""
        return not self._strikes

    def add(self, strikes: Iterable[Strike]) -> tuple[Strike, ...]:
        """Add strikes and return those that are new."""
        added = []
        for strike in strikes:
            key, server_run = build_request_key(strike), build_server_run(strike)
            known = self._strikes.get(key, {})
            if server_run in known or (key, server_run) in self._released:
                continue
            known[server_run] = strike
            self._strikes[key] = known
            self._strikes.move_to_end(key)
            added.append(strike)
        while len(self._strikes) > MAX_REQUESTS:
            self._strikes.popitem(last=False)
        return tuple(added)

    def release(self, strikes: Iterable[Strike]) -> tuple[Strike, ...]:
        """Remove strikes for good and return those that are newly released."""
        released = []
        for strike in strikes:
            key, server_run = build_request_key(strike), build_server_run(strike)
            if (key, server_run) in self._released:
                continue
            self._released[key, server_run] = strike
            released.append(strike)
            known = self._strikes.get(key, {})
            known.pop(server_run, None)
            if not known:
                self._strikes.pop(key, None)
        while len(self._released) > MAX_REQUESTS:
            self._released.popitem(last=False)
        return tuple(released)

    def count(self, key: RequestKey) -> int:
        """Return the number of server runs that ended under a request."""
        return len(self._strikes.get(key, ()))

    def find(self, key: RequestKey) -> tuple[Strike, ...]:
        """Return the strikes of a request."""
        return tuple(self._strikes.get(key, {}).values())

    def list_strikes(self, *, min_count: int = 1) -> tuple[Strike, ...]:
        """Return the strikes of all requests that have that many."""
        return tuple(
            strike
            for strikes in self._strikes.values()
            if len(strikes) >= min_count
            for strike in strikes.values()
        )

    def list_released(self) -> tuple[Strike, ...]:
        """Return every strike that was released."""
        return tuple(self._released.values())


def build_request_key(strike: Strike) -> RequestKey:
    """Return the request that a strike marks."""
    return strike.workspace, strike.request_hash


def build_server_run(strike: Strike) -> ServerRun:
    """Return the server run that ended."""
    return strike.server_id, strike.boot
