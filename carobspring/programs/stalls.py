"""Detects stalls of the process, such as a freeze of its instance."""

import asyncio
import logging
import time
from typing import Final

CHECK_INTERVAL_S: Final = 0.5
#: Seconds beyond the interval; shorter delays may come from a busy loop.
STALL_THRESHOLD_S: Final = 1.0

logger = logging.getLogger(__name__)


class StallDetector:
    """Detects stalls by a clock that also runs while an instance is frozen.

    Without its log line, a freeze shows only in the logs of other processes.
    """

    def __init__(self) -> None:
        self._last_check_at: float | None = None

    def check(self, now: float) -> float:
        """Return how many seconds the process stalled before now, or 0."""
        last_check_at, self._last_check_at = self._last_check_at, now
        if last_check_at is None:
            return 0.0
        stalled_s = now - last_check_at - CHECK_INTERVAL_S
        if stalled_s < STALL_THRESHOLD_S:
            return 0.0
        logger.warning("process stalled", extra={"seconds": round(stalled_s, 3)})
        return stalled_s

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        while True:
            self.check(time.clock_gettime(time.CLOCK_BOOTTIME))
            await asyncio.sleep(CHECK_INTERVAL_S)
