"""Choice of the backend server for a request, or its refusal.

Does no input or output: everything takes the time as an argument and returns
decisions.
"""

from carobspring.dispatch.crashes import CrashAttribution, OpenRun
from carobspring.dispatch.dispatcher import Dispatcher
from carobspring.dispatch.homes import find_shared_parts
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.quarantine import RequestQuarantine
from carobspring.dispatch.queries import (
    AttemptOutcome,
    DispatchQuery,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.dispatch.specialization import EngineDemand

__all__ = [
    "AttemptOutcome",
    "CrashAttribution",
    "DispatchLimits",
    "DispatchQuery",
    "Dispatcher",
    "EngineDemand",
    "OpenRun",
    "Placement",
    "Refusal",
    "RefusalReason",
    "RequestQuarantine",
    "find_shared_parts",
]
