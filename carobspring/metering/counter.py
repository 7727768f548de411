"""Counts of an entry: requests by window and workspace."""

from typing import Final

from carobspring.protocol import EntryUsage, WindowUsage

#: Time for which a closed window is kept, so that replicas that have lost
#: what they knew are told again.
RETENTION_MS: Final = 30_000
#: Reports of this time hold the same changes, so that one lost report loses
#: nothing. Entries report every second.
OVERLAP_MS: Final = 3_000


class WindowCounter:
    """Counts requests that began to run, by window and workspace.

    Example:
        ``counter.record("workspace-1", wall_ms)`` for each request, and
        ``counter.build_usage(wall_ms)`` for each report to a replica.
    """

    def __init__(self, *, entry_id: str, boot_ms: int, window_s: float) -> None:
        self._entry_id = entry_id
        self._boot_ms = boot_ms
        self._window_ms = round(window_s * 1000)
        self._windows: dict[int, dict[str, int]] = {}
        self._changed_at_ms: dict[int, int] = {}
        self._complete_until_ms = 0

    def record(self, workspace: str, now_ms: int) -> None:
        """Count a request that has just begun to run."""
        window = now_ms // self._window_ms
        counts = self._windows.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        self._changed_at_ms[window] = now_ms

    def request_everything(self, now_ms: int) -> None:
        """Report all windows for a while, as a replica may know none."""
        self._complete_until_ms = now_ms + OVERLAP_MS

    def build_usage(self, now_ms: int) -> EntryUsage:
        """Return the windows that changed lately, or all that are kept."""
        self._drop_old(now_ms)
        since_ms = 0 if now_ms < self._complete_until_ms else now_ms - OVERLAP_MS
        return EntryUsage(
            entry_id=self._entry_id,
            boot_ms=self._boot_ms,
            since_ms=since_ms,
            complete_ms=now_ms,
            windows=tuple(
                WindowUsage(window=window, counts=dict(counts))
                for window, counts in self._windows.items()
                if self._changed_at_ms[window] >= since_ms
            ),
        )

    def _drop_old(self, now_ms: int) -> None:
        first_kept = (now_ms - RETENTION_MS) // self._window_ms
        for window in [each for each in self._windows if each < first_kept]:
            del self._windows[window], self._changed_at_ms[window]
