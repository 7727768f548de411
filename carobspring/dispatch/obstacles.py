"""What stands in the way of sending a request to a server now.

Every way that a request goes asks here: choice, retry, move and return.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Set

from carobspring.dispatch.queries import DispatchQuery, Obstacle
from carobspring.dispatch.servers import ServerRecord
from carobspring.routing import BreakerState


def find_obstacle(
    record: ServerRecord,
    query: DispatchQuery,
    excluded: Set[str],
    now: float,
    *,
    may_wait: bool = False,
) -> Obstacle | None:
    """Return why an active server may not get a request, or None.

    ``excluded`` names the servers that the request was at already. With
    ``may_wait``, it waits for a permit if the server limits its requests.
    """
    if record.server.server_id in excluded:
        return Obstacle.TRIED
    if not has_version(record, query.software_version):
        return Obstacle.OTHER_VERSION
    if not is_available(record, now):
        return Obstacle.FAILING
    if record.notice.is_resting(now):
        return Obstacle.RESTING
    returning_limit = record.notice.find_returning_limit(now)
    if returning_limit is not None and record.count_unanswered() >= returning_limit:
        return Obstacle.RETURNING
    if not may_wait and record.is_blocked(now):
        return Obstacle.LIMITED
    return None


def count_obstacles(
    records: Iterable[ServerRecord],
    query: DispatchQuery,
    excluded: Set[str],
    now: float,
) -> Counter[Obstacle]:
    """Return what stands in the way of some servers, and of how many."""
    obstacles = (find_obstacle(record, query, excluded, now) for record in records)
    return Counter(each for each in obstacles if each is not None)


def format_obstacles(obstacles: Mapping[Obstacle, int]) -> str:
    """Return the text of counted obstacles for the log."""
    return " ".join(f"{each.value}={count}" for each, count in obstacles.items())


def has_version(record: ServerRecord, version: str | None) -> bool:
    """Return whether a server's software has a version, if one is needed."""
    return version is None or record.server.software_version == version


def is_available(record: ServerRecord, now: float) -> bool:
    """Return whether the breaker allows a request; start a due probe."""
    breaker = record.breaker
    if breaker.state is BreakerState.OPEN and now >= breaker.probe_at:
        breaker.start_probing()
    if breaker.state is BreakerState.PROBING:
        return not record.in_flight
    return breaker.state is BreakerState.CLOSED
