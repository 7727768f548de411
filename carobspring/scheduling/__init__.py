"""The scheduler of an agent: class queues, order, limit, shares, refusal.

Sans-IO: events and the time go in, actions come out.
"""

from carobspring.scheduling.events import (
    CallArrived,
    CallEnded,
    CallWithdrawn,
    ClassChanged,
    FirstTokenSeen,
    RefuseCall,
    SchedulerAction,
    SchedulerEvent,
    StartCall,
    TokensSeen,
)
from carobspring.scheduling.scheduler import Scheduler, SchedulerLimits

__all__ = [
    "CallArrived",
    "CallEnded",
    "CallWithdrawn",
    "ClassChanged",
    "FirstTokenSeen",
    "RefuseCall",
    "Scheduler",
    "SchedulerLimits",
    "SchedulerAction",
    "SchedulerEvent",
    "StartCall",
    "TokensSeen",
]
