"""Abstract base classes for I/O, time, randomness and replication.

Packages that make decisions depend on these interfaces only. Programs pass
in adapters that implement them, and tests pass in fakes.
"""

from carobspring.ports.backend import (
    Backend,
    BackendError,
    BackendRequest,
    BackendResponse,
    BackendUnreachableError,
    IncompleteResponseError,
    RequestWithheldError,
)
from carobspring.ports.clock import Clock
from carobspring.ports.http import (
    BodyLimiter,
    HttpHandler,
    HttpLimits,
    HttpRequest,
    HttpResponder,
    HttpServer,
)
from carobspring.ports.random import RandomSource
from carobspring.ports.replication import (
    NotLeaderError,
    QuorumLostError,
    ReplicatedLog,
    ReplicationError,
    StateMachine,
)
from carobspring.ports.storage import Storage, StorageError

__all__ = [
    "Backend",
    "BackendResponse",
    "IncompleteResponseError",
    "BackendError",
    "BackendRequest",
    "BackendUnreachableError",
    "Clock",
    "BodyLimiter",
    "HttpHandler",
    "HttpLimits",
    "HttpRequest",
    "HttpResponder",
    "HttpServer",
    "NotLeaderError",
    "QuorumLostError",
    "RandomSource",
    "ReplicatedLog",
    "RequestWithheldError",
    "ReplicationError",
    "StateMachine",
    "Storage",
    "StorageError",
]
