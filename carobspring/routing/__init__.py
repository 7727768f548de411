"""The decision core of routing: which backend server a call goes to.

Sans-IO: it takes typed events and the time, and returns typed choices.
"""

from carobspring.routing.queries import Choice, PoolKey, RouteQuery
from carobspring.routing.router import Router

__all__ = ["Choice", "PoolKey", "RouteQuery", "Router"]
