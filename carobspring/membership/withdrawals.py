"""Which reports of backend servers are out of date, whether or not they came.

A report may arrive seconds after the server that sent it has left. A replica
that lists no such server can't tell the report from the first one of a new
server, so what was withdrawn is remembered by identifier, and not only with
the servers that are listed.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from carobspring.membership.gossip import WithdrawalGossip

#: Seconds for which a withdrawal is remembered. No report is on its way for
#: so long, even one that a partition holds up.
RETENTION_S: Final = 120.0
#: Withdrawals of servers that were listed, and of others, which anyone can
#: name. Neither takes the room of the other.
MAX_LISTED: Final = 5_000
MAX_UNLISTED: Final = 2_000


@dataclass(frozen=True, kw_only=True)
class _Withdrawal:
    boot: int
    sequence: int
    recorded_at: float
    #: View of the table in which peers get it.
    view: int
    is_listed: bool


class Withdrawals:
    """Remembers up to which report each server has been withdrawn.

    Reports are ordered by (boot, sequence). None is evicted to make room for
    another one: a withdrawal that was confirmed must hold.

    Example:
        ``withdrawals.record("i-1", 7, FINAL_SEQUENCE, now=now, view=3)`` when
        boot 7 of a server leaves; then ``withdrawals.covers("i-1", 7, 2)``.
    """

    def __init__(self) -> None:
        #: In the order of their views.
        self._withdrawals: OrderedDict[str, _Withdrawal] = OrderedDict()
        self._listed_count = 0
        #: Incremented with each change.
        self.change_count = 0

    def covers(self, server_id: str, boot: int, sequence: int) -> bool:
        """Return whether a report is from before a withdrawal."""
        known = self._withdrawals.get(server_id)
        return known is not None and (boot, sequence) < (known.boot, known.sequence)

    def find_view(self, server_id: str) -> int:
        """Return the view in which peers get a withdrawal, or zero."""
        known = self._withdrawals.get(server_id)
        return known.view if known is not None else 0

    def has_room(self, server_id: str, *, is_listed: bool) -> bool:
        """Return whether a withdrawal can be recorded."""
        if server_id in self._withdrawals:
            return True
        if is_listed:
            return self._listed_count < MAX_LISTED
        return len(self._withdrawals) - self._listed_count < MAX_UNLISTED

    def record(
        self,
        server_id: str,
        boot: int,
        sequence: int,
        *,
        now: float,
        view: int,
        is_listed: bool = False,
    ) -> bool:
        """Record a withdrawal; return whether it is the newest one.

        Args:
            server_id: The identifier of the server.
            boot: The last boot that is withdrawn.
            sequence: All earlier reports of this boot are withdrawn.
            now: Monotonic time at which it was received.
            view: View of the table in which peers get it.
            is_listed: Whether the server is known otherwise too.
        """
        if self.covers(server_id, boot, sequence):
            return False
        known = self._withdrawals.get(server_id)
        if known is not None:
            if (known.boot, known.sequence) == (boot, sequence):
                return False
            is_listed = known.is_listed
        if not self.has_room(server_id, is_listed=is_listed):
            return False
        self._forget(server_id)
        self._withdrawals[server_id] = _Withdrawal(
            boot=boot,
            sequence=sequence,
            recorded_at=now,
            view=view,
            is_listed=is_listed,
        )
        self._listed_count += is_listed
        self.change_count += 1
        return True

    def list_gossip(self, since: int, now: float) -> tuple[WithdrawalGossip, ...]:
        """Return what was recorded after a view, for another replica."""
        gossip = []
        for server_id, each in reversed(self._withdrawals.items()):
            if each.view <= since:
                break
            gossip.append(
                WithdrawalGossip(
                    server_id=server_id,
                    boot=each.boot,
                    sequence=each.sequence,
                    age_ms=max(0, int((now - each.recorded_at) * 1000)),
                    is_listed=each.is_listed,
                )
            )
        return tuple(reversed(gossip))

    def expire(self, now: float) -> None:
        """Forget what is older than RETENTION_S."""
        for server_id, each in list(self._withdrawals.items()):
            if now - each.recorded_at > RETENTION_S:
                self._forget(server_id)

    def _forget(self, server_id: str) -> None:
        known = self._withdrawals.pop(server_id, None)
        if known is not None:
            self._listed_count -= known.is_listed
            self.change_count += 1
