"""Commands of the replicated log that the ledger applies."""

from dataclasses import dataclass

from carobspring.protocol import ClaimRequest, OutcomeReport


@dataclass(frozen=True, kw_only=True)
class ClaimCommand:
    """A claim request, with the wall clock of the replica that took it."""

    request: ClaimRequest
    at_ms: int


@dataclass(frozen=True, kw_only=True)
class OutcomeCommand:
    """An outcome report, with what the replica's membership says.

    ``agent_gone`` is set when the boot that holds the claim was replaced or
    its lease ran out; an outcome "unknown" by another process needs it.
    """

    report: OutcomeReport
    at_ms: int
    agent_gone: bool = False


@dataclass(frozen=True, kw_only=True)
class ExpireCommand:
    """Lets go of what is older than its retention at this time."""

    at_ms: int
