"""The only gate to a backend server: takes calls in, runs and ends them."""

import asyncio
import contextlib
import logging
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from carobspring.agent.claims import ClaimTable
from carobspring.agent.health import HealthProbe
from carobspring.agent.progress import RunProgress
from carobspring.agent.quarantine import QUARANTINE_STRIKES, Quarantine
from carobspring.agent.records import CallRecord, CallState, CallTable
from carobspring.agent.requests import build_backend_request
from carobspring.agent.standing import Standing
from carobspring.domain import LoadReport, RunStatus, ServiceKind, Settings
from carobspring.ports import (
    Backend,
    BackendCutError,
    BackendUnreachableError,
    Clock,
)
from carobspring.protocol import (
    CallEnd,
    CancelCall,
    CancelReply,
    FenceClaim,
    FenceReply,
    OutcomeReport,
    ResponseHead,
    RunCall,
    StoredAnswer,
    Strike,
)
from carobspring.scheduling import (
    CallArrived,
    CallEnded,
    CallWithdrawn,
    ClassChanged,
    FirstTokenSeen,
    RefuseCall,
    Scheduler,
    SchedulerAction,
    StartCall,
    TokensSeen,
)

logger = logging.getLogger(__name__)

RECENT_STRIKES = 256
#: Milliseconds that a strike is reported for.
STRIKE_REPORT_MS = 10_000

CommitOutcome = Callable[[OutcomeReport, float], Awaitable[bool]]


@dataclass(frozen=True, kw_only=True)
class GateLimits:
    """Times that the gate keeps."""

    tick_s: float = 0.25
    heartbeat_s: float = 0.9
    #: Seconds that a call goes on without any reader.
    orphan_s: float = 30.0
    #: Seconds that a call waits for settings it was decided by.
    settings_s: float = 1.0
    #: Seconds without a byte, at least, before an engine counts as hanging.
    hang_s: float = 10.0
    #: The same for a call whose class and workspace were never observed.
    unknown_hang_s: float = 120.0
    #: Multiple of the expected time that may pass without a byte.
    hang_factor: float = 8.0
    #: Seconds that the entry waits for an outcome to be committed.
    commit_s: float = 10.0
    #: Seconds that the commit is tried again after that.
    late_commit_s: float = 600.0


