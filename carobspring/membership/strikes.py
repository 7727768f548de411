"""Strikes that entries report, as soft state of replicas and entries."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from carobspring.protocol import Strike

#: What may have crashed a server: a request, by its workspace and hash, which
#: stay the same when it is sent again; or a part of prompts, by
#: ``build_part_key``.
CauseKey = tuple[str, str]
#: Identifier and boot of a backend server.
ServerRun = tuple[str, int]

#: Prefix of a part's identifier; the hash of a request has none.
PART_PREFIX: Final = "part:"
#: Characters of a part's identifier that are kept; a longer one is hashed.
MAX_PART_ID_LENGTH: Final = 32

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
        self._strikes: OrderedDict[CauseKey, dict[ServerRun, Strike]] = OrderedDict()
        self._released: OrderedDict[tuple[CauseKey, ServerRun], Strike] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no request has a strike."""
        return not self._strikes

    def add(self, strikes: Iterable[Strike]) -> tuple[Strike, ...]:
        """Add strikes and return those that are new."""
        added = []
        for strike in strikes:
            key, server_run = build_cause_key(strike), build_server_run(strike)
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
            key, server_run = build_cause_key(strike), build_server_run(strike)
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

    def count(self, key: CauseKey) -> int:
        """Return the number of server runs that ended under a request."""
        return len(self._strikes.get(key, ()))

    def list_server_runs(self, key: CauseKey) -> frozenset[ServerRun]:
        """Return the server runs that ended under a request or part."""
        return frozenset(self._strikes.get(key, ()))

    def find(self, key: CauseKey) -> tuple[Strike, ...]:
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


def build_part_key(part_id: str) -> CauseKey:
    """Return the key of a part of prompts.

    It holds for all workspaces and services, since a part has the same
    identifier wherever it has the same content.
    """
    name = part_id.strip().lower()
    if len(name) > MAX_PART_ID_LENGTH:
        name = hashlib.blake2b(name.encode(), digest_size=16).hexdigest()
    return "", PART_PREFIX + name


def is_part_key(key: CauseKey) -> bool:
    """Return whether a key is that of a part of prompts."""
    return key[1].startswith(PART_PREFIX)


def build_cause_key(strike: Strike) -> CauseKey:
    """Return the request or part that a strike marks."""
    return strike.workspace, strike.request_hash


def build_server_run(strike: Strike) -> ServerRun:
    """Return the server run that ended."""
    return strike.server_id, strike.boot
