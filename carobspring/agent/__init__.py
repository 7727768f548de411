"""The agent beside a backend server: calls, their output, claims, strikes.

The tables do no I/O. The call manager drives them on asyncio and reaches the
outside through the ports.
"""

from carobspring.agent.claims import ClaimTable
from carobspring.agent.executor import CallExecutor
from carobspring.agent.health import HealthProbe
from carobspring.agent.manager import CallManager
from carobspring.agent.progress import RunProgress
from carobspring.agent.quarantine import Quarantine
from carobspring.agent.records import (
    CallRecord,
    CallState,
    CallTable,
    OutputReader,
    TableLimits,
)
from carobspring.agent.requests import build_backend_request
from carobspring.agent.state import AgentState
from carobspring.agent.timings import CallTimings

__all__ = [
    "AgentState",
    "CallExecutor",
    "CallManager",
    "CallRecord",
    "CallState",
    "CallTable",
    "CallTimings",
    "ClaimTable",
    "HealthProbe",
    "OutputReader",
    "Quarantine",
    "RunProgress",
    "TableLimits",
    "build_backend_request",
]
