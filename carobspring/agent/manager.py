"""The call manager: the only way by which calls reach a backend server."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace

from carobspring.adapters.tasks import start_service_task, start_task
from carobspring.agent.claims import ClaimTable
from carobspring.agent.executor import CallExecutor
from carobspring.agent.quarantine import QUARANTINE_STRIKES, Quarantine
from carobspring.agent.records import CallRecord, CallState, CallTable
from carobspring.agent.state import AgentState
from carobspring.agent.timings import CallTimings
from carobspring.domain import LoadReport, RunStatus, ServiceKind, Settings
from carobspring.ports import Backend, Clock
from carobspring.protocol import (
    CallEnd,
    CancelCall,
    CancelReply,
    FenceClaim,
    FenceReply,
    OutcomeReport,
    RunCall,
    StoredResponse,
)
from carobspring.scheduling import (
    PREEMPTION_WAIT_FRACTION,
    CallArrived,
    CallEnded,
    CallPreempted,
    CallWithdrawn,
    ClassPriorityChanged,
    PreemptCall,
    PreemptionPolicy,
    RefuseCall,
    Scheduler,
    SchedulerEvent,
    StartCall,
    TimerExpired,
)

#: Reason for ending a waiting call that its entry sends to another agent.
MOVED = "moved"

CommitOutcome = Callable[[OutcomeReport, float], Awaitable[bool]]


class CallManager:
    """Accepts calls, runs them in the scheduler's order, keeps their output.

    Args:
        agent_state: The identity of the agent and the settings in force.
        backend: The backend server.
        scheduler: Decides which call starts, waits or is refused.
        clock: The clock.
        table: Holds the calls.
        timings: Intervals and timeouts.
        commit_outcome: Commits the outcome of a unique call, trying for a
            number of seconds, and returns whether it is committed. Readers
            see the end of the call only after that.
    """

    def __init__(
        self,
        *,
        agent_state: AgentState,
        backend: Backend,
        scheduler: Scheduler,
        clock: Clock,
        table: CallTable,
        timings: CallTimings,
        commit_outcome: CommitOutcome,
    ) -> None:
        self.agent_state = agent_state
        self.quarantine = Quarantine()
        self.claims = ClaimTable()
        self.table = table
        self.executor = CallExecutor(
            agent_state=agent_state,
            backend=backend,
            clock=clock,
            timings=timings,
            quarantine=self.quarantine,
            on_event=self._handle_event,
            on_end=self._on_end,
            on_preempted=self._on_preempted,
            on_health_change=self._on_health_change,
        )
        #: Ended calls by run status and reason, for metrics.
        self.end_counts: Counter[tuple[str, str]] = Counter()
        self._scheduler = scheduler
        self._clock = clock
        self._timings = timings
        self._commit_outcome = commit_outcome
        self._sequence = 0
        self._outcome_tasks: set[asyncio.Task[None]] = set()
        self._check_task: asyncio.Task[None] | None = None

    @property
    def preemption(self) -> PreemptionPolicy:
        """The preemption policy with its counters, for metrics."""
        return self._scheduler.preemption

    async def start(self) -> None:
        """Start probing the backend server and checking calls."""
        await self.executor.health.start()
        self._check_task = start_service_task(
            self._check_periodically, name="check calls"
        )

    async def submit(self, call: RunCall) -> CallRecord | CallEnd:
        """Accept a call; return its record, or an end that says why not.

        A duplicate of a known call, or another call for the same claim, gets
        the record of that call, so that nothing runs twice.
        """
        self.agent_state.record_revision(call.revision)
        await self.agent_state.wait_for_settings(
            call.revision, self._timings.settings_wait_s
        )
        known = self._find_earlier_call(call)
        if known is not None:
            return known
        now = self._clock.read_monotonic()
        record = self.table.add(call, now)
        if call.claim:
            self.claims.start(call.claim, call.call_id)
        refusal = self._check_admission(call)
        if refusal is None:
            arrival = self._build_arrival(call)
            record.exclusive = arrival.exclusive
            self._handle_event(arrival)
            self._schedule_preemption_check(record, arrival)
        else:
            self._end_call(record, refusal)
        return record

    def cancel(self, request: CancelCall) -> CancelReply:
        """Cancel a call, or fence one that has not arrived yet.

        A running unique call is not cancelled, since a later request with the
        same key must get its outcome. With ``only_waiting``, a call is
        cancelled only while it waits, and none is fenced.
        """
        record = self.table.find(request.call_id)
        if request.only_waiting:
            is_waiting = record is not None and record.state is CallState.WAITING
            is_moved = (
                record is not None and is_waiting and self._stop_call(record, MOVED)
            )
            return CancelReply(cancelled=is_moved)
        if record is None:
            if self.table.find_past_status(request.call_id) is None:
                self.table.fence(request.call_id)
            return CancelReply(cancelled=False)
        if record.call.claim and record.state is CallState.RUNNING:
            return CancelReply(cancelled=False)
        return CancelReply(cancelled=self._stop_call(record, "cancelled"))

    def fence(self, request: FenceClaim) -> FenceReply:
        """Return the outcome of a claim, fencing one that has not started."""
        if request.boot != self.agent_state.boot:
            return FenceReply(run_status=RunStatus.UNKNOWN)
        known = self.claims.fence(request.claim)
        is_kept = self.table.find(known.call_id) is not None
        return FenceReply(
            run_status=known.run_status, call_id=known.call_id if is_kept else ""
        )

    def build_load_report(self) -> LoadReport:
        """Return the load report for entries with the next sequence number."""
        self._sequence += 1
        return self._scheduler.build_load_report(
            sequence=self._sequence,
            draining=self.agent_state.draining,
            unhealthy=not self.executor.health.healthy,
        )

    def apply_settings(self, settings: Settings) -> None:
        """Apply newer settings, also to waiting calls."""
        self.agent_state.apply_settings(settings)
        for service_class in self.agent_state.settings.classes.values():
            self._handle_event(
                ClassPriorityChanged(
                    service_class=service_class.name, priority=service_class.priority
                )
            )

    async def drain(self) -> None:
        """Wait until calls have ended, been read, and been committed."""
        while (
            len(self.table)
            or self.table.count_ended_with_readers()
            or self._outcome_tasks
        ):
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """Stop all calls and background tasks immediately."""
        tasks = [*self._outcome_tasks]
        if self._check_task is not None:
            tasks.append(self._check_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.executor.close()

    def _find_earlier_call(self, call: RunCall) -> CallRecord | CallEnd | None:
        record = self.table.find(call.call_id)
        if record is not None:
            return record
        past_status = self.table.find_past_status(call.call_id)
        if past_status is not None:
            status = RunStatus.NOT_RUN if past_status is RunStatus.NOT_RUN else None
            return CallEnd(run_status=status or RunStatus.UNKNOWN, reason="past")
        if not call.claim:
            return None
        if call.boot != self.agent_state.boot:
            return CallEnd(run_status=RunStatus.UNKNOWN, reason="wrong_boot")
        claim = self.claims.find(call.claim)
        if claim is None:
            return None
        if claim.run_status is RunStatus.NOT_RUN:
            return CallEnd(run_status=RunStatus.NOT_RUN, reason="fenced")
        record = self.table.find(claim.call_id)
        return record or CallEnd(run_status=RunStatus.UNKNOWN, reason="forgotten")

    def _check_admission(self, call: RunCall) -> CallEnd | None:
        strikes = self.quarantine.count(call.workspace, call.request_hash)
        reason = ""
        if self.agent_state.draining:
            reason = "draining"
        elif strikes >= QUARANTINE_STRIKES:
            return CallEnd(run_status=RunStatus.NOT_RUN, reason="quarantined")
        elif not self.executor.health.healthy:
            reason = "backend_unhealthy"
        elif call.revision > self.agent_state.settings.revision:
            reason = "settings_behind"
        if not reason:
            return None
        return self._refuse(call, reason)

    def _refuse(self, call: RunCall, reason: str) -> CallEnd:
        priority = self.agent_state.find_priority(call.service_class)
        now = self._clock.read_monotonic()
        wait_ms = self._scheduler.compute_retry_after_ms(priority, now)
        return CallEnd(
            run_status=RunStatus.NOT_RUN, reason=reason, retry_after_ms=wait_ms
        )

    def _build_arrival(self, call: RunCall) -> CallArrived:
        target = self.agent_state.find_target(call.service_class)
        target_ms = target.total_ms
        if call.stream and target.first_token_ms:
            target_ms = target.first_token_ms
        strikes = self.quarantine.count(call.workspace, call.request_hash)
        is_model = self.agent_state.kind is ServiceKind.MODEL
        return CallArrived(
            call_id=call.call_id,
            workspace=call.workspace,
            service_class=call.service_class,
            priority=self.agent_state.find_priority(call.service_class),
            target_s=target_ms / 1000,
            token_gap_s=target.token_gap_ms / 1000,
            age_s=call.age_ms / 1000,
            streamed=call.stream,
            exclusive=call.alone or strikes > 0,
            restartable=is_model and call.repeatable and not call.stream,
            size_bytes=len(call.body),
        )

    def _handle_event(self, event: SchedulerEvent) -> None:
        """Pass an event to the scheduler and carry out its actions."""
        now = self._clock.read_monotonic()
        for action in self._scheduler.handle(event, now):
            record = self.table.find(action.call_id)
            assert record is not None
            match action:
                case StartCall():
                    record.state = CallState.RUNNING
                    self.executor.start(record, action.engine_priority)
                case PreemptCall():
                    self.executor.preempt(record)
                case RefuseCall():
                    end = CallEnd(
                        run_status=RunStatus.NOT_RUN,
                        reason=action.reason,
                        retry_after_ms=action.retry_after_ms,
                    )
                    self._end_call(record, end)

    def _schedule_preemption_check(
        self, record: CallRecord, arrival: CallArrived
    ) -> None:
        """Set a timer for when a waiting call may preempt another."""
        if record.state is CallState.WAITING and arrival.streamed:
            delay_s = arrival.target_s * PREEMPTION_WAIT_FRACTION - arrival.age_s
            loop = asyncio.get_running_loop()
            loop.call_later(max(0.0, delay_s), self._handle_event, TimerExpired())

    def _on_preempted(self, record: CallRecord) -> None:
        record.state = CallState.WAITING
        record.preempted = True
        self._handle_event(CallPreempted(call_id=record.call.call_id))

    def _on_end(self, record: CallRecord, end: CallEnd) -> None:
        complete = end.run_status is RunStatus.RAN
        if end.run_status is RunStatus.NOT_RUN:
            end = self._refuse(record.call, end.reason)
        self._handle_event(CallEnded(call_id=record.call.call_id, complete=complete))
        self._end_call(record, end)

    def _end_call(self, record: CallRecord, end: CallEnd) -> None:
        record.state = CallState.ENDING
        if record.preempted and end.run_status is RunStatus.NOT_RUN:
            # A preempted run did begin, so the status can't be NOT_RUN.
            end = replace(end, run_status=RunStatus.UNKNOWN)
        if not record.call.claim:
            self._finish_call(record, end)
            return
        task = start_task(self._end_claim(record, end), name="end claim")
        self._outcome_tasks.add(task)
        task.add_done_callback(self._outcome_tasks.discard)

    def _finish_call(self, record: CallRecord, end: CallEnd) -> None:
        self.end_counts[end.run_status.value, end.reason] += 1
        self.table.finish(record, end, self._clock.read_monotonic())

    async def _end_claim(self, record: CallRecord, end: CallEnd) -> None:
        call = record.call
        self.claims.finish(call.claim, end.run_status, call.call_id)
        response = None
        if end.run_status is RunStatus.RAN and record.head and not record.buffer_start:
            head = record.head
            response = StoredResponse(
                status=head.status, headers=head.headers, body=bytes(record.buffer)
            )
        report = OutcomeReport(
            number=call.claim,
            run_status=end.run_status,
            answer=response,
            boot=call.boot,
        )
        if await self._commit_outcome(report, self._timings.commit_timeout_s):
            self._finish_call(record, end)
            return
        unknown = CallEnd(run_status=RunStatus.UNKNOWN, reason="outcome_not_committed")
        self._finish_call(record, unknown)
        await self._commit_outcome(report, self._timings.late_commit_timeout_s)

    def _stop_call(self, record: CallRecord, reason: str) -> bool:
        if record.state is CallState.RUNNING:
            return self.executor.stop(record, reason)
        if record.state is not CallState.WAITING:
            return False
        refusal = self._refuse(record.call, reason)
        self._end_call(record, refusal)
        self._handle_event(CallWithdrawn(call_id=record.call.call_id))
        return True

    def _on_health_change(self) -> None:
        self.agent_state.request_report()
        if not self.executor.health.healthy:
            for record in self.table:
                self._stop_waiting(record, "backend_unhealthy")

    def _stop_waiting(self, record: CallRecord, reason: str) -> None:
        if record.state is CallState.WAITING:
            self._stop_call(record, reason)

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._timings.check_interval_s)
            self.check_calls()

    def check_calls(self) -> None:
        """Send heartbeats, and stop calls that are orphaned or hang."""
        now = self._clock.read_monotonic()
        for record in self.table:
            self._request_heartbeats(record, now)
            call = record.call
            orphan_since = record.orphan_since
            if orphan_since is not None and now - orphan_since > self._timings.orphan_s:
                if not (call.claim and record.state is CallState.RUNNING):
                    self._stop_call(record, "orphaned")
            if record.state is CallState.RUNNING:
                expected_s = self._scheduler.predict_service_time_s(
                    call.service_class, call.workspace
                )
                self.executor.check(record, expected_s=expected_s, now=now)
        self.table.evict_ended(now)

    def _request_heartbeats(self, record: CallRecord, now: float) -> None:
        for reader in record.readers:
            if now - reader.last_sent_at >= self._timings.heartbeat_s:
                reader.heartbeat_due = True
                reader.wakeup.set()
