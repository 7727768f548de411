"""The entry's work: callers' API, call driver, and streams to the others."""

from carobspring.entry.api import CallersApi
from carobspring.entry.cancelling import CallCanceller
from carobspring.entry.channels import ChannelPool
from carobspring.entry.control import (
    ControlClient,
)
from carobspring.entry.driver import CallDriver
from carobspring.entry.errors import ERROR_KINDS, CallError
from carobspring.entry.following import (
    CallFollower,
    CallProgress,
    FollowLimits,
    LinkObserver,
)
from carobspring.entry.measures import CallTimes, EntryMeasures
from carobspring.entry.observing import RouterObserver
from carobspring.entry.parts import DriverParts
from carobspring.entry.state import EntryState
from carobspring.entry.unique import UniqueCallDriver
from carobspring.entry.views import ViewFollower

__all__ = [
    "ERROR_KINDS",
    "CallCanceller",
    "CallDriver",
    "CallError",
    "CallFollower",
    "CallProgress",
    "CallTimes",
    "CallersApi",
    "ChannelPool",
    "ControlClient",
    "DriverParts",
    "EntryMeasures",
    "EntryState",
    "FollowLimits",
    "LinkObserver",
    "RouterObserver",
    "UniqueCallDriver",
    "ViewFollower",
]
