"""Commands of the replicated log that the ledger applies."""

from dataclasses import dataclass

from carobspring.protocol import ClaimRequest, OutcomeReport


@dataclass(frozen=True, kw_only=True)
class ClaimCommand:
    """A claim request and the wall-clock time at which it was received."""

    request: ClaimRequest
    at_ms: int


@dataclass(frozen=True, kw_only=True)
class OutcomeCommand:
    """An outcome report and whether the agent of the claim is gone.

    ``agent_gone`` is set if the boot that holds the claim was replaced or its
    lease expired, as the replica's membership table shows. Without it, an
    outcome "unknown" reported by another process is refused.
    """

    report: OutcomeReport
    at_ms: int
    agent_gone: bool = False


@dataclass(frozen=True, kw_only=True)
class ExpireCommand:
    """Removes records past their retention and times out old claims."""

    at_ms: int
