"""Outcomes of requests and of attempts at backend servers."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from carobspring.dispatch import AttemptOutcome
from carobspring.domain import CallHeaders


class RequestOutcome(str, Enum):
    """How a request ended for its caller.

    The values are labels of metrics and fields of the log.
    """

    #: The caller got a backend server's complete response.
    RELAYED = "relayed"
    #: The gateway sent an error; the request has not run.
    REFUSED = "refused"
    #: The gateway sent an error; the request may have run.
    FAILED = "failed"
    #: The response was aborted after its start.
    ABORTED = "broken_off"
    #: The caller closed its connection.
    ABANDONED = "abandoned"


@dataclass(frozen=True, kw_only=True)
class ExchangeReport:
    """What is logged and counted when a request has ended."""

    outcome: RequestOutcome
    status: int = 0
    reason: str = ""
    #: What stood in the way of servers when the request was refused.
    obstacles: str = ""
    server_id: str = ""
    #: Software version of that server.
    server_version: str = ""
    sends: int = 0
    #: Number of engines asked for admission, and the time that took.
    admission_requests: int = 0
    admission_wait_s: float = 0.0
    #: Monotonic time of the first byte sent to the caller.
    first_byte_at: float | None = None
    #: Longest gap between two events sent to the caller, seconds.
    longest_event_gap_s: float = 0.0
    event_count: int = 0


@dataclass(frozen=True, kw_only=True)
class BufferedResponse:
    """A complete response of a backend server that can be sent later.

    An error response is sent only if no other server succeeds.
    """

    status: int
    headers: CallHeaders
    body: bytes


@dataclass(frozen=True, kw_only=True)
class AttemptResult:
    """How an attempt at one server ended."""

    outcome: AttemptOutcome
    #: Reason of a failure. It is logged, and may be the error that the caller
    #: gets and the reason in the metrics.
    detail: str = ""
    response: BufferedResponse | None = None
    #: True if the server's side ended the connection without a response.
    peer_ended: bool = False


def encode_error(reason: str) -> bytes:
    """Return the body of an error response that the gateway itself sends."""
    return msgspec.json.encode({"error": reason})
