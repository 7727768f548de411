"""Messages between entries and the admission controllers of engines.

An entry sends AdmissionReport and receives AdmissionUpdate. The controller
never forwards the request itself: an admission only tells the entry that the
engine has capacity now.
"""

from dataclasses import dataclass
from typing import Final

#: Longest time between two messages from either side, in seconds.
ADMISSION_HEARTBEAT_INTERVAL_S: Final = 2.5
#: Seconds without a message after which the other side is treated as failed.
ADMISSION_SILENCE_TIMEOUT_S: Final = 6.0


@dataclass(frozen=True, kw_only=True)
class AdmissionRequest:
    """Asks for capacity for one request at an engine."""

    request_id: str
    server_id: str = ""
    #: Priority rank; 0 is the highest.
    rank: int = 0
    #: Estimate of the prompt tokens that the engine has to process, which
    #: leaves out those that it probably has in its cache.
    unread_tokens: int = 0
    #: Milliseconds until the first event misses its latency target.
    target_left_ms: int = 0
    #: Milliseconds until the caller stops waiting.
    deadline_left_ms: int = 0
    #: Set to ask for a permit instead, for any request: the limit that the
    #: server announced, in requests a second.
    rate_limit: float | None = None
    #: False if a request for a permit can go to another server at once.
    may_wait: bool = True


@dataclass(frozen=True, kw_only=True)
class AdmissionRelease:
    """Frees the capacity or the queue position of a request.

    Sent once the engine has processed the prompt, and when the request has
    ended or no longer waits for admission.
    """

    request_id: str
    server_id: str = ""


@dataclass(frozen=True, kw_only=True)
class AdmissionReport:
    """Requests and releases of an entry since its last message.

    A message without either is a heartbeat.
    """

    asks: tuple[AdmissionRequest, ...] = ()
    left: tuple[AdmissionRelease, ...] = ()


@dataclass(frozen=True, kw_only=True)
class AdmissionDecision:
    """States whether a request may be sent to its engine."""

    request_id: str
    admitted: bool
    #: Milliseconds that an admitted request waited, or the expected wait of a
    #: rejected one.
    wait_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """Prompt tokens that an engine still has to process."""

    #: Tokens of admitted requests that are not known to be processed.
    reading_tokens: int = 0
    #: Tokens that wait for admission, by rank.
    waiting_tokens: dict[int, int] | None = None
    #: Recent rate at which the engine processes prompt tokens.
    tokens_per_s: float = 0.0

    @property
    def total_tokens(self) -> int:
        """Tokens of admitted and of waiting requests."""
        return self.reading_tokens + sum((self.waiting_tokens or {}).values())


@dataclass(frozen=True, kw_only=True)
class AdmissionUpdate:
    """Decisions for an entry and changed loads.

    A message without either is a heartbeat.
    """

    decisions: tuple[AdmissionDecision, ...] = ()
    #: Loads that changed, by server identifier.
    loads: dict[str, EngineLoad] | None = None
