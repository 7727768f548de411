"""Messages between entries and the gates of engines.

An entry sends AdmissionReport and receives AdmissionUpdate. A gate never sends
a request itself: an admission only says that the engine has room now.
"""

from dataclasses import dataclass
from typing import Final

#: Seconds between two messages of either side at most, and after which one
#: that says nothing is given up.
ADMISSION_HEARTBEAT_INTERVAL_S: Final = 2.5
ADMISSION_SILENCE_TIMEOUT_S: Final = 6.0


@dataclass(frozen=True, kw_only=True)
class AdmissionRequest:
    """Asks for room for one request at an engine."""

    request_id: str
    server_id: str = ""
    #: Rank; 0 goes first.
    rank: int = 0
    #: Prompt tokens that the engine probably has to read.
    unread_tokens: int = 0
    #: Milliseconds to the time at which its first event is late.
    target_left_ms: int = 0
    #: Milliseconds to the time at which its caller stops waiting.
    deadline_left_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class AdmissionRelease:
    """Names a request whose prompt is read, or that ended or gave up."""

    request_id: str
    server_id: str = ""


@dataclass(frozen=True, kw_only=True)
class AdmissionReport:
    """What happened at an entry since its last message."""

    asks: tuple[AdmissionRequest, ...] = ()
    left: tuple[AdmissionRelease, ...] = ()


@dataclass(frozen=True, kw_only=True)
class AdmissionDecision:
    """Says whether a request may go to its engine."""

    request_id: str
    admitted: bool
    #: How long an admitted request waited, or the expected wait of one that
    #: is turned away, milliseconds.
    wait_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """Prompt tokens that an engine has before it."""

    #: Admitted and not known to be read.
    reading_tokens: int = 0
    #: Rank to tokens of that rank which wait.
    waiting_tokens: dict[int, int] | None = None
    #: Tokens read in a second lately.
    tokens_per_s: float = 0.0

    @property
    def total_tokens(self) -> int:
        """Tokens at the engine and before it."""
        return self.reading_tokens + sum((self.waiting_tokens or {}).values())


@dataclass(frozen=True, kw_only=True)
class AdmissionUpdate:
    """Decisions for an entry, and loads; without both a heartbeat."""

    decisions: tuple[AdmissionDecision, ...] = ()
    #: Loads that changed, by the engine's name.
    loads: dict[str, EngineLoad] | None = None
