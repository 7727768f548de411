"""The replicated record of which counts were reported for which window."""

from dataclasses import dataclass
from typing import Final

from carobspring.protocol import WindowUsage

#: Windows that are kept: over five minutes of windows of 5 s.
MAX_WINDOWS: Final = 64


@dataclass(frozen=True, kw_only=True)
class UsageClosing:
    """A command that fixes the counts of a window, if there is one.

    ``delivered`` names earlier windows that the provider has accepted since.
    """

    usage: WindowUsage | None = None
    delivered: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True)
class UsageSnapshot:
    """The state of the ledger."""

    windows: tuple[WindowUsage, ...] = ()
    delivered: tuple[int, ...] = ()
    #: Newest window that is no longer kept; none up to it is accepted.
    low_watermark: int = -1


@dataclass(frozen=True, kw_only=True)
class ClosingResult:
    """The final counts of a window; None if it is too old to be closed."""

    usage: WindowUsage | None = None


class UsageLedger:
    """Keeps the first counts that were committed for each window.

    The provider must never get two different reports of one window, so later
    commands for it change nothing.
    """

    def __init__(self) -> None:
        self.windows: dict[int, WindowUsage] = {}
        self.delivered: set[int] = set()
        self.low_watermark = -1

    def apply(self, closing: UsageClosing) -> ClosingResult:
        """Fix the counts of a window, unless they are fixed already."""
        self.delivered.update(self.windows.keys() & set(closing.delivered))
        usage = closing.usage
        if usage is None or usage.window <= self.low_watermark:
            return ClosingResult()
        final = self.windows.setdefault(usage.window, usage)
        while len(self.windows) > MAX_WINDOWS:
            oldest = min(self.windows)
            del self.windows[oldest]
            self.delivered.discard(oldest)
            self.low_watermark = max(self.low_watermark, oldest)
        return ClosingResult(usage=final)

    def is_closable(self, window: int) -> bool:
        """Return whether a window has no final counts and can get some."""
        return window > self.low_watermark and window not in self.windows

    def take_snapshot(self) -> UsageSnapshot:
        """Return the complete state."""
        return UsageSnapshot(
            windows=tuple(self.windows[each] for each in sorted(self.windows)),
            delivered=tuple(sorted(self.delivered)),
            low_watermark=self.low_watermark,
        )

    def restore(self, snapshot: UsageSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.windows = {each.window: each for each in snapshot.windows}
        self.delivered = set(snapshot.delivered)
        self.low_watermark = snapshot.low_watermark
