"""Choosing the backend server that a call goes to.

The package does no I/O. It takes typed events and the current time as
arguments and returns typed choices.
"""

from carobspring.routing.affinity import score_server
from carobspring.routing.breaker import BreakerState, CircuitBreaker
from carobspring.routing.errors import RoutingError, RoutingLimitError
from carobspring.routing.limits import RoutingLimits
from carobspring.routing.queries import AttemptOutcome, Choice, PoolKey, RouteQuery
from carobspring.routing.router import Router
from carobspring.routing.smoothing import SmoothedValue

__all__ = [
    "AttemptOutcome",
    "BreakerState",
    "Choice",
    "CircuitBreaker",
    "PoolKey",
    "RouteQuery",
    "Router",
    "RoutingError",
    "RoutingLimitError",
    "RoutingLimits",
    "SmoothedValue",
    "score_server",
]
