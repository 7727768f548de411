"""Counts of an entry: requests by window and workspace."""

from dataclasses import dataclass, field
from typing import Final

from carobspring.protocol import EntryUsage, WindowUsage

#: Time for which a closed window is kept, so that replicas that have lost
#: what they knew are told again.
RETENTION_MS: Final = 30_000


@dataclass(kw_only=True)
class _Window:
    """Counts of a window by workspace, and the number of the last change."""

    counts: dict[str, int] = field(default_factory=dict)
    change: int = 0


@dataclass(frozen=True, kw_only=True)
class _Told:
    """What the last report to a replica covered."""

    change: int = 0
    complete_ms: int = 0


class WindowCounter:
    """Counts requests that began to run, by window and workspace.

    Changes are numbered, so that the next report to a replica holds what the
    last one did not, after a freeze or a change of the time of day too.

    Example:
        ``counter.record("workspace-1", wall_ms)`` for each request, and
        ``counter.build_usage(replica, wall_ms)`` for each report to a replica.
    """

    def __init__(self, *, entry_id: str, boot_ms: int, window_s: float) -> None:
        self._entry_id = entry_id
        self._boot_ms = boot_ms
        self._window_ms = round(window_s * 1000)
        self._windows: dict[int, _Window] = {}
        self._change = 0
        self._told: dict[str, _Told] = {}

    def record(self, workspace: str, now_ms: int) -> None:
        """Count a request that has just begun to run."""
        number = now_ms // self._window_ms
        if number not in self._windows:
            self._drop_old(now_ms)
        window = self._windows.setdefault(number, _Window())
        window.counts[workspace] = window.counts.get(workspace, 0) + 1
        self._change += 1
        window.change = self._change

    def count_windows(self) -> int:
        """Return the number of windows that are kept."""
        return len(self._windows)

    def request_everything(self, replica: str) -> None:
        """Let the next report hold all windows, as a replica may know none."""
        self._told.pop(replica, None)

    def build_usage(self, replica: str, now_ms: int) -> EntryUsage:
        """Return the windows that changed since the last report to a replica.

        What is lost with a stream is made up for by the first report after
        ``request_everything`` on the next stream.
        """
        self._drop_old(now_ms)
        told = self._told.get(replica, _Told())
        if told.complete_ms > now_ms:
            # The time of day was set back: only a report of everything makes
            # the replica take this entry's counts for complete again.
            told = _Told()
        self._told[replica] = _Told(change=self._change, complete_ms=now_ms)
        return EntryUsage(
            entry_id=self._entry_id,
            boot_ms=self._boot_ms,
            since_ms=told.complete_ms,
            complete_ms=now_ms,
            windows=tuple(
                WindowUsage(window=number, counts=dict(window.counts))
                for number, window in self._windows.items()
                if window.change > told.change
            ),
        )

    def _drop_old(self, now_ms: int) -> None:
        first_kept = (now_ms - RETENTION_MS) // self._window_ms
        for number in [each for each in self._windows if each < first_kept]:
            del self._windows[number]
