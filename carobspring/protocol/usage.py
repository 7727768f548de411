"""Messages about the usage that entries have counted."""

from dataclasses import dataclass

from carobspring.protocol.soft_state import SoftState


@dataclass(frozen=True, kw_only=True)
class WindowUsage:
    """Requests by workspace that began to run in one window."""

    #: Number of the window since 1970.
    window: int
    counts: dict[str, int]


@dataclass(frozen=True, kw_only=True)
class EntryUsage(SoftState):
    """What one start of an entry has counted, as cumulative counts.

    Times are of the wall clock, in ms. The message holds every window that
    changed from ``since_ms`` to ``complete_ms``. A receiver that has missed
    something before ``since_ms`` needs a message with everything, where
    ``since_ms`` is zero.
    """

    entry_id: str
    #: When the entry started.
    boot_ms: int
    since_ms: int
    complete_ms: int
    windows: tuple[WindowUsage, ...] = ()
