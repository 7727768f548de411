"""How long work takes on a backend server's host now, relative to usual."""

import math

from carobspring.dispatch.limits import DispatchLimits


class SmoothedSlowdown:
    """Smooths the slowdown that the responses of one server report.

    A reported figure counts by the time since it came, not by the number of
    responses: many responses of one moment weigh as much as one. The first
    figure after none is used as it is.

    Example:
        ``slowdown.record(2.5, now)`` for each response, and
        ``slowdown.estimate(now)`` when a request is placed.
    """

    def __init__(self, *, limits: DispatchLimits) -> None:
        self._limits = limits
        #: The estimate when the last figure came.
        self._estimate_at_report = 1.0
        self._reported = 1.0
        self._reported_at = float("-inf")

    def record(self, slowdown: float, now: float) -> None:
        """Record a reported figure; 1.0 is usual."""
        limits = self._limits
        bounded = min(limits.max_slowdown, max(limits.min_slowdown, slowdown))
        self._estimate_at_report = (
            self.estimate(now) if self._is_known(now) else bounded
        )
        self._reported = bounded
        self._reported_at = now

    def estimate(self, now: float) -> float:
        """Return the smoothed figure, or 1.0 without recent reports."""
        if not self._is_known(now):
            return 1.0
        age_s = max(0.0, now - self._reported_at)
        old_share = math.exp(-age_s / self._limits.slowdown_smoothing_s)
        return self._reported + old_share * (self._estimate_at_report - self._reported)

    def _is_known(self, now: float) -> bool:
        return now - self._reported_at <= self._limits.max_load_age_s
