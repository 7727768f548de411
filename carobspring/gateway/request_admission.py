"""Admission of one request to model engines."""

import asyncio
from collections.abc import Callable
from typing import Final

from carobspring.dispatch import (
    Dispatcher,
    DispatchQuery,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.gateway.admission import AdmissionClient, AdmissionOutcome

#: Seconds that a rejection without an estimate tells to wait.
MIN_EXPECTED_WAIT_S: Final = 0.05


class RequestAdmission:
    """Requests admission to engines and records which of them rejected it."""

    def __init__(
        self,
        *,
        query: DispatchQuery,
        dispatcher: Dispatcher,
        admission_client: AdmissionClient,
        read_clock: Callable[[], float],
        count_entries: Callable[[], int],
    ) -> None:
        self._query = query
        self._dispatcher = dispatcher
        self._admission_client = admission_client
        self._read_clock = read_clock
        self._count_entries = count_entries
        #: Engines that rejected the request.
        self.rejected_servers: set[str] = set()
        #: Number of engines that were asked, and the time that took.
        self.request_count = 0
        self.total_wait_s = 0.0
        #: True once the request found a limited server without a permit.
        self._is_blocked = False
        #: True once it has waited for a permit in vain.
        self._has_waited = False
        #: The shortest wait that a rejection gave.
        self._min_wait_s = float("inf")

    @property
    def can_ask_another(self) -> bool:
        """Whether the request may ask another engine."""
        return not self._has_waited and self._dispatcher.can_ask_another(
            len(self.rejected_servers)
        )

    async def request(self, placement: Placement, *, is_resumed: bool) -> bool:
        """Request admission if needed; return whether to send the request.

        A resumed stream continues without admission to the engine, since its
        caller waits for the next event. A permit for a limited server is
        needed for every request, and is the last that is asked for.
        """
        if not is_resumed and not await self._request_capacity(placement):
            return False
        rate_limit = self._dispatcher.find_rate_limit(placement.server.server_id)
        if rate_limit is None:
            return True
        started_at = self._read_clock()
        wait_s = await self._request_permit(placement, rate_limit)
        now = self._read_clock()
        self.total_wait_s += now - started_at
        if wait_s <= 0:
            return True
        server_id = placement.server.server_id
        self._admission_client.release(server_id, self._query.request_id)
        self._dispatcher.block(server_id, wait_s, now)
        self._is_blocked = True
        self._has_waited |= placement.may_wait
        self._min_wait_s = min(self._min_wait_s, wait_s)
        return False

    async def _request_permit(self, placement: Placement, rate_limit: float) -> float:
        """Return zero once there is a permit, else the expected wait."""
        result = await self._admission_client.request_permit(
            self._query, placement, rate_limit
        )
        if result.outcome is AdmissionOutcome.ADMITTED:
            return 0.0
        if result.outcome is AdmissionOutcome.REJECTED:
            return max(result.expected_wait_s, MIN_EXPECTED_WAIT_S)
        server_id = placement.server.server_id
        while True:
            now = self._read_clock()
            wait_s = self._dispatcher.take_local_permit(
                server_id, self._count_entries(), now
            )
            is_in_time = now + wait_s <= min(self._query.due_at, self._query.deadline)
            if wait_s <= 0 or not (placement.may_wait and is_in_time):
                return wait_s
            await asyncio.sleep(wait_s)

    async def _request_capacity(self, placement: Placement) -> bool:
        """Return whether an engine can read a long prompt in time."""
        if not self._dispatcher.needs_admission(self._query, placement):
            return True
        started_at = self._read_clock()
        admission = await self._admission_client.request_admission(
            self._query, placement
        )
        self.request_count += 1
        self.total_wait_s += self._read_clock() - started_at
        if admission.outcome is not AdmissionOutcome.REJECTED:
            return True
        self.rejected_servers.add(placement.server.server_id)
        self._min_wait_s = min(self._min_wait_s, admission.expected_wait_s)
        return False

    def build_refusal(self) -> Refusal:
        """Return the refusal of a request that engines have rejected."""
        return self._dispatcher.refuse_overload(self._min_wait_s)

    def explain_refusal(self, refusal: Refusal) -> Refusal:
        """Return a refusal, or an overload if engines rejected the request."""
        was_rejected = self.rejected_servers or self._is_blocked
        if was_rejected and refusal.reason is RefusalReason.ALL_TRIED:
            return self.build_refusal()
        return refusal
