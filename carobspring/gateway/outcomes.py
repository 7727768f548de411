"""How attempts and exchanges end."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from carobspring.dispatch import AttemptOutcome
from carobspring.domain import CallHeaders


class RequestOutcome(str, Enum):
    """How a request ended for its caller."""

    #: A backend server's whole answer.
    RELAYED = "relayed"
    #: Turned away; the request has not run.
    REFUSED = "refused"
    #: A failure of the system's own; the request may have run.
    FAILED = "failed"
    #: An answer that had begun was broken off.
    BROKEN_OFF = "broken_off"
    #: The caller closed its connection.
    ABANDONED = "abandoned"


@dataclass(frozen=True, kw_only=True)
class ExchangeReport:
    """What is logged and counted once a request has ended."""

    outcome: RequestOutcome
    status: int = 0
    reason: str = ""
    server_id: str = ""
    sends: int = 0
    #: Engines whose gates were asked for room, and the time that took.
    admission_requests: int = 0
    admission_wait_s: float = 0.0
    #: Monotonic time of the first byte for the caller.
    first_byte_at: float | None = None
    #: Longest pause between two pieces for the caller, seconds.
    longest_pause_s: float = 0.0
    event_count: int = 0


@dataclass(frozen=True, kw_only=True)
class BufferedResponse:
    """A server's failure that is relayed if no other server does better."""

    status: int
    headers: CallHeaders
    body: bytes


@dataclass(frozen=True, kw_only=True)
class AttemptResult:
    """How an attempt at one server ended."""

    outcome: AttemptOutcome
    detail: str = ""
    response: BufferedResponse | None = None


def encode_error(reason: str) -> bytes:
    """Return the body of an answer of the system's own."""
    return msgspec.json.encode({"error": reason})
