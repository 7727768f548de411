"""What backend servers announced about the requests that they want."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Final

from carobspring.domain import BackendServer
from carobspring.membership import ServerRun

#: Server starts whose notices are kept; the oldest are evicted first.
MAX_NOTICES: Final = 5_000
#: Share of a rest by which entries return later than it ends, at random, and
#: the most of it in seconds. A server then gets its load back by degrees.
RETURN_SPREAD: Final = 0.1
MAX_RETURN_SPREAD_S: Final = 1.0
#: Unanswered requests at a server that has just returned. Each answer doubles
#: them, up to the number from which they are not bounded any more.
FIRST_RETURNING: Final = 1
MAX_RETURNING: Final = 32
#: Seconds after a rest from which they are not bounded in any case.
MAX_RETURN_S: Final = 2.0


class NoticeChange(str, Enum):
    """How an announcement changed what is sent to a server.

    The values are fields of the log.
    """

    #: It gets no requests for a while, and before it did.
    RESTS = "rests"
    #: It gets no requests any more.
    LEAVES = "leaves"
    #: It asked for a rest that is no length of time; only reported once.
    INVALID_REST = "invalid_rest"


@dataclass(kw_only=True)
class ServerNotice:
    """What one start of a server announced to this entry."""

    #: True once it said that it leaves. Nothing takes that back.
    is_leaving: bool = False
    #: Monotonic time before which it wants no requests.
    rest_until: float = float("-inf")
    #: Unanswered requests that it may have while it returns, or None.
    returning_limit: int | None = None
    #: True from the beginning of a rest until the first request after it.
    is_set_aside: bool = False
    was_invalid: bool = False

    def find_returning_limit(self, now: float) -> int | None:
        """Return how many unanswered requests it may have, or None."""
        if now >= self.rest_until + MAX_RETURN_S:
            self.returning_limit = None
        return self.returning_limit

    def take_return(self, now: float) -> bool:
        """Return whether a rest has ended, once."""
        has_returned = self.is_set_aside and not self.is_resting(now)
        self.is_set_aside &= not has_returned
        return has_returned

    def is_resting(self, now: float) -> bool:
        """Return whether it wants no requests now."""
        return now < self.rest_until

    def record_answer(self) -> None:
        """Let it have more requests after one that it answered."""
        if self.returning_limit is not None:
            self.returning_limit *= 2
            if self.returning_limit > MAX_RETURNING:
                self.returning_limit = None


class ServerNotices:
    """Keeps the notices of each server start, also while it isn't listed."""

    def __init__(self, *, max_rest_s: float) -> None:
        self._max_rest_s = max_rest_s
        self._notices: OrderedDict[ServerRun, ServerNotice] = OrderedDict()

    def find(self, server: BackendServer) -> ServerNotice:
        """Return the notice of a server's start, an empty one at first."""
        key = (server.server_id, server.boot)
        notice = self._notices.setdefault(key, ServerNotice())
        self._notices.move_to_end(key)
        while len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)
        return notice

    def record_leaving(self, server: BackendServer) -> NoticeChange | None:
        """Record that a server leaves; return whether that is new."""
        notice = self.find(server)
        if notice.is_leaving:
            return None
        notice.is_leaving = True
        return NoticeChange.LEAVES

    def record_rest(
        self, server: BackendServer, rest_s: float | None, now: float, point: float
    ) -> NoticeChange | None:
        """Record that a server wants no requests for some seconds.

        ``rest_s`` is None if it asked for what is no number. ``point`` is a
        random number in [0, 1), by which this entry returns later than others.
        """
        notice = self.find(server)
        if rest_s is None or rest_s < 0:
            is_new = not notice.was_invalid
            notice.was_invalid = True
            return NoticeChange.INVALID_REST if is_new else None
        rest_s = min(rest_s, self._max_rest_s)
        spread_s = point * min(MAX_RETURN_SPREAD_S, RETURN_SPREAD * rest_s)
        notice.rest_until = max(notice.rest_until, now + rest_s + spread_s)
        notice.returning_limit = FIRST_RETURNING
        if notice.is_set_aside:
            return None
        notice.is_set_aside = True
        return NoticeChange.RESTS
