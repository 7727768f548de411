"""Home servers: where all entries send prompts with the same shared prefix.

A home server has probably read the prefix already and keeps it in its cache.
"""

from carobspring.dispatch.queries import DispatchQuery

#: Hexadecimal digits of a part's identifier that go into its score.
HASH_KEY_DIGITS = 16


def find_shared_parts(query: DispatchQuery) -> tuple[tuple[str, int], ...]:
    """Return the parts of a prompt that other requests may have.

    The last part belongs to the request or its session; where there is only
    one, it may be a session's.
    """
    return query.parts[:-1] if len(query.parts) > 1 else query.parts


def hash_part(part: str) -> int:
    """Return a number for a part's identifier, usually a hexadecimal hash."""
    try:
        return int(part[:HASH_KEY_DIGITS], 16)
    except ValueError:
        return sum(part.encode())
