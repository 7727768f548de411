"""Messages about unique calls, between entries, agents and the ledger."""

from dataclasses import dataclass
from enum import Enum

from carobspring.domain import CallHeaders, RunStatus


class ClaimState(str, Enum):
    """State of the claim of a unique call."""

    #: The call is assigned to an agent and may have started.
    CLAIMED = "claimed"
    #: The call ran, and its response is stored.
    DONE = "done"
    #: The call was fenced before it started and may be claimed again.
    NOT_RUN = "not_run"
    #: It can't be determined whether the call ran, as its agent is gone.
    UNKNOWN = "unknown"
    #: The idempotency key belongs to another request.
    CONFLICT = "conflict"


@dataclass(frozen=True, kw_only=True)
class StoredResponse:
    """The complete response to a unique call, returned to every resend."""

    status: int
    headers: CallHeaders = ()
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Claim:
    """The committed record of a unique call.

    ``number`` increases with each claim and each new attempt and is never
    reused. Agents and backend servers receive it as the fencing token.
    """

    number: int
    workspace: str
    service: str
    key: str
    request_hash: str
    server_id: str
    boot: int
    state: ClaimState
    answer: StoredResponse | None = None
    #: Wall-clock time of the last change, in milliseconds.
    changed_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class ClaimRequest:
    """Asks for the right to run a unique call on one agent.

    ``replaces`` is the number of the claim in state NOT_RUN that this request
    retries; zero for a first attempt.
    """

    workspace: str
    service: str
    key: str
    request_hash: str
    server_id: str
    boot: int
    replaces: int = 0
    #: Tells a resend of this message from a request by another entry.
    request_id: str = ""


@dataclass(frozen=True, kw_only=True)
class ClaimReply:
    """The current claim; ``granted`` is set if the requester may run it."""

    claim: Claim | None = None
    granted: bool = False
    #: Code of the reason why the claim was not processed, such as
    #: "not_leader" or "no_quorum".
    error: str = ""
    leader: str = ""


@dataclass(frozen=True, kw_only=True)
class OutcomeReport:
    """Reports the outcome of a claim, to be committed."""

    number: int
    run_status: RunStatus
    answer: StoredResponse | None = None
    #: Boot number of the reporting agent; zero if another process reports.
    #: Such a report can only be "unknown", and only once the agent is gone.
    boot: int = 0


@dataclass(frozen=True, kw_only=True)
class OutcomeReply:
    """The claim after the report was committed."""

    claim: Claim | None = None
    error: str = ""
    leader: str = ""
