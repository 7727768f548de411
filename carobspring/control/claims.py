"""gRPC service for the claims and outcomes of unique calls, on any replica."""

from carobspring.adapters import paths
from carobspring.adapters.rpc import RpcService, make_unary_method
from carobspring.control.commands import Command
from carobspring.control.errors import ControlError
from carobspring.control.proposals import (
    CommandProposer,
    ForwardReply,
    ForwardRequest,
)
from carobspring.control.state import ControlState
from carobspring.domain import RunStatus
from carobspring.ledger import ClaimCommand, OutcomeCommand
from carobspring.protocol import (
    ClaimReply,
    ClaimRequest,
    OutcomeReply,
    OutcomeReport,
)


class ClaimService:
    """Commits claims and outcomes through the leader."""

    def __init__(self, *, state: ControlState, proposer: CommandProposer) -> None:
        self._state = state
        self._proposer = proposer

    def build_service(self) -> RpcService:
        """Return the gRPC methods."""
        return RpcService(
            [
                make_unary_method(
                    paths.CLAIM_CALL, self.claim, ClaimRequest, ClaimReply
                ),
                make_unary_method(
                    paths.REPORT_OUTCOME,
                    self.report_outcome,
                    OutcomeReport,
                    OutcomeReply,
                ),
                make_unary_method(
                    paths.FORWARD_COMMAND,
                    self._proposer.handle_forward,
                    ForwardRequest,
                    ForwardReply,
                ),
            ]
        )

    async def claim(self, request: ClaimRequest) -> ClaimReply:
        """Commit a claim and return whether it was granted."""
        if self._state.members.find_highest_boot(request.server_id) > request.boot:
            return ClaimReply(error="stale_boot")
        command = ClaimCommand(request=request, at_ms=self._state.clock.read_wall_ms())
        try:
            result = await self._proposer.propose(Command(claim=command))
        except ControlError as error:
            return ClaimReply(error=error.kind)
        return result.claim or ClaimReply(error=result.error)

    async def report_outcome(self, report: OutcomeReport) -> OutcomeReply:
        """Commit an outcome and return the resulting claim."""
        try:
            agent_gone = await self._is_holder_gone(report)
            command = OutcomeCommand(
                report=report,
                at_ms=self._state.clock.read_wall_ms(),
                agent_gone=agent_gone,
            )
            result = await self._proposer.propose(Command(outcome=command))
        except ControlError as error:
            return OutcomeReply(error=error.kind)
        return result.outcome or OutcomeReply(error=result.error)

    async def _is_holder_gone(self, report: OutcomeReport) -> bool:
        if report.run_status is not RunStatus.UNKNOWN:
            return False
        await self._proposer.confirm_read()
        claim = self._state.machine.ledger.find_claim_by_number(report.number)
        if claim is None:
            return False
        now = self._state.clock.read_monotonic()
        members = self._state.members
        return members.is_boot_gone(claim.server_id, claim.boot, now) is True
