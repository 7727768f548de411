"""The entry: callers' HTTP API, call drivers, agent and control clients."""

from carobspring.entry.api import CallerApi
from carobspring.entry.call_stream import (
    CallProgress,
    CallStreamReader,
    ConnectionObserver,
    StreamLimits,
)
from carobspring.entry.canceller import CallCanceller
from carobspring.entry.channels import ChannelPool
from carobspring.entry.control_client import (
    ControlClient,
)
from carobspring.entry.dependencies import DriverDependencies
from carobspring.entry.driver import CallDriver
from carobspring.entry.errors import ERROR_KINDS, CallError
from carobspring.entry.metrics import CallTiming, EntryMetrics
from carobspring.entry.observer import RouterObserver
from carobspring.entry.state import EntryState
from carobspring.entry.unique import UniqueCallDriver
from carobspring.entry.views import ViewUpdateHandler

__all__ = [
    "ERROR_KINDS",
    "CallCanceller",
    "CallDriver",
    "CallError",
    "CallProgress",
    "CallStreamReader",
    "CallTiming",
    "CallerApi",
    "ChannelPool",
    "ConnectionObserver",
    "ControlClient",
    "DriverDependencies",
    "EntryMetrics",
    "EntryState",
    "RouterObserver",
    "StreamLimits",
    "UniqueCallDriver",
    "ViewUpdateHandler",
]
