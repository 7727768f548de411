"""One request's way past the gates of engines."""

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
    """Asks engines' gates for room, and knows which have none."""

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
        #: Engines whose gates have turned the request away.
        self.rejected_servers: set[str] = set()
        #: Engines whose gates were asked, and the time that took.
        self.request_count = 0
        self.total_wait_s = 0.0
        #: The shortest wait that a gate told.
        self._wait_s = float("inf")

    @property
    def can_ask_another(self) -> bool:
        """Say whether a further engine's gate may be asked."""
        return self._dispatcher.can_ask_another(len(self.rejected_servers))

    async def request(self, placed: Placement) -> bool:
        """Ask the engine's gate whether it has room, if it needs to be."""
        if not self._dispatcher.needs_admission(self._query, placed):
            return True
        began = self._read_clock()
        admission = await self._admission_client.request_admission(self._query, placed)
        self.request_count += 1
        self.total_wait_s += self._read_clock() - began
        if admission.outcome is not AdmissionOutcome.REJECTED:
            return True
        self.rejected_servers.add(placed.server.server_id)
        self._wait_s = min(self._wait_s, admission.expected_wait_s)
        return False

    def build_refusal(self) -> Refusal:
        """Return the refusal of a request that gates have turned away."""
        return self._dispatcher.refuse_overload(self._wait_s)

    def explain_refusal(self, refusal: Refusal) -> Refusal:
        """Return why no server is left: gates, if those left are theirs."""
        if self.rejected_servers and refusal.reason is RefusalReason.ALL_TRIED:
            return self.build_refusal()
        return refusal
