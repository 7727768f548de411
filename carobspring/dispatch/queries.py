"""The dispatcher's input and output: queries, placements and outcomes."""

from dataclasses import dataclass
from enum import Enum

from carobspring.domain import BackendServer


@dataclass(frozen=True, kw_only=True)
class DispatchQuery:
    """What is known about a request before it is sent."""

    request_id: str
    service: str
    #: Rank; 0 is served first.
    priority: int = 0
    #: Monotonic time by which its response must be complete.
    deadline: float
    #: Target time to the first event of a stream, or to another response,
    #: seconds.
    target_s: float = 0.0
    #: Monotonic time after which that target is missed.
    due_at: float = float("inf")
    is_stream: bool = False
    #: Longest gap between events that meets a stream's target, seconds.
    event_gap_target_s: float = 0.0
    prompt_tokens: int = 0
    #: Expected tokens of output: the caller's hint, or the maximum.
    output_tokens: int = 0
    #: Most tokens of output; zero if the caller gives no maximum.
    max_output_tokens: int = 0
    #: Parts of the prompt in order, as identifier and tokens.
    parts: tuple[tuple[str, int], ...] = ()
    #: Version of the software of the servers that may run it, or None if any
    #: may. A stream goes on only at the version that began it.
    software_version: str | None = None


class Obstacle(str, Enum):
    """Why a server may not get a request now.

    The values are fields of the log.
    """

    #: The request was there already, or its engine rejected it.
    TRIED = "tried"
    #: Its software has another version than the request needs.
    OTHER_VERSION = "other_version"
    #: Connections to it fail, and no probe is due.
    FAILING = "failing"
    #: It takes no further request by the limit that it announced.
    LIMITED = "limited"
    #: It turned a request away and asked for rest.
    RESTING = "resting"
    #: It has just rested, and gets its load back by degrees.
    RETURNING = "returning"


@dataclass(frozen=True, kw_only=True)
class Placement:
    """The backend server that a request goes to."""

    server: BackendServer
    #: Prompt tokens that the server probably has to read.
    unread_tokens: float = 0.0
    #: A server that probably keeps the prompt's shared parts, to copy them
    #: from, or None.
    prompt_source: BackendServer | None = None
    #: Whether to wait for a permit if the server limits its requests, because
    #: no other server is left.
    may_wait: bool = False
    #: The figures that decided the choice, and what stood in the way of other
    #: servers, for the log.
    reason: str = ""


class RefusalReason(str, Enum):
    """Why a request gets no backend server."""

    #: No server of the service is listed, or all are draining.
    NO_SERVERS = "no_servers"
    #: Every available server has refused it or failed.
    ALL_TRIED = "all_tried"
    #: No available server has the software version that began its stream.
    NO_SERVER_OF_VERSION = "no_server_of_version"
    #: Every server that could take it asked for rest.
    RESTING = "resting"
    #: It resumes a stream, and no entry knows which version began that.
    UNKNOWN_STREAM = "unknown_stream"
    #: The deadline can't be met any more.
    TOO_LATE = "too_late"
    #: The servers are full, and other requests go first.
    OVERLOAD = "overload"
    #: The retry budget, shared by all requests, is used up.
    BUDGET = "budget"
    #: Several servers have crashed while the request ran there.
    QUARANTINED = "quarantined"
    #: Several servers have crashed under requests with parts of its prompt.
    QUARANTINED_PARTS = "quarantined_parts"
    #: The entry stops, and the request may last longer than that takes.
    STOPPING = "stopping"


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A request is refused without having run."""

    reason: RefusalReason
    #: Seconds after which the caller should retry.
    retry_after_s: float
    #: Seconds after which a server may take it, or None if that isn't known.
    wait_s: float | None = None
    #: What stood in the way of the servers, for the log.
    detail: str = ""


class AttemptOutcome(Enum):
    """How an attempt at a server ended."""

    #: The response was complete.
    ANSWERED = "answered"
    #: The server responded with an error status.
    SERVER_ERROR = "server_error"
    #: The server reported that it has not run the request.
    NOT_RUN = "not_run"
    #: Another server has the address now.
    MISDIRECTED = "misdirected"
    #: No connection could be opened, so nothing was sent.
    UNREACHABLE = "unreachable"
    #: The request was sent, but no complete response was received.
    INCOMPLETE = "cut"
    #: The server does not take a head as long as the request's: no fault of
    #: the server.
    HEAD_REJECTED = "head_rejected"
    #: The caller disconnected or timed out: no fault of the server.
    ABANDONED = "abandoned"
