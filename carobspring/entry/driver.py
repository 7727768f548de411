"""Driving a repeatable call: choosing servers, retrying, giving up."""

import asyncio
import hashlib
import uuid

from carobspring.domain import RunStatus, ServiceKind
from carobspring.entry.attempts import AttemptRunner
from carobspring.entry.dependencies import DriverDependencies
from carobspring.entry.errors import CallError
from carobspring.entry.mover import MOVED, CallMover
from carobspring.entry.requests import CallerRequest
from carobspring.entry.responses import CallerResponse
from carobspring.entry.state import STRIKE_LIMIT
from carobspring.protocol import CallEnd
from carobspring.routing import Choice

DEFAULT_RETRY_MS = 1000
MAX_RETRY_MS = 60_000
#: Bound on everything that one call may try, the walk over lower work too.
MAX_ATTEMPTS = 16
QUARANTINED = "quarantined"
BACKEND_FAILED = "backend_failed"
#: Ends of a former run whose caller or entry was gone: a resend starts anew.
EARLIER_RUN_REASONS = frozenset({"past", "cancelled", "orphaned", "lost"})


def compute_retry_after_ms(dependencies: DriverDependencies, hints: list[int]) -> int:
    """Return when to come back: soonest of the agents' advice, spread.

    The soonest, since the call may go to any of them; up to half as long
    again, so that callers who were refused together don't return together.
    """
    hint = min(hints, default=DEFAULT_RETRY_MS)
    spread = 1.0 + 0.5 * dependencies.random.draw_uniform()
    return round(min(MAX_RETRY_MS, max(1, hint) * spread))


def check_strikes(
    dependencies: DriverDependencies, call: CallerRequest, ran: RunStatus
) -> bool:
    """Say whether a call must run alone, after a crash.

    Raises:
        CallError: It was running at too many crashes to run again.
    """
    now_ms = dependencies.clock.read_wall_ms()
    strikes = dependencies.state.strikes.count(
        call.workspace.name, call.request_hash, now_ms
    )
    if strikes >= STRIKE_LIMIT:
        message = (
            "This request was running when backend servers crashed, twice; it is "
            "not run again until your operator releases it."
        )
        raise CallError(code="request_quarantined", message=message, ran=ran)
    return strikes > 0


def check_quarantined(end: CallEnd, ran: RunStatus) -> None:
    """Raise CallError when an agent refused a call for its crashes."""
    if end.reason == QUARANTINED:
        message = "This request crashed backend servers and is not run again."
        raise CallError(code="request_quarantined", message=message, ran=ran)


