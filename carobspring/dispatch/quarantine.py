"""Decides which requests are held back because servers crashed under them."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass
from typing import Final

from carobspring.dispatch.blame import (
    BLAMED_CRASHES,
    BLAMED_PROVEN_CRASHES,
    Explanation,
    explain_crashes,
    is_explained_elsewhere,
)
from carobspring.membership import (
    HELD_STRIKES,
    MAX_REQUESTS,
    CauseKey,
    ServerRun,
    StrikeSet,
    build_cause_key,
    build_server_run,
    is_part_key,
)
from carobspring.protocol import Strike

#: Seconds for which a request is held back after a second crash. A sound
#: request that ran beside the cause at both may then prove it by succeeding.
HOLD_S: Final = 30.0
#: Strikes from which the request itself is the likely cause, and the seconds
#: for which it is then held back.
LIKELY_CAUSE_STRIKES: Final = 3
LIKELY_CAUSE_HOLD_S: Final = 3600.0
#: The same while another request ran at each of these crashes too, so that
#: nothing tells which of them is the cause. One trial of each does.
SHARED_HOLD_S: Final = 5.0
#: The same at LIKELY_CAUSE_STRIKES if the request was answered before: several
#: servers that crash at once give as many strikes to whatever is popular. One
#: trial then decides, unless an answer under way does.
PROVEN_HOLD_S: Final = 5.0
#: Seconds for which parts of prompts are held back after the crash that
#: brought the blame on them.
PART_HOLD_S: Final = 5.0
#: Factor of these times for each further crash, and the longest of them.
HOLD_FACTOR: Final = 4.0
MAX_HOLD_S: Final = 24 * 3600.0
#: Crashes from which a cause is tried again only once in the longest time.
FINAL_CRASHES: Final = 8
#: Seconds that answers under way have to clear parts of the blame, unless so
#: many servers crashed that waiting costs more than it saves.
ANSWER_WAIT_S: Final = 0.5
CERTAIN_CRASHES: Final = 5
#: Seconds for which an answer speaks for a request or part, and the numbers of
#: requests and of parts for which answers are remembered, the last ones.
PROOF_S: Final = 600.0
MAX_PROVEN: Final = 2_000
#: Seconds between the first sends of two entries when a hold is over, so that
#: the others hear of one before they admit theirs.
TRIAL_INTERVAL_S: Final = 0.5


@dataclass(frozen=True, kw_only=True)
class _Blame:
    """Parts that are held back, from a time until another."""

    parts: frozenset[CauseKey]
    #: Monotonic times.
    begins_at: float
    ends_at: float


@dataclass(frozen=True, kw_only=True)
class _HeldCause:
    """A cause that holds a request back, until a monotonic time."""

    key: CauseKey
    until: float
    #: Whether what runs of the request already is stopped as well.
    stops_runs: bool = True


@dataclass(frozen=True, kw_only=True)
class Hold:
    """How long a request is held back, and whether for its prompt's parts."""

    #: Seconds; zero if the request may be sent.
    left_s: float = 0.0
    is_for_parts: bool = False


