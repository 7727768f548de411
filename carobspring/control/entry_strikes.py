"""Strikes that entries report, and those that all entries must know."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from carobspring.membership import (
    HELD_STRIKES,
    MAX_REQUESTS,
    CauseKey,
    StrikeSet,
    build_cause_key,
)
from carobspring.protocol import Strike

#: Changes that are kept for streams that have not been sent them.
MAX_CHANGES: Final = 1_000


@dataclass(frozen=True, kw_only=True)
class StrikeChange:
    """Strikes that entries must hold back for, and no longer."""

    number: int
    strikes: tuple[Strike, ...] = ()
    released: tuple[Strike, ...] = ()


class EntryStrikes:
    """Merges strikes of entries and keeps what has changed for each stream.

    Entries are told only of requests and parts of prompts that may have to be
    held back: of the many that run on a server when it crashes, most never do
    so again. Once they are told of one, they hear of each strike and release.

    Example:
        ``strikes.merge(report.strikes, report.released)``, then
        ``strikes.list_changes(since)`` for each stream.
    """

    def __init__(self) -> None:
        self._strikes = StrikeSet()
        #: The requests and parts that entries are told of.
        self._told: dict[CauseKey, None] = {}
        self._changes: deque[StrikeChange] = deque(maxlen=MAX_CHANGES)
        #: Number of the last change.
        self.change_number = 0

    def merge(self, strikes: Iterable[Strike], released: Iterable[Strike]) -> bool:
        """Merge strikes and their release; return whether any are new."""
        gone = self._strikes.release(released)
        added = self._strikes.add(strikes)
        if not added and not gone:
            return False
        new = tuple(
            strike
            for key in self._list_keys(added)
            for strike in self._tell(key, added)
        )
        ended = tuple(each for each in gone if build_cause_key(each) in self._told)
        for key in self._list_keys(gone):
            if not self._strikes.count(key):
                self._told.pop(key, None)
        while len(self._told) > MAX_REQUESTS:
            del self._told[next(iter(self._told))]
        if new or ended:
            self.change_number += 1
            self._changes.append(
                StrikeChange(number=self.change_number, strikes=new, released=ended)
            )
        return True

    def list_held(self) -> tuple[Strike, ...]:
        """Return all strikes that entries must know."""
        return tuple(each for key in self._told for each in self._strikes.find(key))

    def list_changes(self, since: int) -> Iterable[StrikeChange]:
        """Return what a stream must be sent that has all up to a number."""
        if since == self.change_number:
            return ()
        is_kept = bool(self._changes) and self._changes[0].number <= since + 1
        if since == 0 or not is_kept:
            return (
                StrikeChange(
                    number=self.change_number,
                    strikes=self.list_held(),
                    released=self._strikes.list_released() if since else (),
                ),
            )
        return tuple(each for each in self._changes if each.number > since)

    def list_strikes(self) -> tuple[Strike, ...]:
        """Return every strike."""
        return self._strikes.list_strikes()

    def list_released(self) -> tuple[Strike, ...]:
        """Return every strike that was released."""
        return self._strikes.list_released()

    def _tell(self, key: CauseKey, added: Iterable[Strike]) -> Iterable[Strike]:
        """Return the strikes of a cause that entries must hear of."""
        if key in self._told:
            return [strike for strike in added if build_cause_key(strike) == key]
        if self._strikes.count(key) < HELD_STRIKES:
            return ()
        self._told[key] = None
        return self._strikes.find(key)

    def _list_keys(self, strikes: Iterable[Strike]) -> Iterable[CauseKey]:
        return dict.fromkeys(build_cause_key(strike) for strike in strikes)
