"""The scheduler of an agent: class queues, order, limit, shares, refusal.

Sans-IO: events and the time go in, actions come out.
"""

from carobspring.scheduling.events import (
    CallArrived,
    CallEnded,
    CallWithdrawn,
    FirstTokenSeen,
    RefuseCall,
    SchedulerAction,
    SchedulerEvent,
    StartCall,
    TokensSeen,
)
from carobspring.scheduling.scheduler import Scheduler

__all__ = [
    "CallArrived",
    "CallEnded",
    "CallWithdrawn",
    "FirstTokenSeen",
    "RefuseCall",
    "Scheduler",
    "SchedulerAction",
    "SchedulerEvent",
    "StartCall",
    "TokensSeen",
]
