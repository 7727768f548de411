"""One request's way past the gates of engines."""

from collections.abc import Callable

from carobspring.dispatch import (
    Dispatcher,
    DispatchQuery,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.gateway.admission import AdmissionOutcome, EngineGates


class RoomSeeker:
    """Asks engines' gates for room, and knows which have none."""

    def __init__(
        self,
        *,
        query: DispatchQuery,
        dispatcher: Dispatcher,
        gates: EngineGates,
        read_clock: Callable[[], float],
    ) -> None:
        self._query = query
        self._dispatcher = dispatcher
        self._gates = gates
        self._read_clock = read_clock
        #: Engines whose gates have turned the request away.
        self.turned_away: set[str] = set()
        #: Engines whose gates were asked, and the time that took.
        self.asked = 0
        self.asking_s = 0.0
        #: The shortest wait that a gate told.
        self._wait_s = float("inf")

    @property
    def may_go_on(self) -> bool:
        """Say whether a further engine's gate may be asked."""
        return self._dispatcher.can_ask_another(len(self.turned_away))

    async def is_admitted(self, placed: Placement) -> bool:
        """Ask the engine's gate whether it has room, if it needs to be."""
        if not self._dispatcher.needs_admission(self._query, placed):
            return True
        began = self._read_clock()
        admission = await self._gates.ask(self._query, placed)
        self.asked += 1
        self.asking_s += self._read_clock() - began
        if admission.outcome is not AdmissionOutcome.TURNED_AWAY:
            return True
        self.turned_away.add(placed.server.server_id)
        self._wait_s = min(self._wait_s, admission.wait_s)
        return False

    def refuse(self) -> Refusal:
        """Return the refusal of a request that gates have turned away."""
        return self._dispatcher.refuse_overload(self._wait_s)

    def explain(self, refusal: Refusal) -> Refusal:
        """Return why no server is left: gates, if those left are theirs."""
        if self.turned_away and refusal.reason is RefusalReason.ALL_TRIED:
            return self.refuse()
        return refusal
