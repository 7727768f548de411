"""Decides when the usage of a window is closed, and which report is sent."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from carobspring.metering.collection import UsageCollection
from carobspring.metering.ledger import UsageClosing, UsageLedger
from carobspring.protocol import WindowUsage

#: Share of the delay after which a window is closed without the entries that
#: have not reported: the rest is for a change of the holder and for retries.
CLOSING_SHARE: Final = 0.6
#: Delays after which a window that could not be reported is given up.
ABANDON_DELAYS: Final = 3.0


@dataclass(frozen=True, kw_only=True)
class DueWindow:
    """A window to close now, or only deliveries to commit."""

    closing: UsageClosing
    #: Entries whose counts may be missing.
    incomplete: tuple[str, ...] = ()


class UsageReporter:
    """The decisions of the holder of the metering duty.

    It answers two loads: entries that report late or no more, and a provider
    that was away, so that several windows are owed.

    Example:
        What ``reporter.find_due(collection, ledger, entries, now_ms)`` returns
        is committed, and ``reporter.find_unsent(ledger, now_ms)`` is sent.
    """

    def __init__(self, *, window_s: float, delay_s: float) -> None:
        self._window_ms = round(window_s * 1000)
        self._delay_ms = delay_s * 1000
        #: Windows that the provider accepted from this process, until that is
        #: committed with the next closing.
        self._accepted: set[int] = set()
        #: Windows that the provider refused for another reason than its load.
        self._refused: set[int] = set()
        self._abandoned: set[int] = set()

    def compute_end_ms(self, window: int) -> int:
        """Return the time at which a window ends."""
        return (window + 1) * self._window_ms

    def find_due(
        self,
        collection: UsageCollection,
        ledger: UsageLedger,
        entries: Collection[str],
        now_ms: int,
    ) -> DueWindow | None:
        """Return the oldest window that can be closed now, if any.

        It waits until every known entry has told its counts, but not so long
        that the report would be late. Deliveries are committed alone if no
        closing follows them, as at the end of all traffic.
        """
        self._accepted &= ledger.windows.keys() - ledger.delivered
        delivered = tuple(sorted(self._accepted))
        for window in collection.list_windows():
            end_ms = self.compute_end_ms(window)
            if end_ms > now_ms:
                break
            if not ledger.is_closable(window) or self._is_abandoned(window, now_ms):
                continue
            incomplete = collection.list_incomplete(entries, end_ms)
            if incomplete and now_ms < end_ms + self._delay_ms * CLOSING_SHARE:
                break
            closing = UsageClosing(
                usage=collection.sum_window(window), delivered=delivered
            )
            return DueWindow(closing=closing, incomplete=tuple(incomplete))
        if delivered and now_ms > self.compute_end_ms(delivered[0]) + self._delay_ms:
            return DueWindow(closing=UsageClosing(delivered=delivered))
        return None

    def find_unsent(self, ledger: UsageLedger, now_ms: int) -> WindowUsage | None:
        """Return the oldest final counts that were not accepted yet.

        Those that the provider refused come last, so that they do not make
        the others late.
        """
        self._refused &= ledger.windows.keys()
        unsent = [
            window
            for window in ledger.windows.keys() - ledger.delivered - self._accepted
            if not self._is_abandoned(window, now_ms)
        ]
        if not unsent:
            return None
        first = min(unsent, key=lambda window: (window in self._refused, window))
        return ledger.windows[first]

    def record_accepted(self, window: int, now_ms: int) -> bool:
        """Record that the provider took a report; return whether in time."""
        self._accepted.add(window)
        return now_ms <= self.compute_end_ms(window) + self._delay_ms

    def record_refused(self, window: int) -> None:
        """Record that the provider does not want a report as it is."""
        self._refused.add(window)

    def take_abandoned(
        self, collection: UsageCollection, ledger: UsageLedger, now_ms: int
    ) -> list[int]:
        """Return the windows that were given up since the last call."""
        closable = filter(ledger.is_closable, collection.list_windows())
        unsent = ledger.windows.keys() - ledger.delivered - self._accepted
        abandoned = {
            window
            for window in (*closable, *unsent)
            if self._is_abandoned(window, now_ms)
        }
        new = sorted(abandoned - self._abandoned)
        self._abandoned = abandoned
        return new

    def _is_abandoned(self, window: int, now_ms: int) -> bool:
        late_ms = now_ms - self.compute_end_ms(window)
        return late_ms > self._delay_ms * ABANDON_DELAYS
