"""What a control replica knows of the usage that entries have counted."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from carobspring.protocol import EntryUsage, WindowUsage

#: Time for which a window is kept.
RETENTION_MS: Final = 60_000
#: Starts of entries that are kept. More come only from faulty senders.
MAX_STARTS: Final = 4096
#: Largest count of a window that is taken. The sum of all starts must fit
#: into a signed integer of 64 bits, or the closing can't be encoded.
MAX_COUNT: Final = 2**40

#: An entry's name and the time of its start.
StartKey = tuple[str, int]


@dataclass(kw_only=True)
class _Start:
    """What is known of one start of an entry."""

    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    #: Time up to which nothing is missing.
    complete_ms: int = 0
    #: The same for what was passed on, and the windows that changed since.
    forwarded_ms: int = 0
    changed: set[int] = field(default_factory=set)


class UsageCollection:
    """Collects cumulative counts of entries; larger counts replace smaller.

    A count that arrives twice, late or over several replicas changes nothing.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_ms = round(window_s * 1000)
        self._starts: dict[StartKey, _Start] = {}

    def merge(self, usage: EntryUsage) -> None:
        """Merge a message of an entry, or of another replica about one."""
        key = (usage.entry_id, usage.boot_ms)
        start = self._starts.get(key)
        if start is None:
            if len(self._starts) >= MAX_STARTS:
                return
            start = self._starts[key] = _Start()
        for each in usage.windows:
            known = start.windows.get(each.window, {})
            for workspace, count in each.counts.items():
                if known.get(workspace, 0) < count <= MAX_COUNT:
                    known[workspace] = count
                    start.windows[each.window] = known
                    start.changed.add(each.window)
        if usage.since_ms <= start.complete_ms:
            start.complete_ms = max(start.complete_ms, usage.complete_ms)

    def list_windows(self) -> list[int]:
        """Return the windows with any count, oldest first."""
        windows = {
            window for start in self._starts.values() for window in start.windows
        }
        return sorted(windows)

    def sum_window(self, window: int) -> WindowUsage:
        """Return the counts of all entries for a window."""
        sums: dict[str, int] = {}
        for start in self._starts.values():
            for workspace, count in start.windows.get(window, {}).items():
                sums[workspace] = sums.get(workspace, 0) + count
        return WindowUsage(window=window, counts=dict(sorted(sums.items())))

    def list_incomplete(self, entries: Iterable[str], until_ms: int) -> list[str]:
        """Return the entries whose counts are not known up to a time."""
        complete: dict[str, int] = {}
        for (entry_id, _), start in self._starts.items():
            complete[entry_id] = max(complete.get(entry_id, 0), start.complete_ms)
        return sorted(name for name in entries if complete.get(name, 0) < until_ms)

    def take_changes(self) -> tuple[EntryUsage, ...]:
        """Return what another replica was not told yet.

        A start without new counts is told only when a window has ended.
        """
        changes = []
        for (entry_id, boot_ms), start in self._starts.items():
            ended_before = start.forwarded_ms // self._window_ms
            has_ended = start.complete_ms // self._window_ms > ended_before
            if not start.changed and not has_ended:
                continue
            changes.append(
                EntryUsage(
                    entry_id=entry_id,
                    boot_ms=boot_ms,
                    since_ms=start.forwarded_ms,
                    complete_ms=start.complete_ms,
                    windows=tuple(
                        WindowUsage(window=window, counts=dict(start.windows[window]))
                        for window in sorted(start.changed)
                    ),
                )
            )
            start.forwarded_ms = start.complete_ms
            start.changed.clear()
        return tuple(changes)

    def forget_forwarded(self) -> None:
        """Let the next changes hold everything, for a receiver without it."""
        for start in self._starts.values():
            start.forwarded_ms = 0
            start.changed = set(start.windows)

    def expire(self, now_ms: int) -> None:
        """Remove old windows, and starts that have reported nothing since.

        Windows and times that are as far ahead come from a wrong clock, and
        would stay for good.
        """
        oldest_ms = now_ms - RETENTION_MS
        latest_ms = now_ms + RETENTION_MS
        kept = range(oldest_ms // self._window_ms, latest_ms // self._window_ms + 1)
        for key, start in list(self._starts.items()):
            for window in [each for each in start.windows if each not in kept]:
                del start.windows[window]
                start.changed.discard(window)
            if start.complete_ms > latest_ms:
                start.complete_ms = start.forwarded_ms = 0
            if not start.windows and start.complete_ms < oldest_ms:
                del self._starts[key]
