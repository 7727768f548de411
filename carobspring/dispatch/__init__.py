"""Which backend server a request goes to, when, and which is turned away.

Sans-IO: everything takes the time as an argument and returns decisions.
"""

from carobspring.dispatch.dispatcher import Dispatcher
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.queries import (
    AttemptOutcome,
    DispatchQuery,
    Placement,
    Refusal,
    RefusalReason,
)

__all__ = [
    "AttemptOutcome",
    "DispatchLimits",
    "DispatchQuery",
    "Dispatcher",
    "Placement",
    "Refusal",
    "RefusalReason",
]
