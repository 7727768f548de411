"""The scheduler of an agent: class queues, order, limit, shares, refusal.

Sans-IO: events and the time go in, actions come out.
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
