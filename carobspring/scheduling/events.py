"""What the scheduler is told and what it tells the gate to do."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class CallArrived:
    """A call reached the agent."""

    call_id: str
    workspace: str
    service_class: str
    #: Larger goes first.
    priority: int
    #: Seconds from the entry's receipt to the class's target; zero for none.
    target_s: float = 0.0
    #: Seconds between tokens that the class asks for; zero for no target.
    token_gap_s: float = 0.0
    #: Seconds that the call was under way before it came here.
    age_s: float = 0.0
    #: True when the target is met by the first token, not by the end.
    streamed: bool = False
    #: True when it may run only while no other call does.
    exclusive: bool = False
    #: True when it may be stopped and started again before its answer.
    restartable: bool = False
    #: Bytes that the call holds while it waits.
    size_bytes: int = 0


@dataclass(frozen=True, kw_only=True)
class FirstTokenReceived:
    """The backend server sent the first piece of an answer."""

    call_id: str


@dataclass(frozen=True, kw_only=True)
class TokenGapMeasured:
    """The mean gap between a call's tokens since the last such event."""

    call_id: str
    token_gap_s: float


@dataclass(frozen=True, kw_only=True)
class CallEnded:
    """A running call gave its slot back."""

    call_id: str
    #: True when its answer was whole, so that its time counts as a sample.
    complete: bool


@dataclass(frozen=True, kw_only=True)
class CallWithdrawn:
    """A call that waits is not wanted any more."""

    call_id: str


@dataclass(frozen=True, kw_only=True)
class ClassPriorityChanged:
    """The operator gave a class another priority."""

    service_class: str
    priority: int


@dataclass(frozen=True, kw_only=True)
class CallPreempted:
    """A call that was to be preempted has stopped, before its answer."""

    call_id: str


@dataclass(frozen=True, kw_only=True)
class TimerExpired:
    """A waiting call has waited for part of its target."""


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
    #: For engines that order by it: lower goes sooner.
    engine_priority: int


@dataclass(frozen=True, kw_only=True)
class RefuseCall:
    """End the call as not run, at once."""

    call_id: str
    reason: str
    retry_after_ms: int


@dataclass(frozen=True, kw_only=True)
class PreemptCall:
    """Stop the call at the backend server, and say so with CallPreempted.

    Nothing is to be done when its answer has begun: it then ends by itself.
    """

    call_id: str


SchedulerAction = StartCall | RefuseCall | PreemptCall
