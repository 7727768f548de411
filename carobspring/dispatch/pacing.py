"""One entry's part of a server's rate limit while no host grants permits."""

import math
from typing import Final

from carobspring.ports import RandomSource

#: Seconds for which a part that is not used can be used later.
UNUSED_PART_S: Final = 2.0


class LocalPace:
    """Paces one entry's requests to a limited server by an equal part.

    The parts of different entries begin at random times, and one that is not
    used soon is lost, so that many entries do not use theirs in the same
    moment.

    Example:
        ``wait_s = pace.take(1.8, 70, now)``; the request may be sent if that
        is zero.
    """

    def __init__(self, *, random: RandomSource) -> None:
        self._random = random
        self._interval_s = 0.0
        self._next_at = 0.0

    def take(self, rate_per_s: float, entry_count: int, now: float) -> float:
        """Take a part if there is one, else return the seconds until then."""
        interval_s = entry_count / rate_per_s
        if interval_s != self._interval_s:
            self._interval_s = interval_s
            self._next_at = now + interval_s * self._random.draw_uniform()
        unused_s = now - self._next_at - min(UNUSED_PART_S, interval_s)
        if unused_s > 0:
            self._next_at += math.ceil(unused_s / interval_s) * interval_s
        if now < self._next_at:
            return self._next_at - now
        self._next_at = max(self._next_at, now - interval_s) + interval_s
        return 0.0
