"""Admission of one request to model engines."""

from collections.abc import Callable

from carobspring.dispatch import (
    Dispatcher,
    DispatchQuery,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.gateway.admission import AdmissionClient, AdmissionOutcome


class RequestAdmission:
    """Requests admission to engines and records which of them rejected it."""

    def __init__(
        self,
        *,
        query: DispatchQuery,
        dispatcher: Dispatcher,
        admission_client: AdmissionClient,
        read_clock: Callable[[], float],
    ) -> None:
        self._query = query
        self._dispatcher = dispatcher
        self._admission_client = admission_client
        self._read_clock = read_clock
        #: Engines that rejected the request.
        self.rejected_servers: set[str] = set()
        #: Number of engines that were asked, and the time that took.
        self.request_count = 0
        self.total_wait_s = 0.0
        #: The shortest wait that a rejection gave.
        self._min_wait_s = float("inf")

    @property
    def can_ask_another(self) -> bool:
        """Whether the request may ask another engine."""
        return self._dispatcher.can_ask_another(len(self.rejected_servers))

    async def request(self, placement: Placement) -> bool:
        """Request admission if needed; return whether to send the request."""
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
        if self.rejected_servers and refusal.reason is RefusalReason.ALL_TRIED:
            return self.build_refusal()
        return refusal
