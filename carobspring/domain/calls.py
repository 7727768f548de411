"""Headers, run status and content hash of calls."""

import hashlib
from enum import Enum

#: Header names and values, in the order received.
CallHeaders = tuple[tuple[str, str], ...]


class RunStatus(str, Enum):
    """Whether a call was executed by a backend server, as far as known."""

    #: The agent of the call refused it, and refuses late duplicates of it as
    #: well.
    NOT_RUN = "not_run"
    #: The backend server returned its complete response.
    RAN = "ran"
    #: The call was sent and its end was not observed.
    UNKNOWN = "unknown"


def hash_request(method: str, path: str, body: bytes) -> str:
    """Return a digest of the method, path and body of a request.

    Unique calls use it to reject an idempotency key that is reused with a
    different request. Quarantine uses it to recognize a request that crashed
    a backend server before.
    """
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()
