"""Usage by workspace and window: counting, collection and reporting.

The package does no input or output. Entries count, control replicas collect,
and the holder of the duty closes windows through the replicated log.
"""

from carobspring.metering.collection import UsageCollection
from carobspring.metering.counter import WindowCounter
from carobspring.metering.ledger import (
    ClosingResult,
    UsageClosing,
    UsageLedger,
    UsageSnapshot,
)
from carobspring.metering.reporting import DueWindow, UsageReporter

__all__ = [
    "ClosingResult",
    "DueWindow",
    "UsageClosing",
    "UsageCollection",
    "UsageLedger",
    "UsageReporter",
    "UsageSnapshot",
    "WindowCounter",
]
