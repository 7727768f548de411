"""How a process divides the memory of its instance among its clients."""

import sys
from dataclasses import dataclass
from typing import Final

#: Memory in MB that an instance has if it is not told. Requests of the largest
#: usual size are served with it.
DEFAULT_MEMORY_MB: Final = 256
MIB: Final = 1024 * 1024
#: Memory of a process beside what it holds for clients.
PROCESS_BYTES: Final = 40 * MIB
#: Memory that the routes, the lists of servers, the servers for readiness and
#: metrics and the allocator take besides.
RESERVE_BYTES: Final = 5 * MIB
#: Programs of an instance that share its memory.
PROGRAMS: Final = 2
#: Times that a body may be in memory: as received, and as sent on.
BODY_COPIES: Final = 3
#: Smallest size of a pool for bodies: one body of the largest usual size.
MIN_POOL_BYTES: Final = 4 * MIB
#: Least memory for connections, on instances that have less than is usual.
MIN_CLIENT_BYTES: Final = 8 * MIB
#: Memory of a connection beside what it holds: its objects, and the bytes that
#: its receive buffer takes at most.
CONNECTION_BYTES: Final = 20 * 1024
#: Connections of a server for readiness or metrics. Platforms use a few; each
#: server counts its own, so more would take the descriptors of the callers.
MAX_PROBE_CONNECTIONS: Final = 64
#: Servers of a process for readiness and metrics.
PROBE_SERVERS: Final = 2
#: Descriptors for files, listeners and other processes of the system.
RESERVED_DESCRIPTORS: Final = 200
#: Part of the others for callers; the rest is for backend servers.
CONNECTION_SHARE: Final = 0.75


@dataclass(frozen=True, kw_only=True)
class MemoryPlan:
    """What a process may hold for its clients."""

    #: Bytes of bodies, in both pools.
    body_bytes: int
    #: Bytes of heads, running requests and unread responses.
    held_bytes: int
    #: Connections of callers that may be open.
    max_connections: int


#: The plan of a server for readiness or metrics, so that callers who take all
#: of the memory don't take an instance out of service too.
PROBE_PLAN: Final = MemoryPlan(
    body_bytes=MIB // 4, held_bytes=MIB, max_connections=MAX_PROBE_CONNECTIONS
)


def compute_budget_bytes(memory_mb: float) -> int:
    """Return the bytes for bodies of a process, from an instance's memory.

    Example:
        ``compute_budget_bytes(128)`` returns 8 MiB.
    """
    program_bytes = memory_mb * MIB / PROGRAMS
    free_bytes = program_bytes - PROCESS_BYTES
    return max(2 * MIN_POOL_BYTES, int(free_bytes / BODY_COPIES))


def compute_max_connections(descriptors: float) -> int:
    """Return how many connections of callers the descriptors allow."""
    return max(1, int((descriptors - RESERVED_DESCRIPTORS) * CONNECTION_SHARE))


def plan_memory(*, memory_mb: float = 0, max_descriptors: int = 0) -> MemoryPlan:
    """Divide the memory that a process may use.

    Bodies come first. Connections and what they hold share the rest equally.
    Zero stands for a limit that the instance is not told.

    Example:
        ``plan_memory(memory_mb=88).max_connections`` returns 358.
    """
    memory_mb = memory_mb or DEFAULT_MEMORY_MB
    body_bytes = compute_budget_bytes(memory_mb)
    free_bytes = memory_mb * MIB - PROCESS_BYTES - RESERVE_BYTES
    client_bytes = max(MIN_CLIENT_BYTES, free_bytes - BODY_COPIES * body_bytes)
    held_bytes = int(client_bytes / 2)
    connections = held_bytes // CONNECTION_BYTES - PROBE_SERVERS * MAX_PROBE_CONNECTIONS
    by_descriptors = (
        compute_max_connections(max_descriptors) if max_descriptors else sys.maxsize
    )
    return MemoryPlan(
        body_bytes=body_bytes,
        held_bytes=held_bytes,
        max_connections=min(connections, by_descriptors),
    )
