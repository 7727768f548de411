"""Tells when the whole process stood still, as in a freeze of its instance."""

import asyncio
import logging
import time
from typing import Final

CHECK_INTERVAL_S: Final = 0.5
#: Seconds beyond the interval that are no delay of a busy loop any more.
STALL_THRESHOLD_S: Final = 1.0

logger = logging.getLogger(__name__)


class StallDetector:
    """Compares looks at the clock that also runs while an instance stands.

    Without this line a freeze shows only by what other processes log.
    """

    def __init__(self) -> None:
        self._last: float | None = None

    def check(self, now: float) -> float:
        """Take the time of a look; return the seconds stood still, or 0."""
        before, self._last = self._last, now
        if before is None:
            return 0.0
        stood_s = now - before - CHECK_INTERVAL_S
        if stood_s < STALL_THRESHOLD_S:
            return 0.0
        logger.warning("process stood still", extra={"seconds": round(stood_s, 3)})
        return stood_s

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            self.check(time.clock_gettime(time.CLOCK_BOOTTIME))
            await asyncio.sleep(CHECK_INTERVAL_S)