class CallDriver:
    """Takes one repeatable call to its answer or its final error."""

    def __init__(
        self,
        *,
        dependencies: DriverDependencies,
        call: CallerRequest,
        answer: CallerResponse,
    ) -> None:
        self._dependencies = dependencies
        self._call = call
        self._answer = answer
        self._attempts = AttemptRunner(
            dependencies=dependencies, call=call, answer=answer
        )
        self._mover = CallMover(
            dependencies=dependencies, call=call, query=self._attempts.query
        )
        self._excluded: set[str] = set()
        self._hints: list[int] = []
        self._ran = RunStatus.NOT_RUN
        self._call_id = self._derive_call_id()
        #: True while an attempt may attach to the run of a former send.
        self._may_be_former = bool(call.idempotency_key)

    @property
    def wasted_bytes(self) -> int:
        """Bytes of the answer so far, wasted when the call fails."""
        return self._attempts.timing.size

    async def run(self) -> None:
        """Drive the call to its end; the caller has its answer afterwards.

        Raises:
            CallError: The call failed, and the caller was told nothing yet or
                a part of the answer.
        """
        self._dependencies.router.budget.record_call()
        may_retry = True
        for _ in range(MAX_ATTEMPTS):
            choice = self._choose(may_retry)
            if choice is None:
                break
            end = await self._attempt(choice)
            if end.run_status is RunStatus.RAN:
                await self._attempts.finish()
                return
            if self._is_former_end(end):
                self._may_be_former = False
                self._attempts.reset()
                continue
            self._note_failure(choice, end)
            self._may_be_former = False
            self._attempts.reset()
            if end.reason == MOVED:
                # One move a call, which has not run: no retry to be paid for.
                self._dependencies.metrics.retries.inc({"reason": MOVED})
                continue
            self._excluded.add(choice.server.server_id)
            may_retry = self._dependencies.router.budget.spend()
            self._dependencies.metrics.retries.inc({"reason": end.run_status.value})
        raise self._build_refusal()

    def _choose(self, may_retry: bool) -> Choice | None:
        router = self._dependencies.router
        query = self._attempts.query
        now = self._dependencies.clock.read_monotonic()
        choice = router.choose(query, self._excluded, now) if may_retry else None
        if choice is None and self._ran is RunStatus.NOT_RUN:
            # Before a call is given up, those with lower work are asked.
            choice = router.choose_for_preemption(query, self._excluded, now)
        return choice

    async def _attempt(self, choice: Choice) -> CallEnd:
        alone = check_strikes(self._dependencies, self._call, self._ran)
        run = self._attempts.build_run_call(
            choice=choice, call_id=self._call_id, alone=alone
        )
        self._call_id = uuid.uuid4().hex
        move = asyncio.create_task(
            self._mover.watch(choice, run.call_id, self._excluded)
        )
        self._attempts.on_response_start = move.cancel
        try:
            return await self._attempts.run(choice, run)
        finally:
            move.cancel()

    def _is_former_end(self, end: CallEnd) -> bool:
        is_former = self._may_be_former and end.reason in EARLIER_RUN_REASONS
        return is_former and not self._answer.has_started

    def _note_failure(self, choice: Choice, end: CallEnd) -> None:
        check_quarantined(end, self._ran)
        if end.retry_after_ms:
            self._hints.append(end.retry_after_ms)
        if end.run_status is RunStatus.NOT_RUN:
            return
        self._ran = RunStatus.UNKNOWN
        if end.reason == BACKEND_FAILED:
            self._dependencies.state.strikes.record_observed(
                workspace=self._call.workspace.name,
                request_hash=self._call.request_hash,
                server_id=choice.server.server_id,
                boot=choice.server.boot,
                at_ms=self._dependencies.clock.read_wall_ms(),
                may_be_earlier_run=self._may_be_former,
            )
        if self._answer.has_started or not self._call.is_repeatable:
            message = (
                "The backend server failed before its answer was whole; "
                "the call may have run."
            )
            raise CallError(
                code="backend_lost",
                message=message,
                ran=RunStatus.UNKNOWN,
                reason=end.reason,
            )

    def _build_refusal(self) -> CallError:
        if not self._excluded:
            message = f"No backend server for {self._call.target!r} is available now."
            code = "no_backend"
        elif self._ran is RunStatus.UNKNOWN:
            message = "The backend servers that were tried failed; ask again."
            code = "backend_lost"
        else:
            message = "Every backend server that was asked is full; ask again later."
            code = "overloaded"
        return CallError(
            code=code,
            message=message,
            ran=self._ran,
            retry_after_ms=compute_retry_after_ms(self._dependencies, self._hints),
        )

    def _derive_call_id(self) -> str:
        """Return an identifier that a resend with the same key finds again.

        An agent that knows it attaches the resend to the run. The secret keeps
        it from being guessed, the workspace and the request from being
        crossed.
        """
        call = self._call
        if not call.idempotency_key or call.kind is not ServiceKind.MODEL:
            return uuid.uuid4().hex
        digest = hashlib.blake2b(key=self._dependencies.secret[:64], digest_size=16)
        for part in (call.workspace.name, call.idempotency_key, call.request_hash):
            raw = part.encode("utf-8", "surrogateescape")
            digest.update(len(raw).to_bytes(4, "big") + raw)
        return digest.hexdigest()
