"""When the leader of the control replicas may act as the holder of duties.

The provider does not check the fencing token, so that a call of an earlier
holder must not arrive behind one of a later holder. The token is the term of
the consensus: it has one leader at most, and it only increases.
"""

from dataclasses import dataclass
from typing import Final

#: Seconds by which the boot clock may get ahead of the monotonic one without
#: counting as a freeze. Both are read one after the other.
MAX_CLOCK_DRIFT_S: Final = 0.05


@dataclass(frozen=True, kw_only=True)
class TenureTiming:
    """The times that a holder keeps, in seconds."""

    #: Time within which two holders must not act by turns.
    lease_s: float
    #: Time for which a leader may act after its last contact to a quorum.
    leader_lease_s: float
    #: Longest duration of a call.
    call_timeout_s: float
    #: Time after a freeze within which calls that arrive are excused.
    thaw_s: float

    @property
    def quiet_s(self) -> float:
        """Time that a new holder waits before its first call.

        The earlier one may have begun a call when its lease ran out. If both
        lead by turns, the calls of the first are apart by more than a lease.
        """
        late_call_s = self.leader_lease_s + self.call_timeout_s
        return self.lease_s + late_call_s + self.thaw_s


@dataclass(frozen=True, kw_only=True)
class Leadership:
    """What this replica knows of its own leadership at one moment."""

    #: Term that it leads with its lease held and all commits applied, or None.
    term: int | None
    #: Seconds of the monotonic clock, which stops in a freeze, and of the boot
    #: clock, which does not.
    now: float
    boot_time: float


class Tenure:
    """Decides whether this replica holds the duties now.

    Example:
        ``tenure.update(leadership)`` before each use, then ``tenure.token``.
    """

    def __init__(self, *, timing: TenureTiming) -> None:
        self._timing = timing
        self._term: int | None = None
        self._since = 0.0
        self._clock_offset_s = 0.0
        self._is_quiet_over = False

    @property
    def token(self) -> int | None:
        """The fencing token of calls that may begin now, or None."""
        return self._term if self._is_quiet_over else None

    @property
    def term(self) -> int | None:
        """The term whose duties this replica holds or will hold."""
        return self._term

    def update(self, leadership: Leadership) -> None:
        """Take note of the leadership and the clocks."""
        offset_s = leadership.boot_time - leadership.now
        is_frozen = offset_s - self._clock_offset_s > MAX_CLOCK_DRIFT_S
        self._clock_offset_s = offset_s
        if leadership.term is None or leadership.term != self._term or is_frozen:
            # After a freeze the monotonic clock proves no lease: another
            # leader may have acted and gone since.
            self._term = leadership.term
            self._since = leadership.now
        held_s = leadership.now - self._since
        has_term = self._term is not None
        self._is_quiet_over = has_term and held_s >= self._timing.quiet_s
