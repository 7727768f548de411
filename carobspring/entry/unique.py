"""Driving a unique call: committing a claim, then running at most once."""

import asyncio
import uuid

from carobspring.adapters import paths
from carobspring.domain import RunStatus
from carobspring.entry.agent_client import fence_claim
from carobspring.entry.attempts import AttemptRunner
from carobspring.entry.dependencies import DriverDependencies
from carobspring.entry.driver import (
    check_quarantined,
    check_strikes,
    compute_retry_after_ms,
)
from carobspring.entry.errors import CallError
from carobspring.entry.requests import CallerRequest
from carobspring.entry.responses import CallerResponse
from carobspring.protocol import (
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    OutcomeReply,
    OutcomeReport,
    ResponseHead,
    ResumeCall,
)
from carobspring.routing import Choice

#: Rounds of claiming, fencing and running, after which the caller has to
#: retry.
MAX_ROUNDS = 8
ROUND_DELAY_S = 0.05
RETRY_ADVICE = "Ask again with the same Idempotency-Key."
STALE_BOOT = "stale_boot"
EXPIRED = "expired"
#: Value of ``ClaimRequest.replaces`` that matches no claim. Such a request
#: returns the existing claim and is never granted a new one.
READ_ONLY = -1


class UniqueCallDriver:
    """Drives one unique call to its only outcome, whichever entry it uses.

    Each round requests the claim from the ledger and acts on its state.
    Nothing is sent to an agent before the claim is granted, and "not run" is
    reported only after the claim has been fenced and the ledger has committed
    that it did not run.
    """

    def __init__(
        self,
        *,
        dependencies: DriverDependencies,
        call: CallerRequest,
        response: CallerResponse,
    ) -> None:
        self._dependencies = dependencies
        self._call = call
        self._response = response
        self._attempts = AttemptRunner(
            dependencies=dependencies, call=call, response=response
        )
        self._excluded: set[str] = set()
        self._retry_hints_ms: list[int] = []
        #: Number of the claim known not to have run, which the next claim
        #: replaces.
        self._replaced_claim = 0
        #: Whether every claim that may have run is fenced or has an outcome.
        self._is_fenced = False

    @property
    def wasted_bytes(self) -> int:
        """Response bytes received so far, which are wasted on failure."""
        return self._attempts.timing.size

    async def run(self) -> None:
        """Drive the call to its end and complete the response.

        Raises:
            CallError: The call has no response, or its outcome is unknown.
        """
        self._dependencies.router.budget.record_call()
        for round_index in range(MAX_ROUNDS):
            choice = self._choose_server()
            reply = await self._request_claim(choice)
            claim = reply.claim
            if claim is None:
                self._handle_refused_claim(choice, reply.error)
            elif choice is not None and reply.granted:
                if await self._run_claim(choice, claim):
                    return
            elif await self._handle_claim(claim):
                return
            elif choice is None and claim.state is ClaimState.NOT_RUN:
                raise self._build_no_server_error()
            if self._response.has_started:
                # A further round would begin the response once more.
                raise self._build_still_running_error()
            self._attempts.reset()
            await asyncio.sleep(ROUND_DELAY_S * round_index)
        raise self._build_still_running_error()

    async def _request_claim(self, choice: Choice | None) -> ClaimReply:
        """Request the claim, or only its state if no server is available."""
        call = self._call
        request = ClaimRequest(
            workspace=call.workspace.name,
            service=call.target,
            key=call.idempotency_key,
            request_hash=call.request_hash,
            server_id=choice.server.server_id if choice else "",
            boot=choice.server.boot if choice else 0,
            replaces=self._replaced_claim if choice else READ_ONLY,
            request_id=uuid.uuid4().hex,
        )
        reply = await self._dependencies.control.send_request(
            paths.CLAIM_CALL, request, ClaimReply, self._dependencies.claim_timeout_s
        )
        if reply is None:
            raise self._build_claim_error("no_quorum")
        return reply

    async def _run_claim(self, choice: Choice, claim: Claim) -> bool:
        """Run a granted claim; return whether the response is complete."""
        self._is_fenced = False
        try:
            alone = check_strikes(self._dependencies, self._call, RunStatus.NOT_RUN)
        except CallError:
            await self._commit_outcome(claim, RunStatus.NOT_RUN, claim.boot)
            raise
        run = self._attempts.build_run_call(
            choice=choice, call_id=uuid.uuid4().hex, claim=claim.number, alone=alone
        )
        end = await self._attempts.run(choice, run)
        if end.run_status is RunStatus.RAN:
            await self._attempts.finish()
            return True
        if end.run_status is RunStatus.NOT_RUN:
            self._excluded.add(claim.server_id)
            if end.retry_after_ms:
                self._retry_hints_ms.append(end.retry_after_ms)
            await self._commit_not_run(claim)
            check_quarantined(end, RunStatus.NOT_RUN)
            if not self._dependencies.router.budget.spend():
                raise self._build_no_server_error()
        return False

    async def _handle_claim(self, claim: Claim) -> bool:
        """Handle an existing claim; return whether it gave a response."""
        if claim.state is ClaimState.CONFLICT:
            message = (
                "This Idempotency-Key was used for another request; use a new "
                "key for a new request."
            )
            raise CallError(code="idempotency_conflict", message=message)
        if claim.state is ClaimState.DONE:
            await self._send_stored_response(claim)
            return True
        if claim.state is ClaimState.UNKNOWN:
            raise self._build_unknown_outcome_error()
        if claim.state is ClaimState.NOT_RUN:
            self._replaced_claim = claim.number
            self._is_fenced = True
            return False
        return await self._resolve_claim(claim)

    async def _resolve_claim(self, claim: Claim) -> bool:
        """Attach to a claim that may be running, or commit its outcome."""
        server = self._dependencies.router.find_server(claim.server_id)
        reply = None
        if server is not None and server.boot == claim.boot:
            reply = await fence_claim(self._dependencies.pool, server, claim)
        if reply is None or server is None:
            await self._commit_unknown(claim, boot=0)
            return False
        if reply.call_id:
            resume = ResumeCall(call_id=reply.call_id, offset=0, boot=claim.boot)
            end = await self._attempts.run(Choice(server=server), resume)
            if end.run_status is RunStatus.RAN:
                await self._attempts.finish()
                return True
            return False
        if reply.run_status is RunStatus.NOT_RUN:
            await self._commit_not_run(claim)
        elif reply.run_status is RunStatus.UNKNOWN:
            await self._commit_unknown(claim, boot=claim.boot)
        return False

    async def _commit_not_run(self, claim: Claim) -> None:
        """Commit that a fenced claim did not run."""
        reply = await self._commit_outcome(claim, RunStatus.NOT_RUN, claim.boot)
        committed = reply.claim
        if committed is None:
            raise self._build_claim_error("no_quorum")
        if committed.state is ClaimState.NOT_RUN:
            self._replaced_claim = claim.number
            self._is_fenced = True

    async def _commit_unknown(self, claim: Claim, boot: int) -> None:
        """Commit the outcome of a lost claim as unknown.

        Control accepts this if the agent itself reported it, which the
        agent's boot number shows. Otherwise control accepts it only after the
        agent's lease has expired or its boot number has changed, and until
        then the caller is told to retry.
        """
        reply = await self._commit_outcome(claim, RunStatus.UNKNOWN, boot)
        if reply.claim is None or reply.claim.state is ClaimState.CLAIMED:
            raise self._build_still_running_error()

    async def _commit_outcome(
        self, claim: Claim, status: RunStatus, boot: int
    ) -> OutcomeReply:
        report = OutcomeReport(number=claim.number, run_status=status, boot=boot)
        reply = await self._dependencies.control.send_request(
            paths.REPORT_OUTCOME,
            report,
            OutcomeReply,
            self._dependencies.claim_timeout_s,
        )
        return reply or OutcomeReply(error="no_quorum")

    async def _send_stored_response(self, claim: Claim) -> None:
        stored = claim.answer
        if stored is None:
            message = "The call ran once; its answer was too large to be kept."
            raise CallError(code="answer_not_kept", message=message, ran=RunStatus.RAN)
        now = self._dependencies.clock.read_monotonic()
        self._response.set_head(
            ResponseHead(status=stored.status, headers=stored.headers)
        )
        self._attempts.timing.record_data(now, len(stored.body))
        await self._response.receive_data(stored.body)
        await self._attempts.finish()

    def _handle_refused_claim(self, choice: Choice | None, error: str) -> None:
        if choice is None and error == EXPIRED:
            # There is neither a claim nor a server to claim the call for.
            self._is_fenced = True
            raise self._build_no_server_error()
        if choice is None or error != STALE_BOOT:
            raise self._build_claim_error(error)
        self._excluded.add(choice.server.server_id)

    def _choose_server(self) -> Choice | None:
        router = self._dependencies.router
        query = self._attempts.query
        now = self._dependencies.clock.read_monotonic()
        choice = router.choose(query, self._excluded, now)
        return choice or router.choose_for_preemption(query, self._excluded, now)

    def _build_no_server_error(self) -> CallError:
        ran = RunStatus.NOT_RUN if self._is_fenced else RunStatus.UNKNOWN
        message = f"No backend server for {self._call.target!r} takes calls now. "
        return CallError(
            code="overloaded" if self._excluded else "no_backend",
            message=message + RETRY_ADVICE,
            ran=ran,
            retry_after_ms=compute_retry_after_ms(
                self._dependencies, self._retry_hints_ms
            ),
        )

    def _build_claim_error(self, reason: str) -> CallError:
        message = "The claim of this unique call could not be committed. "
        return CallError(
            code="claim_unavailable",
            message=message + RETRY_ADVICE,
            ran=RunStatus.NOT_RUN if self._is_fenced else RunStatus.UNKNOWN,
            retry_after_ms=compute_retry_after_ms(self._dependencies, []),
            reason=reason,
        )

    def _build_still_running_error(self) -> CallError:
        message = "It is not known yet whether this call ran. "
        return CallError(
            code="still_running",
            message=message + RETRY_ADVICE,
            ran=RunStatus.UNKNOWN,
            retry_after_ms=compute_retry_after_ms(self._dependencies, [3000]),
        )

    def _build_unknown_outcome_error(self) -> CallError:
        message = (
            "The server that had this call is gone and nobody can say whether it "
            "ran. It is not run again under this key; look at its effects, and "
            "ask again later for a late outcome."
        )
        return CallError(code="outcome_unknown", message=message, ran=RunStatus.UNKNOWN)
