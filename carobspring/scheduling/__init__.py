"""Call scheduler of an agent: queues, concurrency limit, fairness, refusals.

The scheduler is sans-I/O: it is given events and the time, and returns
actions.
"""

from carobspring.scheduling.events import (
    CallArrived,
    CallEnded,
    CallPreempted,
    CallWithdrawn,
    ClassPriorityChanged,
    FirstTokenReceived,
    PreemptCall,
    RefuseCall,
    SchedulerAction,
    SchedulerEvent,
    StartCall,
    TimerExpired,
    TokenGapMeasured,
)
from carobspring.scheduling.preemption import PREEMPTION_WAIT_FRACTION, PreemptionPolicy
from carobspring.scheduling.scheduler import Scheduler, SchedulerLimits

__all__ = [
    "CallArrived",
    "CallEnded",
    "CallPreempted",
    "CallWithdrawn",
    "ClassPriorityChanged",
    "FirstTokenReceived",
    "PREEMPTION_WAIT_FRACTION",
    "PreemptCall",
    "PreemptionPolicy",
    "RefuseCall",
    "Scheduler",
    "SchedulerLimits",
    "SchedulerAction",
    "SchedulerEvent",
    "StartCall",
    "TimerExpired",
    "TokenGapMeasured",
]
