"""Driving a repeatable call: choosing servers, retrying and failing."""

import hashlib
import uuid

from carobspring.adapters.tasks import start_task
from carobspring.domain import RunStatus, ServiceKind
from carobspring.entry.attempts import AttemptRunner
from carobspring.entry.dependencies import DriverDependencies
from carobspring.entry.errors import CallError
from carobspring.entry.mover import MOVED, CallMover
from carobspring.entry.requests import CallerRequest
from carobspring.entry.responses import CallerResponse
from carobspring.entry.state import QUARANTINE_STRIKES
from carobspring.protocol import CallEnd
from carobspring.routing import Choice

DEFAULT_RETRY_MS = 1000
MAX_RETRY_MS = 60_000
#: Maximum number of attempts for one call, including those at servers with
#: lower-priority work.
MAX_ATTEMPTS = 16
QUARANTINED = "quarantined"
BACKEND_FAILED = "backend_failed"
#: Reasons for the end of an earlier run whose caller or entry has left. A
#: resend that attached to such a run starts a new one.
EARLIER_RUN_REASONS = frozenset({"past", "cancelled", "orphaned", "lost"})


def compute_retry_after_ms(
    dependencies: DriverDependencies, hints_ms: list[int]
) -> int:
    """Return the retry delay: the agents' shortest hint, with jitter.

    The shortest hint is used because the call may go to any of the agents.
    The jitter lengthens it by up to half, so that callers refused at the
    same time don't return at the same time.
    """
    hint_ms = min(hints_ms, default=DEFAULT_RETRY_MS)
    jitter = 1.0 + 0.5 * dependencies.random.draw_uniform()
    return round(min(MAX_RETRY_MS, max(1, hint_ms) * jitter))


def check_strikes(
    dependencies: DriverDependencies, call: CallerRequest, ran: RunStatus
) -> bool:
    """Return whether a call must run alone because of an earlier crash.

    Raises:
        CallError: The call was running during too many crashes to run again.
    """
    now_ms = dependencies.clock.read_wall_ms()
    strikes = dependencies.state.strikes.count(
        call.workspace.name, call.request_hash, now_ms
    )
    if strikes >= QUARANTINE_STRIKES:
        message = (
            "This request was running when backend servers crashed, twice; it is "
            "not run again until your operator releases it."
        )
        raise CallError(code="request_quarantined", message=message, ran=ran)
    return strikes > 0


def check_quarantined(end: CallEnd, ran: RunStatus) -> None:
    """Raise CallError if an agent refused a call as quarantined."""
    if end.reason == QUARANTINED:
        message = "This request crashed backend servers and is not run again."
        raise CallError(code="request_quarantined", message=message, ran=ran)


