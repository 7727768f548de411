"""Choice of the backend server for a request, or its refusal.

Does no input or output: everything takes the time as an argument and returns
decisions.
"""

from carobspring.dispatch.blame import Explanation
from carobspring.dispatch.crashes import CrashAttribution, OpenRun
from carobspring.dispatch.dispatcher import Dispatcher
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.notices import NoticeChange
from carobspring.dispatch.quarantine import Hold, RequestQuarantine
from carobspring.dispatch.queries import (
    AttemptOutcome,
    DispatchQuery,
    Obstacle,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.dispatch.specialization import EngineDemand
from carobspring.dispatch.stopping import StopAdmission, StopSchedule

__all__ = [
    "AttemptOutcome",
    "CrashAttribution",
    "DispatchLimits",
    "DispatchQuery",
    "Dispatcher",
    "EngineDemand",
    "Explanation",
    "Hold",
    "NoticeChange",
    "Obstacle",
    "OpenRun",
    "Placement",
    "Refusal",
    "RefusalReason",
    "RequestQuarantine",
    "StopAdmission",
    "StopSchedule",
]
