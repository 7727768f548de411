"""Detects stalls of the process, such as a freeze of its instance."""

import asyncio
import logging
import time
from typing import Final

from carobspring.adapters.metrics import Metrics

CHECK_INTERVAL_S: Final = 0.5
#: Seconds beyond the interval; shorter delays may come from a busy loop.
STALL_THRESHOLD_S: Final = 1.0

logger = logging.getLogger(__name__)


def read_boot_time() -> float:
    """Return the seconds since the instance started, freezes included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StallDetector:
    """Detects stalls by a clock that also runs while an instance is frozen.

    Without its log line, a freeze shows only in the logs of other processes.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._delay_s = metrics.add_histogram(
            "carob_loop_delay_seconds",
            "Time that a periodic check waited for the event loop.",
        )
        self._last_check_at: float | None = None
        self._last_delay_s = 0.0

    def check(self, now: float) -> float:
        """Return how many seconds the process stalled before now, or 0."""
        last_check_at, self._last_check_at = self._last_check_at, now
        if last_check_at is None:
            return 0.0
        stalled_s = now - last_check_at - CHECK_INTERVAL_S
        self._last_delay_s = max(0.0, stalled_s)
        self._delay_s.observe({}, self._last_delay_s)
        if stalled_s < STALL_THRESHOLD_S:
            return 0.0
        logger.warning("process stalled", extra={"seconds": round(stalled_s, 3)})
        return stalled_s

    def measure_lateness(self, now: float) -> float:
        """Return for how long a signal handled now may have waited.

        It may be handled before the first check behind a stall, or after it.
        """
        if self._last_check_at is None:
            return 0.0
        since_check_s = now - self._last_check_at
        if since_check_s > CHECK_INTERVAL_S:
            return since_check_s - CHECK_INTERVAL_S
        return self._last_delay_s

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        while True:
            self.check(read_boot_time())
            await asyncio.sleep(CHECK_INTERVAL_S)