class CallDriver:
    """Drives one repeatable call to its response or final error."""

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
        self._mover = CallMover(
            dependencies=dependencies, call=call, query=self._attempts.query
        )
        self._excluded: set[str] = set()
        self._retry_hints_ms: list[int] = []
        self._run_status = RunStatus.NOT_RUN
        self._call_id = self._derive_call_id()
        #: Whether an attempt may attach to the run of an earlier send.
        self._may_attach = bool(call.idempotency_key)

    @property
    def wasted_bytes(self) -> int:
        """Response bytes received so far, which are wasted on failure."""
        return self._attempts.timing.size

    async def run(self) -> None:
        """Drive the call to its end and complete the response.

        Raises:
            CallError: The call failed, and the caller has received nothing or
                only a part of the response.
        """
        self._dependencies.router.budget.record_call()
        may_retry = True
        for _ in range(MAX_ATTEMPTS):
            choice = self._choose_server(may_retry)
            if choice is None:
                break
            end = await self._run_attempt(choice)
            if end.run_status is RunStatus.RAN:
                await self._attempts.finish()
                return
            if self._is_end_of_earlier_run(end):
                self._may_attach = False
                self._attempts.reset()
                continue
            self._record_failure(choice, end)
            self._may_attach = False
            self._attempts.reset()
            if end.reason == MOVED:
                # A call is moved at most once and has not run, so the move
                # does not spend the retry budget.
                self._dependencies.metrics.retries.inc({"reason": MOVED})
                continue
            self._excluded.add(choice.server.server_id)
            may_retry = self._dependencies.router.budget.spend()
            self._dependencies.metrics.retries.inc({"reason": end.run_status.value})
        raise self._build_final_error()

    def _choose_server(self, may_retry: bool) -> Choice | None:
        router = self._dependencies.router
        query = self._attempts.query
        now = self._dependencies.clock.read_monotonic()
        choice = router.choose(query, self._excluded, now) if may_retry else None
        if choice is None and self._run_status is RunStatus.NOT_RUN:
            # Before the call fails, servers with lower-priority work are
            # tried, since their agents can preempt that work.
            choice = router.choose_for_preemption(query, self._excluded, now)
        return choice

    async def _run_attempt(self, choice: Choice) -> CallEnd:
        alone = check_strikes(self._dependencies, self._call, self._run_status)
        run = self._attempts.build_run_call(
            choice=choice, call_id=self._call_id, alone=alone
        )
        self._call_id = uuid.uuid4().hex
        move_task = start_task(
            self._mover.watch(choice, run.call_id, self._excluded), name="move call"
        )
        self._attempts.on_response_start = move_task.cancel
        try:
            return await self._attempts.run(choice, run)
        finally:
            move_task.cancel()

    def _is_end_of_earlier_run(self, end: CallEnd) -> bool:
        is_earlier_run = self._may_attach and end.reason in EARLIER_RUN_REASONS
        return is_earlier_run and not self._response.has_started

    def _record_failure(self, choice: Choice, end: CallEnd) -> None:
        check_quarantined(end, self._run_status)
        if end.retry_after_ms:
            self._retry_hints_ms.append(end.retry_after_ms)
        if end.run_status is RunStatus.NOT_RUN:
            return
        self._run_status = RunStatus.UNKNOWN
        if end.reason == BACKEND_FAILED:
            self._dependencies.state.strikes.record_observed(
                workspace=self._call.workspace.name,
                request_hash=self._call.request_hash,
                server_id=choice.server.server_id,
                boot=choice.server.boot,
                at_ms=self._dependencies.clock.read_wall_ms(),
                may_be_earlier_run=self._may_attach,
            )
        if self._response.has_started or not self._call.is_repeatable:
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

    def _build_final_error(self) -> CallError:
        if not self._excluded:
            message = f"No backend server for {self._call.target!r} is available now."
            code = "no_backend"
        elif self._run_status is RunStatus.UNKNOWN:
            message = "The backend servers that were tried failed; ask again."
            code = "backend_lost"
        else:
            message = "Every backend server that was asked is full; ask again later."
            code = "overloaded"
        return CallError(
            code=code,
            message=message,
            ran=self._run_status,
            retry_after_ms=compute_retry_after_ms(
                self._dependencies, self._retry_hints_ms
            ),
        )

    def _derive_call_id(self) -> str:
        """Return a call identifier that is the same for every resend.

        It is derived from the idempotency key if there is one. An agent that
        knows the identifier attaches the resend to the run. The secret
        prevents guessing; the workspace and the request hash prevent a match
        with a call of another workspace or another request.
        """
        call = self._call
        if not call.idempotency_key or call.kind is not ServiceKind.MODEL:
            return uuid.uuid4().hex
        digest = hashlib.blake2b(key=self._dependencies.secret[:64], digest_size=16)
        for part in (call.workspace.name, call.idempotency_key, call.request_hash):
            encoded = part.encode("utf-8", "surrogateescape")
            digest.update(len(encoded).to_bytes(4, "big") + encoded)
        return digest.hexdigest()
