"""Counts what a server refuses, and logs when it sheds load."""

import logging
from collections import Counter
from typing import Final

#: Reasons that clients or connections are too many or too slow. The others
#: are faults of single requests.
SHEDDING_REASONS: Final = frozenset(
    (
        "no_room",
        "memory",
        "request_timeout",
        "stalled_reader",
        "too_many_connections",
        "evicted",
    )
)
#: Seconds without shedding after which it has ended.
QUIET_S: Final = 10.0
#: Addresses that are counted in one period of shedding. Those that come later
#: are counted together, so that many addresses take no memory.
MAX_PEERS: Final = 1_000
#: Addresses that the log names, those that were refused most often.
NAMED_PEERS: Final = 3
OTHER_PEERS: Final = "others"

logger = logging.getLogger(__name__)


class RefusalRecorder:
    """Counts refusals and closed connections of one server by reason.

    A crowd of clients causes two log lines: when shedding begins, and when it
    has ended.

    Example:
        ``recorder.record("no_room", peer, now)`` at each refusal, and
        ``recorder.check(now)`` each second.
    """

    def __init__(self) -> None:
        #: Number of refusals since the start, by reason.
        self.counts: Counter[str] = Counter()
        #: The server's port, for the log.
        self.port = 0
        self._period: Counter[str] = Counter()
        self._peers: Counter[str] = Counter()
        self._began_at = 0.0
        self._last_at = 0.0

    @property
    def is_shedding(self) -> bool:
        """Whether load was shed within the last seconds."""
        return bool(self._period)

    def record(self, reason: str, peer: str, now: float) -> None:
        """Count a refusal or a closed connection."""
        self.counts[reason] += 1
        if reason not in SHEDDING_REASONS:
            return
        if not self._period:
            self._began_at = now
            extra = {"port": self.port, "reason": reason, "peer": peer}
            logger.warning("shedding of clients began", extra=extra)
        self._last_at = now
        self._period[reason] += 1
        is_counted = peer in self._peers or len(self._peers) < MAX_PEERS
        self._peers[peer if is_counted else OTHER_PEERS] += 1

    def check(self, now: float) -> None:
        """Log the end of shedding once there was none for a while."""
        if not self._period or now - self._last_at < QUIET_S:
            return
        extra = {
            "port": self.port,
            "duration_s": round(self._last_at - self._began_at, 1),
            "reasons": dict(self._period),
            "peers": dict(self._peers.most_common(NAMED_PEERS)),
        }
        logger.warning("shedding of clients ended", extra=extra)
        self._period.clear()
        self._peers.clear()
