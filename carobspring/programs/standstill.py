"""Tells when the whole process stood still, as in a freeze of its instance."""

import asyncio
import logging
import time
from typing import Final

LOOK_INTERVAL_S: Final = 0.5
#: Seconds beyond the interval that are no delay of a busy loop any more.
STANDSTILL_S: Final = 1.0

logger = logging.getLogger(__name__)


class StandstillWatch:
    """Compares looks at the clock that also runs while an instance stands.

    Without this line a freeze shows only by what other processes log.
    """

    def __init__(self) -> None:
        self._last: float | None = None

    def look(self, now: float) -> float:
        """Take the time of a look; return the seconds stood still, or 0."""
        before, self._last = self._last, now
        if before is None:
            return 0.0
        stood_s = now - before - LOOK_INTERVAL_S
        if stood_s < STANDSTILL_S:
            return 0.0
        logger.warning("process stood still", extra={"seconds": round(stood_s, 3)})
        return stood_s

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            self.look(time.clock_gettime(time.CLOCK_BOOTTIME))
            await asyncio.sleep(LOOK_INTERVAL_S)