class RequestQuarantine:
    """Holds back requests under which several servers have crashed.

    A request with one strike is sent, away from others with strikes, so that
    a second crash has one likely cause. With two it is held back for a while,
    with three for long. One that was answered shortly before ran at both
    crashes more likely by chance: it is held back from three on only, and
    what runs of it is left to end, which may clear it. The parts of prompts
    are blamed for crashes under different requests, as ``explain_crashes``
    tells; a request that has all parts of an explanation is held back too.

    When the time is over, one send is admitted as a trial, which counts as a
    strike until it is answered. A complete answer proves that neither the
    request nor its parts had crashed servers before it began.

    Example:
        ``hold = quarantine.compute_hold(causes, now, entry_count)``; the
        request may be sent if ``hold.left_s`` is zero.
    """

    def __init__(self, *, trial_turn: float = 0.0) -> None:
        """Create an empty quarantine.

        Args:
            trial_turn: This entry's place among the others, in [0, 1), by
                which it begins trials.
        """
        self._trial_turn = trial_turn
        self._strikes = StrikeSet()
        #: When this entry learned of a strike.
        self._learned_at: dict[tuple[CauseKey, ServerRun], float] = {}
        #: The requests and parts with strikes enough to be blamed.
        self._suspects: dict[CauseKey, frozenset[ServerRun]] = {}
        #: The requests with strikes enough to be held back.
        self._held_requests: dict[CauseKey, frozenset[ServerRun]] = {}
        #: When parts and requests were last answered completely, the earliest
        #: first.
        self._parts_answered_at: OrderedDict[CauseKey, float] = OrderedDict()
        self._requests_answered_at: OrderedDict[CauseKey, float] = OrderedDict()
        #: The parts that were answered before they became suspects, and the
        #: requests that were before they had strikes enough to be held back.
        self._proven: set[CauseKey] = set()
        self._proven_requests: set[CauseKey] = set()
        #: The parts that are blamed now.
        self.explanations: Sequence[Explanation] = ()
        self._blames: Sequence[_Blame] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no request has a strike."""
        return self._strikes.is_empty

    def add(self, strikes: Iterable[Strike], now: float) -> tuple[Strike, ...]:
        """Add strikes of this entry or of others; return the new ones."""
        added = self._strikes.add(strikes)
        for strike in added:
            key, server_run = build_cause_key(strike), build_server_run(strike)
            self._learned_at[key, server_run] = now
        if len(self._learned_at) > 2 * MAX_REQUESTS:
            self._learned_at = {
                (key, server_run): at
                for (key, server_run), at in self._learned_at.items()
                if server_run in self._strikes.list_server_runs(key)
            }
        self._update(added)
        return added

    def remove(self, strikes: Iterable[Strike]) -> tuple[Strike, ...]:
        """Remove strikes for good; return those that are newly removed."""
        removed = self._strikes.release(strikes)
        for strike in removed:
            key, server_run = build_cause_key(strike), build_server_run(strike)
            self._learned_at.pop((key, server_run), None)
        self._update(removed)
        return removed

    def record_answer(self, causes: Iterable[CauseKey], now: float) -> None:
        """Record that a request and its parts were answered completely."""
        for key in causes:
            answered_at = self._get_answers(key)
            answered_at[key] = now
            answered_at.move_to_end(key)
            if len(answered_at) > MAX_PROVEN:
                answered_at.popitem(last=False)

    def release(
        self, causes: Iterable[CauseKey], answered_since: float
    ) -> tuple[Strike, ...]:
        """Release what a complete answer clears; return the strikes.

        The answer says nothing of strikes that were learned after it had
        begun, at ``answered_since``.
        """
        cleared = [
            strike
            for cause in causes
            for strike in self._strikes.find(cause)
            if self._learned_at.get((cause, build_server_run(strike)), answered_since)
            <= answered_since
        ]
        return self.remove(cleared) if cleared else ()

    def release_run(
        self, causes: Iterable[CauseKey], server_run: ServerRun
    ) -> tuple[Strike, ...]:
        """Release the strikes that one run brought; return them."""
        return self.remove(
            strike
            for cause in causes
            for strike in self._strikes.find(cause)
            if build_server_run(strike) == server_run
        )

    def count(self, key: CauseKey) -> int:
        """Return the number of server runs that ended under a request."""
        return self._strikes.count(key)

    def list_strikes(self) -> tuple[Strike, ...]:
        """Return all strikes that this entry knows."""
        return self._strikes.list_strikes()

    def compute_hold(
        self, causes: Sequence[CauseKey], now: float, entry_count: int = 1
    ) -> Hold:
        """Return how long a request is held back.

        Args:
            causes: The request and the parts of its prompt.
            now: Monotonic time in seconds.
            entry_count: The number of entries that may begin a trial.
        """
        turn_s = self._trial_turn * entry_count * TRIAL_INTERVAL_S
        request_s, part_s = 0.0, 0.0
        for held in self._list_holds(causes, now):
            left_s = held.until + turn_s - now
            if is_part_key(held.key):
                part_s = max(part_s, left_s)
            else:
                request_s = max(request_s, left_s)
        return Hold(left_s=max(request_s, part_s), is_for_parts=part_s > request_s)

    def list_held(self, causes: Sequence[CauseKey], now: float) -> tuple[CauseKey, ...]:
        """Return what a request that is sent now is on trial for."""
        return tuple(held.key for held in self._list_holds(causes, now))

    def must_stop(self, causes: Sequence[CauseKey], now: float) -> bool:
        """Return whether a request that runs must be stopped."""
        return any(held.stops_runs for held in self._list_holds(causes, now))

    def _list_holds(
        self, causes: Sequence[CauseKey], now: float
    ) -> Iterable[_HeldCause]:
        """Yield the causes that hold a request back."""
        known = frozenset(causes)
        for blame in self._blames:
            if blame.parts <= known and blame.begins_at <= now:
                for key in blame.parts:
                    yield _HeldCause(key=key, until=blame.ends_at)
        for key in causes:
            crashes = self._strikes.list_server_runs(key)
            if is_part_key(key) or len(crashes) < HELD_STRIKES:
                continue
            if is_explained_elsewhere(crashes, known, self.explanations):
                continue
            is_proven = (
                key in self._proven_requests and len(crashes) <= LIKELY_CAUSE_STRIKES
            )
            if is_proven and len(crashes) < LIKELY_CAUSE_STRIKES:
                continue
            first_s = LIKELY_CAUSE_HOLD_S
            if self._ran_another_at(crashes, key):
                first_s = SHARED_HOLD_S
            hold_s = min(HOLD_S, first_s)
            if len(crashes) >= LIKELY_CAUSE_STRIKES:
                hold_s = _extend_hold(first_s, len(crashes) - LIKELY_CAUSE_STRIKES)
            if is_proven:
                hold_s = min(hold_s, PROVEN_HOLD_S)
            last_at = max(self._learned_at[key, run] for run in crashes)
            yield _HeldCause(key=key, until=last_at + hold_s, stops_runs=not is_proven)

    def _ran_another_at(self, crashes: Set[ServerRun], key: CauseKey) -> bool:
        """Return whether another request ran at all these crashes."""
        return any(
            crashes <= other_crashes and other != key
            for other, other_crashes in self._held_requests.items()
        )

    def _build_blame(self, explanation: Explanation) -> _Blame:
        crash_count = len(explanation.crashes)
        times = sorted(
            max(self._learned_at[key, server_run] for key in explanation.parts)
            for server_run in explanation.crashes
        )
        minimum = BLAMED_CRASHES
        if explanation.is_proven:
            minimum = BLAMED_PROVEN_CRASHES
        begins_at = times[minimum - 1]
        if crash_count < CERTAIN_CRASHES or explanation.is_proven:
            begins_at += ANSWER_WAIT_S
        hold_s = _extend_hold(PART_HOLD_S, crash_count - BLAMED_CRASHES)
        return _Blame(
            parts=explanation.parts, begins_at=begins_at, ends_at=times[-1] + hold_s
        )

    def _update(self, changed: Sequence[Strike]) -> None:
        """Find again what explains the crashes, after some strikes changed."""
        keys = {build_cause_key(strike) for strike in changed}
        for key in keys:
            crashes = self._strikes.list_server_runs(key)
            if is_part_key(key) or len(crashes) < HELD_STRIKES:
                self._held_requests.pop(key, None)
                self._proven_requests.discard(key)
                continue
            if key not in self._held_requests and self._was_answered(key, crashes):
                self._proven_requests.add(key)
            self._held_requests[key] = crashes
        if len(self._held_requests) > MAX_REQUESTS:
            # Strikes are evicted without notice.
            self._held_requests = {
                key: crashes
                for key, crashes in self._held_requests.items()
                if self._strikes.count(key)
            }
            self._proven_requests.intersection_update(self._held_requests)
        suspects = {}
        for key in keys.union(self._suspects):
            crashes = self._strikes.list_server_runs(key)
            if len(crashes) >= BLAMED_CRASHES:
                suspects[key] = crashes
        if suspects == self._suspects:
            return
        self._proven = {
            key
            for key in suspects
            if key in self._proven
            or (key not in self._suspects and self._was_answered(key, suspects[key]))
        }
        self._suspects = suspects
        self.explanations = explain_crashes(
            {key: runs for key, runs in suspects.items() if is_part_key(key)},
            [runs for key, runs in suspects.items() if not is_part_key(key)],
            self._proven,
        )
        self._blames = [self._build_blame(each) for each in self.explanations]

    def _was_answered(self, key: CauseKey, crashes: Iterable[ServerRun]) -> bool:
        """Return whether a cause was answered in the time before crashes."""
        last_at = max(self._learned_at[key, server_run] for server_run in crashes)
        answered_at = self._get_answers(key).get(key, float("-inf"))
        return answered_at >= last_at - PROOF_S

    def _get_answers(self, key: CauseKey) -> OrderedDict[CauseKey, float]:
        """Return when causes of the same kind were last answered."""
        if is_part_key(key):
            return self._parts_answered_at
        return self._requests_answered_at


def _extend_hold(first_s: float, further_crashes: int) -> float:
    """Return the seconds of a hold after some more crashes than the first."""
    if further_crashes >= FINAL_CRASHES - BLAMED_CRASHES:
        return MAX_HOLD_S
    return min(first_s * HOLD_FACTOR**further_crashes, MAX_HOLD_S)
