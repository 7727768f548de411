"""Whether the events of a stream follow one another when its server changes.

The identifiers of events increase. By how much is up to the server, so it is
learned from the events of the stream and from earlier streams of its route.
"""

from enum import Enum
from typing import Final

#: Digits of an identifier that is compared as a number.
MAX_DIGITS: Final = 18
#: Seconds for which a route counts as irregular after events that were
#: numbered in another way than those before.
IRREGULAR_S: Final = 600.0


class EventPosition(Enum):
    """Where an event belongs in a stream."""

    #: It follows the last event.
    NEXT = "next"
    #: The caller already has it.
    REPEATED = "repeated"
    #: An event between the last one and it is missing.
    GAP = "gap"
    #: Nothing tells where it belongs.
    UNKNOWN = "unknown"


class RouteSteps:
    """By how much the identifiers of a route's events increase.

    Example:
        ``steps.record("chat", 1, now)`` for two events that one server wrote;
        then ``steps.find("chat")`` is 1.
    """

    def __init__(self) -> None:
        self._steps: dict[str, int] = {}
        self._irregular_until: dict[str, float] = {}

    def record(self, route: str, step: int, now: float) -> None:
        """Record the increase between two events of one server."""
        if self._steps.setdefault(route, step) != step:
            self._steps[route] = step
            self._irregular_until[route] = now + IRREGULAR_S

    def find(self, route: str) -> int | None:
        """Return the increase between the last two events, or None."""
        return self._steps.get(route)

    def is_irregular(self, route: str, now: float) -> bool:
        """Return whether the increase varied lately."""
        return now < self._irregular_until.get(route, float("-inf"))

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget routes that are no longer configured."""
        for known in (self._steps, self._irregular_until):
            for route in known.keys() - routes:
                del known[route]


class EventSequence:
    """The position of a stream: what its caller has, and what may follow.

    The first server writes its own stream and is believed, except that no
    event is passed on twice. What another one writes must prove that it
    follows.

    Example:
        ``sequence.locate(event_id, now)`` for each event; then
        ``begin_continuation()`` when another server goes on.
    """

    def __init__(self, *, route: str, steps: RouteSteps, last_id: str = "") -> None:
        """Create a sequence; ``last_id`` is what the caller already has."""
        #: Identifier of the last event that had one, or empty.
        self.last_id = last_id
        #: Whether the current server wrote an event that follows.
        self.has_progress = False
        #: Whether a server wrote events that the caller already has.
        self.has_repeats = False
        self._route = route
        self._steps = steps
        self._own_steps: set[int] = set()
        #: Whether what comes now goes on with what another server wrote.
        self.is_continued = bool(last_id)
        self._counts_from_one = False
        self._ends_identified = bool(last_id)

    @property
    def can_continue(self) -> bool:
        """Whether another server can be told after which event to go on."""
        return self._ends_identified

    def begin_continuation(self) -> None:
        """Another server writes what comes now."""
        self.is_continued = True
        self.has_progress = False

    def locate(self, event_id: str, now: float) -> EventPosition:
        """Return where an event belongs, and advance if it is the next one."""
        if event_id and event_id == self.last_id:
            self.has_repeats = True
            return EventPosition.REPEATED
        number, last = _parse_number(event_id), _parse_number(self.last_id)
        step = None
        if number is not None and last is not None:
            step = number - last
            if step <= 0:
                self.has_repeats = True
                return EventPosition.REPEATED
            if self.is_continued and step != (self._find_step(now) or step):
                return EventPosition.GAP
        elif self.is_continued and (not event_id or last is not None):
            return EventPosition.UNKNOWN
        if not self.is_continued:
            self._learn(number, step, now)
        self.last_id = event_id or self.last_id
        self._ends_identified = bool(event_id)
        self.has_progress = True
        return EventPosition.NEXT

    def _learn(self, number: int | None, step: int | None, now: float) -> None:
        if step is not None:
            self._own_steps.add(step)
            self._steps.record(self._route, step, now)
        elif not self.last_id:
            self._counts_from_one = number == 1

    def _find_step(self, now: float) -> int | None:
        if self._steps.is_irregular(self._route, now) or len(self._own_steps) > 1:
            return None
        if self._own_steps:
            return next(iter(self._own_steps))
        return self._steps.find(self._route) or (1 if self._counts_from_one else None)


def _parse_number(event_id: str) -> int | None:
    if event_id.isascii() and event_id.isdigit() and len(event_id) <= MAX_DIGITS:
        return int(event_id)
    return None