class Gate:
    """Takes calls in, runs them in the scheduler's order, keeps their output.

    ``commit_outcome`` has the outcome of a unique call committed; its end is
    told to nobody before that.
    """

    def __init__(
        self,
        *,
        standing: Standing,
        backend: Backend,
        scheduler: Scheduler,
        clock: Clock,
        table: CallTable,
        limits: GateLimits,
        commit_outcome: CommitOutcome,
    ) -> None:
        self.standing = standing
        self.quarantine = Quarantine()
        self.claims = ClaimTable()
        self.table = table
        self.health = HealthProbe(
            backend=backend,
            clock=clock,
            read_heard_at=lambda: self._heard_at,
            note_change=self._note_health,
        )
        #: Ended calls by run status and reason, for metrics.
        self.ends: Counter[tuple[str, str]] = Counter()
        self.wasted_tokens = 0
        #: Strikes that this boot gave, for metrics.
        self.strikes = 0
        self._backend = backend
        self._scheduler = scheduler
        self._clock = clock
        self._limits = limits
        self._commit_outcome = commit_outcome
        self._heard_at = 0.0
        self._sequence = 0
        self._recent_strikes: deque[Strike] = deque(maxlen=RECENT_STRIKES)
        self._runs: dict[str, asyncio.Task[None]] = {}
        self._progress: dict[str, RunProgress] = {}
        #: Why a running call is being stopped, by its identifier.
        self._stops: dict[str, CallEnd] = {}
        self._chores: set[asyncio.Task[None]] = set()
        self._ticker: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to probe the backend server and to keep time."""
        await self.health.start()
        self._ticker = asyncio.create_task(self._keep_time())

    async def submit(self, call: RunCall) -> CallRecord | CallEnd:
        """Take a call in; return it, or why it can't run.

        A copy of a call that is known, and another call for the claim of one,
        get that call: nothing runs twice.
        """
        self.standing.note_revision(call.revision)
        await self.standing.wait_for_settings(call.revision, self._limits.settings_s)
        known = self._find_known(call)
        if known is not None:
            return known
        now = self._clock.read_monotonic()
        record = self.table.add(call, now)
        if call.claim:
            self.claims.start(call.claim, call.call_id)
        refusal = self._check_standing(call)
        if refusal is None:
            self._apply(self._scheduler.handle(self._describe(call), now))
        else:
            self._end(record, refusal)
        return record

    def cancel(self, request: CancelCall) -> CancelReply:
        """Stop a call that nobody waits for, or bar one not seen yet.

        A unique call that runs is left to its end, since its outcome is owed
        to a resend.
        """
        record = self.table.find(request.call_id)
        if record is None:
            if self.table.find_past(request.call_id) is None:
                self.table.fence(request.call_id)
            return CancelReply(cancelled=False)
        if record.call.claim and record.state is CallState.RUNNING:
            return CancelReply(cancelled=False)
        return CancelReply(cancelled=self._stop(record, "cancelled"))

    def fence(self, request: FenceClaim) -> FenceReply:
        """Say what became of a claim, barring it when it has not started."""
        if request.boot != self.standing.boot:
            return FenceReply(run_status=RunStatus.UNKNOWN)
        known = self.claims.fence(request.claim)
        kept = self.table.find(known.call_id) is not None
        return FenceReply(
            run_status=known.run_status, call_id=known.call_id if kept else ""
        )

    def build_load(self) -> LoadReport:
        """Return the load as entries see it, numbered in order."""
        self._sequence += 1
        return self._scheduler.build_report(
            sequence=self._sequence,
            draining=self.standing.draining,
            unhealthy=not self.health.healthy,
        )

    def take_settings(self, settings: Settings) -> None:
        """Take over newer settings, also for calls that wait."""
        self.standing.take_settings(settings)
        now = self._clock.read_monotonic()
        for item in self.standing.settings.classes.values():
            change = ClassChanged(service_class=item.name, priority=item.priority)
            self._apply(self._scheduler.handle(change, now))

    def find_recent_strikes(self) -> tuple[Strike, ...]:
        """Return own strikes that control may not have heard of yet.

        Each goes with every report of a while, since a report may be lost.
        """
        after = self._clock.read_wall_ms() - STRIKE_REPORT_MS
        return tuple(strike for strike in self._recent_strikes if strike.at_ms > after)

    async def drain(self) -> None:
        """Refuse new calls and wait until all have ended and been read."""
        self.standing.draining = True
        while len(self.table) or self.table.count_unread() or self._chores:
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """Stop everything at once."""
        tasks = [*self._runs.values(), *self._chores]
        if self._ticker is not None:
            tasks.append(self._ticker)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.health.close()

    def _find_known(self, call: RunCall) -> CallRecord | CallEnd | None:
        record = self.table.find(call.call_id)
        if record is not None:
            return record
        past = self.table.find_past(call.call_id)
        if past is not None:
            status = RunStatus.NOT_RUN if past is RunStatus.NOT_RUN else None
            return CallEnd(run_status=status or RunStatus.UNKNOWN, reason="past")
        if not call.claim:
            return None
        if call.boot != self.standing.boot:
            return CallEnd(run_status=RunStatus.UNKNOWN, reason="wrong_boot")
        claim = self.claims.find(call.claim)
        if claim is None:
            return None
        if claim.run_status is RunStatus.NOT_RUN:
            return CallEnd(run_status=RunStatus.NOT_RUN, reason="fenced")
        record = self.table.find(claim.call_id)
        return record or CallEnd(run_status=RunStatus.UNKNOWN, reason="forgotten")

    def _check_standing(self, call: RunCall) -> CallEnd | None:
        strikes = self.quarantine.count(call.workspace, call.request_hash)
        reason = ""
        if self.standing.draining:
            reason = "draining"
        elif strikes >= QUARANTINE_STRIKES:
            return CallEnd(run_status=RunStatus.NOT_RUN, reason="quarantined")
        elif not self.health.healthy:
            reason = "backend_unhealthy"
        elif call.revision > self.standing.settings.revision:
            reason = "settings_behind"
        if not reason:
            return None
        return self._refuse(call, reason)

    def _refuse(self, call: RunCall, reason: str) -> CallEnd:
        priority = self.standing.find_priority(call.service_class)
        now = self._clock.read_monotonic()
        wait_ms = self._scheduler.advise_retry(priority, now)
        return CallEnd(
            run_status=RunStatus.NOT_RUN, reason=reason, retry_after_ms=wait_ms
        )

    def _describe(self, call: RunCall) -> CallArrived:
        target = self.standing.find_target(call.service_class)
        target_ms = target.total_ms
        if call.stream and target.first_token_ms:
            target_ms = target.first_token_ms
        strikes = self.quarantine.count(call.workspace, call.request_hash)
        return CallArrived(
            call_id=call.call_id,
            workspace=call.workspace,
            service_class=call.service_class,
            priority=self.standing.find_priority(call.service_class),
            target_s=target_ms / 1000,
            token_gap_s=target.token_gap_ms / 1000,
            age_s=call.age_ms / 1000,
            streamed=call.stream,
            alone=call.alone or strikes > 0,
            size=len(call.body),
        )

    def _apply(self, actions: list[SchedulerAction]) -> None:
        for action in actions:
            record = self.table.find(action.call_id)
            assert record is not None
            match action:
                case StartCall():
                    record.state = CallState.RUNNING
                    run = self._run(record, action.engine_priority)
                    self._runs[action.call_id] = asyncio.create_task(run)
                case RefuseCall():
                    self._end(
                        record,
                        CallEnd(
                            run_status=RunStatus.NOT_RUN,
                            reason=action.reason,
                            retry_after_ms=action.retry_after_ms,
                        ),
                    )

    async def _run(self, record: CallRecord, engine_priority: int) -> None:
        call = record.call
        progress = RunProgress(call=call, now=self._clock.read_monotonic())
        self._progress[call.call_id] = progress
        try:
            end = await self._relay(record, progress, engine_priority)
        except asyncio.CancelledError:
            stopped = CallEnd(run_status=RunStatus.UNKNOWN, reason="stopped")
            end = self._stops.pop(call.call_id, stopped)
            self.wasted_tokens += progress.tokens
        except BackendUnreachableError:
            self.health.mark_failed()
            end = self._refuse(call, "backend_unreachable")
        except BackendCutError as error:
            await self._note_cut(call, error)
            end = CallEnd(run_status=RunStatus.UNKNOWN, reason="backend_failed")
        del self._progress[call.call_id], self._runs[call.call_id]
        whole = end.run_status is RunStatus.RAN
        if whole and call.request_hash and self._scheduler.count_running() == 1:
            at_ms = self._clock.read_wall_ms()
            self.quarantine.clear(call.workspace, call.request_hash, at_ms)
        now = self._clock.read_monotonic()
        ended = CallEnded(call_id=call.call_id, whole=whole)
        self._apply(self._scheduler.handle(ended, now))
        self._end(record, end)

    async def _relay(
        self, record: CallRecord, progress: RunProgress, engine_priority: int
    ) -> CallEnd:
        call = record.call
        kind = self.standing.kind
        request = build_backend_request(
            call, kind=kind, engine_priority=engine_priority
        )
        answer = await self._backend.send(request)
        try:
            head = ResponseHead(status=answer.status, headers=answer.headers)
            self._heard_at = self._clock.read_monotonic()
            is_model = kind is ServiceKind.MODEL
            progress.note_head(head, self._heard_at, is_model=is_model)
            record.set_head(head)
            while data := await answer.read():
                self._heard_at = now = self._clock.read_monotonic()
                if progress.note_data(data, now):
                    first = FirstTokenSeen(call_id=call.call_id)
                    self._apply(self._scheduler.handle(first, now))
                await record.write(data)
                progress.heard_at = self._clock.read_monotonic()
        finally:
            answer.close()
        if not progress.is_whole():
            raise BackendCutError(reason="the stream ended without [DONE]")
        return CallEnd(run_status=RunStatus.RAN)

    async def _note_cut(self, call: RunCall, error: BackendCutError) -> None:
        alone = self._scheduler.count_running() == 1
        if await self._backend.is_listening():
            return
        logger.warning("the backend server crashed: %s", error)
        self.health.mark_failed()
        if not call.request_hash:
            return
        strike = Strike(
            workspace=call.workspace,
            request_hash=call.request_hash,
            server_id=self.standing.server_id,
            boot=self.standing.boot,
            at_ms=self._clock.read_wall_ms(),
            alone=alone,
        )
        self.quarantine.add([strike])
        self.strikes += 1
        self._recent_strikes.append(strike)
        self.standing.note_change()

    def _end(self, record: CallRecord, end: CallEnd) -> None:
        if record.call.claim:
            chore = asyncio.create_task(self._end_claim(record, end))
            self._chores.add(chore)
            chore.add_done_callback(self._chores.discard)
        else:
            self._finish(record, end)

    def _finish(self, record: CallRecord, end: CallEnd) -> None:
        self.ends[end.run_status.value, end.reason] += 1
        self.table.finish(record, end, self._clock.read_monotonic())

    async def _end_claim(self, record: CallRecord, end: CallEnd) -> None:
        call = record.call
        self.claims.finish(call.claim, end.run_status, call.call_id)
        answer = None
        if end.run_status is RunStatus.RAN and record.head is not None:
            head = record.head
            answer = StoredAnswer(
                status=head.status, headers=head.headers, body=bytes(record.kept)
            )
        report = OutcomeReport(
            number=call.claim,
            run_status=end.run_status,
            answer=answer,
            boot=self.standing.boot,
        )
        if await self._commit_outcome(report, self._limits.commit_s):
            self._finish(record, end)
            return
        unknown = CallEnd(run_status=RunStatus.UNKNOWN, reason="outcome_not_committed")
        self._finish(record, unknown)
        await self._commit_outcome(report, self._limits.late_commit_s)

    def _stop(self, record: CallRecord, reason: str) -> bool:
        call_id = record.call.call_id
        if record.state is CallState.ENDED:
            return False
        if record.state is CallState.RUNNING:
            run = self._runs.get(call_id)
            if run is None:
                return False
            stopped = CallEnd(run_status=RunStatus.UNKNOWN, reason=reason)
            self._stops.setdefault(call_id, stopped)
            return run.cancel()
        now = self._clock.read_monotonic()
        self._apply(self._scheduler.handle(CallWithdrawn(call_id=call_id), now))
        self._end(record, self._refuse(record.call, reason))
        return True

    def _note_health(self) -> None:
        self.standing.note_change()
        if not self.health.healthy:
            for record in self.table:
                if record.state is CallState.WAITING:
                    self._stop(record, "backend_unhealthy")

    async def _keep_time(self) -> None:
        while True:
            await asyncio.sleep(self._limits.tick_s)
            now = self._clock.read_monotonic()
            for record in self.table:
                self._check_record(record, now)
            self.table.forget_old(now)

    def _check_record(self, record: CallRecord, now: float) -> None:
        for reader in record.readers:
            if now - reader.read_at >= self._limits.heartbeat_s:
                reader.beat = True
                reader.wake.set()
        call = record.call
        orphan = record.orphan_since
        if orphan is not None and now - orphan > self._limits.orphan_s:
            if not (call.claim and record.state is CallState.RUNNING):
                self._stop(record, "orphaned")
        progress = self._progress.get(call.call_id)
        if progress is None:
            return
        gap = progress.take_gap()
        if gap is not None:
            seen = TokensSeen(call_id=call.call_id, token_gap_s=gap)
            self._apply(self._scheduler.handle(seen, now))
        if self._is_hanging(call, progress, now):
            logger.warning("the backend server hangs; a call is cancelled")
            self._stop(record, "backend_hung")

    def _is_hanging(self, call: RunCall, progress: RunProgress, now: float) -> bool:
        limits = self._limits
        failing = self.health.failing_since
        if failing is not None and now - max(failing, self._heard_at) > limits.hang_s:
            return True
        expected = self._scheduler.predict_service_s(call.service_class, call.workspace)
        allowed = limits.unknown_hang_s
        if expected > 0:
            allowed = max(limits.hang_s, limits.hang_factor * expected)
        silence = now - progress.heard_at
        if now - self._heard_at < limits.hang_s:
            allowed *= 4
        return silence > allowed
