"""The scheduler of an agent: class queues, order, limit, shares, refusal.

Sans-IO: events and the time go in, actions come out.
"""

from carobspring.scheduling.events import (
    CallArrived,
    CallEnded,
    CallPreempted,
    CallWithdrawn,
    ClassChanged,
    FirstTokenSeen,
    PreemptCall,
    RefuseCall,
    SchedulerAction,
    SchedulerEvent,
    StartCall,
    TimePassed,
    TokensSeen,
)
from carobspring.scheduling.preemption import PATIENCE_SHARE, Preemption
from carobspring.scheduling.scheduler import Scheduler, SchedulerLimits

__all__ = [
    "CallArrived",
    "CallEnded",
    "CallPreempted",
    "CallWithdrawn",
    "ClassChanged",
    "FirstTokenSeen",
    "PATIENCE_SHARE",
    "PreemptCall",
    "Preemption",
    "RefuseCall",
    "Scheduler",
    "SchedulerLimits",
    "SchedulerAction",
    "SchedulerEvent",
    "StartCall",
    "TimePassed",
    "TokensSeen",
]
