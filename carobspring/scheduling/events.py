"""Events that the scheduler handles and actions that it returns."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class CallArrived:
    """A call arrived at the agent."""

    call_id: str
    workspace: str
    service_class: str
    #: A call with a larger priority starts first.
    priority: int
    #: Seconds from receipt by the entry to the target; zero for no target.
    target_s: float = 0.0
    #: Target for the seconds between tokens; zero for no target.
    token_gap_s: float = 0.0
    #: Seconds between receipt by the entry and arrival at the agent.
    age_s: float = 0.0
    #: True when the target applies to the first token, not to the end.
    streamed: bool = False
    #: True when it may run only while no other call does.
    exclusive: bool = False
    #: True when it may be stopped and restarted before its response begins.
    restartable: bool = False
    #: Bytes that the call occupies while it waits.
    size_bytes: int = 0


@dataclass(frozen=True, kw_only=True)
class FirstTokenReceived:
    """The backend server sent the first data of a response."""

    call_id: str


@dataclass(frozen=True, kw_only=True)
class TokenGapMeasured:
    """The mean gap between a call's tokens since the previous measurement."""

    call_id: str
    token_gap_s: float


@dataclass(frozen=True, kw_only=True)
class CallEnded:
    """A running call released its slot."""

    call_id: str
    #: True when its response was complete, so that its time is a valid sample.
    complete: bool


@dataclass(frozen=True, kw_only=True)
class CallWithdrawn:
    """A waiting call was withdrawn before it started."""

    call_id: str


@dataclass(frozen=True, kw_only=True)
class ClassPriorityChanged:
    """The operator changed the priority of a class."""

    service_class: str
    priority: int


@dataclass(frozen=True, kw_only=True)
class CallPreempted:
    """A preempted call stopped before its response began."""

    call_id: str


@dataclass(frozen=True, kw_only=True)
class TimerExpired:
    """A waiting call has waited long enough that it may preempt another."""


SchedulerEvent = (
    CallArrived
    | FirstTokenReceived
    | TokenGapMeasured
    | CallEnded
    | CallPreempted
    | CallWithdrawn
    | ClassPriorityChanged
    | TimerExpired
)


@dataclass(frozen=True, kw_only=True)
class StartCall:
    """Send the call to the backend server now."""

    call_id: str
    #: Priority for engines that order by it: a lower value is served first.
    engine_priority: int


@dataclass(frozen=True, kw_only=True)
class RefuseCall:
    """End the call immediately as not run."""

    call_id: str
    reason: str
    retry_after_ms: int


@dataclass(frozen=True, kw_only=True)
class PreemptCall:
    """Stop the call at the backend server and confirm with CallPreempted.

    A call whose response has begun is left running and ends with CallEnded.
    """

    call_id: str


SchedulerAction = StartCall | RefuseCall | PreemptCall
