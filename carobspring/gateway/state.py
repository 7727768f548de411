"""The routing table and lifecycle state of an entry."""

import asyncio
from typing import Final

from carobspring.domain.routes import RoutingTable

#: Seconds for which a replica's confirmation of the routing table counts: two
#: heartbeats of the replica's stream.
CONFIRMATION_LIFETIME_S: Final = 2.0


class GatewayState:
    """The routing table in force and whether the process is stopping.

    The table is never replaced by an earlier version while the process runs.
    """

    def __init__(self) -> None:
        self.table: RoutingTable | None = None
        #: Monotonic time at which the table came into force.
        self.table_applied_at = 0.0
        #: Monotonic time at which a replica last confirmed, with the quorum,
        #: that the table is the newest; None before the first time.
        self.confirmed_at: float | None = None
        #: Monotonic time at which a planned stop began, or None.
        self.stopping_since: float | None = None
        self._has_table = asyncio.Event()

    def apply_table(self, table: RoutingTable, now: float) -> bool:
        """Apply a table if it is newer, and return whether it was."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.table_applied_at = now
        self._has_table.set()
        return True

    def confirm_table(self, now: float) -> None:
        """Record that the table is the newest that the quorum committed."""
        self.confirmed_at = now

    def is_confirmed(self, now: float) -> bool:
        """Return whether the table was lately confirmed to be the newest.

        Otherwise it may lack a route or key that was confirmed to the
        operator.
        """
        return (
            self.confirmed_at is not None
            and now - self.confirmed_at <= CONFIRMATION_LIFETIME_S
        )

    async def wait_for_table(self, timeout_s: float) -> RoutingTable | None:
        """Return the table; wait for the first one, or return None."""
        if self.table is None:
            try:
                async with asyncio.timeout(timeout_s):
                    await self._has_table.wait()
            except TimeoutError:
                return None
        return self.table

    @property
    def is_ready(self) -> bool:
        """Whether this entry should get requests."""
        return self.table is not None and not self.is_stopping

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stopping_since is not None

    def begin_stop(self, now: float) -> None:
        """Record that a planned stop begins."""
        self.stopping_since = now

    def compute_after_stop_ms(self, at: float) -> float | None:
        """Return how long after the start of a stop a time is, or None.

        Negative for a time before the stop.
        """
        if self.stopping_since is None:
            return None
        return round((at - self.stopping_since) * 1000, 1)
