"""What the dispatcher knows of one backend server."""

from collections import OrderedDict
from dataclasses import dataclass, field

from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.queries import DispatchQuery
from carobspring.domain import BackendServer
from carobspring.routing import CircuitBreaker


@dataclass(kw_only=True)
class InFlight:
    """A request that this entry sent and whose end it has not seen."""

    query: DispatchQuery
    sent_at: float
    #: Prompt tokens that the server probably has to read.
    unread_tokens: int
    has_begun: bool = False


@dataclass(kw_only=True)
class ServerRecord:
    """A backend server with the own requests there and what it told."""

    server: BackendServer
    limits: DispatchLimits
    breaker: CircuitBreaker
    draining: bool = False
    in_flight: dict[str, InFlight] = field(default_factory=dict)
    #: Running and waiting requests of everyone as last told, and when.
    told_running: int = 0
    told_waiting: int = 0
    told_at: float = float("-inf")
    _parts: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def note_load(self, running: int, waiting: int, now: float) -> None:
        """Take over what a response said of the load."""
        self.told_running = running
        self.told_waiting = waiting
        self.told_at = now

    def note_parts(self, parts: tuple[tuple[str, int], ...], now: float) -> None:
        """Remember that the server reads these parts of a prompt."""
        for part, _ in parts:
            self._parts[part] = now
            self._parts.move_to_end(part)
        while len(self._parts) > self.limits.residency_parts:
            self._parts.popitem(last=False)

    def forget_parts(self) -> None:
        """Note that the server's memory is empty, as after a restart."""
        self._parts.clear()

    def count_unread_tokens(self, query: DispatchQuery, now: float) -> int:
        """Return the prompt tokens that the server would have to read.

        A part counts as kept only if all parts before it are kept too.
        """
        kept = 0
        for part, tokens in query.parts:
            at = self._parts.get(part)
            if at is None or now - at > self.limits.residency_s:
                break
            kept += tokens
        return max(0, query.prompt_tokens - kept)

    def estimate_running(self, now: float) -> int:
        """Return how many requests run or wait there, of all entries."""
        own = len(self.in_flight)
        if now - self.told_at > self.limits.load_age_s:
            return own
        since = sum(call.sent_at > self.told_at for call in self.in_flight.values())
        return max(own, self.told_running + self.told_waiting + since)

    def count_backlog_tokens(self) -> int:
        """Return the prompt tokens of own requests that have not begun."""
        calls = self.in_flight.values()
        return sum(call.unread_tokens for call in calls if not call.has_begun)
