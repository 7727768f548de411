"""Messages about unique calls, between entries, agents and the ledger."""

from dataclasses import dataclass
from enum import Enum

from carobspring.domain import CallHeaders, RunStatus


class ClaimState(str, Enum):
    """Where a unique call stands."""

    #: Assigned to an agent; it may have started.
    CLAIMED = "claimed"
    #: Its answer is stored.
    DONE = "done"
    #: It was fenced before it started; it may be claimed anew.
    NOT_RUN = "not_run"
    #: The agent that had it is gone; nobody can say whether it ran.
    UNKNOWN = "unknown"
    #: The idempotency key stands for another request.
    CONFLICT = "conflict"


@dataclass(frozen=True, kw_only=True)
class StoredResponse:
    """The whole answer of a unique call, as every resend gets it."""

    status: int
    headers: CallHeaders = ()
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Claim:
    """The committed record of a unique call.

    ``number`` grows with each claim and each new attempt and is never used
    twice; it is the fencing token that agents and backend servers see.
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

    ``replaces`` names the number of a claim in state NOT_RUN that this one
    follows; zero for a first attempt.
    """

    workspace: str
    service: str
    key: str
    request_hash: str
    server_id: str
    boot: int
    replaces: int = 0
    #: Distinguishes a resend of this message from another entry's request.
    request_id: str = ""


@dataclass(frozen=True, kw_only=True)
class ClaimReply:
    """The claim as it stands; ``granted`` when this request may run it."""

    claim: Claim | None = None
    granted: bool = False
    #: Set when the replica could not answer: "not_leader", "no_quorum" ...
    error: str = ""
    leader: str = ""


@dataclass(frozen=True, kw_only=True)
class OutcomeReport:
    """Reports what became of a claim, to be committed."""

    number: int
    run_status: RunStatus
    answer: StoredResponse | None = None
    #: Boot number of the agent whose word this is; zero for the suspicion of
    #: another process, which can only be "unknown" and needs the agent gone.
    boot: int = 0


@dataclass(frozen=True, kw_only=True)
class OutcomeReply:
    """The claim after the report was committed."""

    claim: Claim | None = None
    error: str = ""
    leader: str = ""
