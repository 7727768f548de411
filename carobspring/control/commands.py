"""Commands of the replicated log, and what applying them gives."""

from dataclasses import dataclass

from carobspring.control.routing import RoutingChange, RoutingResult
from carobspring.ledger import ClaimCommand, ExpireCommand, OutcomeCommand
from carobspring.protocol import ClaimReply, OutcomeReply, Strike
from carobspring.settings import ChangeAnswer, ChangeRequest


@dataclass(frozen=True, kw_only=True)
class DrainChange:
    """An operator's order to drain a backend server, or to end that."""

    server_id: str
    drain: bool
    operator: str
    at_ms: int


@dataclass(frozen=True, kw_only=True)
class StrikeRelease:
    """An operator's order to forget the strikes of a request."""

    workspace: str
    request_hash: str
    operator: str
    at_ms: int


@dataclass(frozen=True, kw_only=True)
class Command:
    """One entry of the replicated log: one of the fields is set."""

    change: ChangeRequest | None = None
    claim: ClaimCommand | None = None
    outcome: OutcomeCommand | None = None
    expire: ExpireCommand | None = None
    strikes: tuple[Strike, ...] = ()
    release: StrikeRelease | None = None
    drain: DrainChange | None = None
    routing: RoutingChange | None = None


@dataclass(frozen=True, kw_only=True)
class CommandResult:
    """What applying a command gave: the field of the command's kind is set.

    ``count`` is how many records an expiry, strikes or a release touched.
    ``error`` is set when this replica could not read the command at all.
    """

    change: ChangeAnswer | None = None
    claim: ClaimReply | None = None
    outcome: OutcomeReply | None = None
    routing: RoutingResult | None = None
    count: int = 0
    error: str = ""
