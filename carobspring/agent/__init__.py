"""The gate beside a backend server: calls, their output, claims, strikes.

The tables decide without input or output; the gate runs them on asyncio over
the ports.
"""

from carobspring.agent.claims import ClaimTable
from carobspring.agent.gate import Gate
from carobspring.agent.health import HealthProbe
from carobspring.agent.limits import GateLimits
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
from carobspring.agent.runs import Runs
from carobspring.agent.standing import Standing

__all__ = [
    "CallRecord",
    "CallState",
    "CallTable",
    "ClaimTable",
    "Gate",
    "GateLimits",
    "HealthProbe",
    "OutputReader",
    "Quarantine",
    "RunProgress",
    "Runs",
    "Standing",
    "TableLimits",
    "build_backend_request",
]
