"""Calls, and what is known about whether they ran."""

import hashlib
from enum import Enum

#: Header names and values in the order received.
CallHeaders = tuple[tuple[str, str], ...]


class RunStatus(str, Enum):
    """What is known about whether a call ran at a backend server."""

    #: The gate that owned the call refused it, and refuses late copies too.
    NOT_RUN = "not_run"
    #: The backend server gave its whole answer.
    RAN = "ran"
    #: The call was sent and its end was not seen.
    UNKNOWN = "unknown"


def hash_request(method: str, path: str, body: bytes) -> str:
    """Return a digest that is equal for equal requests.

    Unique calls use it to refuse one idempotency key with two contents, and
    quarantine uses it to know a call that crashed a backend server before.
    """
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()
