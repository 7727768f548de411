"""Commands of the replicated log and their results."""

from dataclasses import dataclass

from carobspring.control.routing import RoutingChange, RoutingResult
from carobspring.ledger import ClaimCommand, ExpireCommand, OutcomeCommand
from carobspring.metering import ClosingResult, UsageClosing
from carobspring.protocol import ClaimReply, OutcomeReply, Strike
from carobspring.settings import ChangeAnswer, ChangeRequest


@dataclass(frozen=True, kw_only=True)
class DrainChange:
    """An operator's command to drain a backend server or to end its drain."""

    server_id: str
    drain: bool
    operator: str
    at_ms: int


@dataclass(frozen=True, kw_only=True)
class StrikeRelease:
    """An operator's command to release the strikes of a request."""

    workspace: str
    request_hash: str
    operator: str
    at_ms: int


@dataclass(frozen=True, kw_only=True)
class Command:
    """One entry of the replicated log; exactly one field is set."""

    change: ChangeRequest | None = None
    claim: ClaimCommand | None = None
    outcome: OutcomeCommand | None = None
    expire: ExpireCommand | None = None
    strikes: tuple[Strike, ...] = ()
    release: StrikeRelease | None = None
    drain: DrainChange | None = None
    routing: RoutingChange | None = None
    usage: UsageClosing | None = None


@dataclass(frozen=True, kw_only=True)
class CommandResult:
    """The result of a command; the field of the command's kind is set.

    ``count`` is the number of records that an expiry, a drain change, added
    strikes or a release changed. ``error`` is set when this replica could not
    decode the command.
    """

    change: ChangeAnswer | None = None
    claim: ClaimReply | None = None
    outcome: OutcomeReply | None = None
    routing: RoutingResult | None = None
    usage: ClosingResult | None = None
    count: int = 0
    error: str = ""
