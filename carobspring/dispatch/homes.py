"""Home servers: where all entries send prompts with the same shared prefix.

A home server has probably read the prefix already and keeps it in its cache.
"""

from collections.abc import Iterable

from carobspring.dispatch.queries import DispatchQuery
from carobspring.dispatch.servers import ServerRecord
from carobspring.routing import score_server

#: Hexadecimal digits of a part's identifier that go into its score.
HASH_KEY_DIGITS = 16


def find_shared_parts(query: DispatchQuery) -> tuple[tuple[str, int], ...]:
    """Return the parts of a prompt that other requests may have.

    The last part belongs to the request or its session; where there is only
    one, it may be a session's.
    """
    return query.parts[:-1] if len(query.parts) > 1 else query.parts


def find_home(
    query: DispatchQuery, records: Iterable[ServerRecord]
) -> ServerRecord | None:
    """Return the home of a prompt's last shared part among these servers.

    By rendezvous hashing every entry finds the same one without coordination,
    and only the prompts of a server that leaves get another home.
    """
    shared = find_shared_parts(query)
    if not shared:
        return None
    key = hash_part(shared[-1][0])
    return max(
        records,
        key=lambda record: score_server(key, record.server.server_id),
        default=None,
    )


def hash_part(part: str) -> int:
    """Return a number for a part's identifier, usually a hexadecimal hash."""
    try:
        return int(part[:HASH_KEY_DIGITS], 16)
    except ValueError:
        return sum(part.encode())
