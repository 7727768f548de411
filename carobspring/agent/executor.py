"""Execution of calls at the backend server."""

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable

from carobspring.adapters.tasks import start_task
from carobspring.agent.health import HealthProbe
from carobspring.agent.progress import RunProgress
from carobspring.agent.quarantine import Quarantine
from carobspring.agent.records import CallRecord
from carobspring.agent.requests import build_backend_request
from carobspring.agent.state import AgentState
from carobspring.agent.timings import CallTimings
from carobspring.domain import RunStatus, ServiceKind
from carobspring.ports import (
    Backend,
    BackendResponse,
    BackendUnreachableError,
    Clock,
    IncompleteResponseError,
)
from carobspring.protocol import CallEnd, ResponseHead, RunCall, Strike
from carobspring.scheduling import FirstTokenReceived, SchedulerEvent, TokenGapMeasured

MAX_RECENT_STRIKES = 256
#: How long a strike is included in reports to control.
STRIKE_REPORT_MS = 10_000

#: Reason for stopping a call that is queued again afterwards.
PREEMPTED = "preempted"

logger = logging.getLogger(__name__)


class CallExecutor:
    """Runs calls at the backend server and reports how each ended.

    Args:
        agent_state: The identity of the agent.
        backend: The backend server.
        clock: The clock.
        timings: Limits after which a call counts as hung.
        quarantine: Receives the strikes of a crash.
        on_event: Called with events for the scheduler.
        on_end: Called once for each call that ended, but not after ``close``.
        on_preempted: Called instead for a call that was preempted and may be
            started again.
        on_health_change: Called when the backend server's health changes.
    """

    def __init__(
        self,
        *,
        agent_state: AgentState,
        backend: Backend,
        clock: Clock,
        timings: CallTimings,
        quarantine: Quarantine,
        on_event: Callable[[SchedulerEvent], None],
        on_end: Callable[[CallRecord, CallEnd], None],
        on_preempted: Callable[[CallRecord], None],
        on_health_change: Callable[[], None],
    ) -> None:
        self.health = HealthProbe(
            backend=backend,
            clock=clock,
            read_last_byte_at=lambda: self._last_byte_at,
            on_change=on_health_change,
        )
        self.wasted_tokens = 0
        #: Number of strikes that were recorded since the agent started.
        self.strike_count = 0
        self._agent_state = agent_state
        self._backend = backend
        self._clock = clock
        self._timings = timings
        self._quarantine = quarantine
        self._on_event = on_event
        self._on_end = on_end
        self._on_preempted = on_preempted
        self._last_byte_at = 0.0
        self._closing = False
        self._tasks: dict[str, asyncio.Task[CallEnd]] = {}
        self._progress: dict[str, RunProgress] = {}
        #: Reason for which a running call is being stopped, by call id.
        self._stops: dict[str, str] = {}
        self._recent_strikes: deque[Strike] = deque(maxlen=MAX_RECENT_STRIKES)

    def start(self, record: CallRecord, engine_priority: int) -> None:
        """Send a call to the backend server."""
        call_id = record.call.call_id
        now = self._clock.read_monotonic()
        self._progress[call_id] = RunProgress(call=record.call, now=now)
        task = start_task(self._run(record, engine_priority), name="run call")
        self._tasks[call_id] = task
        task.add_done_callback(lambda done: self._on_task_done(record, done))

    def stop(self, record: CallRecord, reason: str) -> bool:
        """Cancel a call; return whether it was still running."""
        call_id = record.call.call_id
        task = self._tasks.get(call_id)
        if task is None or task.done():
            return False
        if self._stops.get(call_id, PREEMPTED) == PREEMPTED:
            self._stops[call_id] = reason
        return task.cancel()

    def preempt(self, record: CallRecord) -> None:
        """Cancel a call unless its response has begun; it can run again."""
        if record.head is None:
            self.stop(record, PREEMPTED)

    def find_recent_strikes(self) -> tuple[Strike, ...]:
        """Return the strikes to include in a report to control.

        Each strike is repeated in reports for a while, since one may be lost.
        """
        since_ms = self._clock.read_wall_ms() - STRIKE_REPORT_MS
        return tuple(
            strike for strike in self._recent_strikes if strike.at_ms > since_ms
        )

    def check(self, record: CallRecord, *, expected_s: float, now: float) -> None:
        """Report a running call's token gap, and cancel it if it hangs."""
        progress = self._progress.get(record.call.call_id)
        if progress is None:
            return
        gap = progress.take_token_gap()
        if gap is not None:
            call_id = record.call.call_id
            self._on_event(TokenGapMeasured(call_id=call_id, token_gap_s=gap))
        if self._is_hung(progress, expected_s, now):
            if self.stop(record, "backend_hung"):
                logger.warning("the backend server hangs; cancelling a call")

    async def close(self) -> None:
        """Cancel all calls without starting others, and stop probing."""
        self._closing = True
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.health.close()

    async def _run(self, record: CallRecord, engine_priority: int) -> CallEnd:
        try:
            await self._relay(record, engine_priority)
        except BackendUnreachableError:
            self.health.mark_failed()
            return CallEnd(run_status=RunStatus.NOT_RUN, reason="backend_unreachable")
        except IncompleteResponseError as error:
            crashed = await self._handle_incomplete_response(record.call, error)
            reason = "backend_failed" if crashed else "answer_cut"
            return CallEnd(run_status=RunStatus.UNKNOWN, reason=reason)
        return CallEnd(run_status=RunStatus.RAN)

    async def _relay(self, record: CallRecord, engine_priority: int) -> None:
        kind = self._agent_state.kind
        request = build_backend_request(
            record.call, kind=kind, engine_priority=engine_priority
        )
        progress = self._progress[record.call.call_id]
        response = await self._backend.send(request)
        with contextlib.closing(response):
            head = ResponseHead(status=response.status, headers=response.headers)
            self._last_byte_at = self._clock.read_monotonic()
            is_model = kind is ServiceKind.MODEL
            progress.record_head(head, self._last_byte_at, is_model=is_model)
            record.set_head(head)
            await self._relay_body(record, progress, response)
        if not progress.is_complete():
            raise IncompleteResponseError(reason="the stream ended without [DONE]")

    async def _relay_body(
        self, record: CallRecord, progress: RunProgress, response: BackendResponse
    ) -> None:
        while data := await response.read():
            self._last_byte_at = now = self._clock.read_monotonic()
            if progress.record_data(data, now):
                self._on_event(FirstTokenReceived(call_id=record.call.call_id))
            await record.write(data)
            # Time spent waiting for a slow reader is not server silence.
            progress.last_activity_at = self._clock.read_monotonic()

    async def _handle_incomplete_response(
        self, call: RunCall, error: IncompleteResponseError
    ) -> bool:
        """Return whether the server crashed, and if so record a strike.

        A server that still listens broke off only this response. In a crash
        the connection of every running call breaks, and each of these calls
        gets its own strike.
        """
        alone = len(self._tasks) == 1
        if await self._backend.is_listening():
            return False
        logger.warning("the backend server crashed: %s", error)
        self.health.mark_failed()
        strike = Strike(
            workspace=call.workspace,
            request_hash=call.request_hash,
            server_id=self._agent_state.server_id,
            boot=self._agent_state.boot,
            at_ms=self._clock.read_wall_ms(),
            alone=alone,
        )
        if call.request_hash:
            self.strike_count += 1
            self._quarantine.add([strike])
            self._recent_strikes.append(strike)
            self._agent_state.request_report()
        return True

    def _on_task_done(self, record: CallRecord, task: asyncio.Task[CallEnd]) -> None:
        call = record.call
        progress = self._progress.pop(call.call_id)
        del self._tasks[call.call_id]
        reason = self._stops.pop(call.call_id, "stopped")
        if self._closing:
            return
        if task.cancelled() and reason == PREEMPTED:
            self._on_preempted(record)
            return
        if task.cancelled():
            self.wasted_tokens += progress.tokens
            end = CallEnd(run_status=RunStatus.UNKNOWN, reason=reason)
        elif (error := task.exception()) is not None:
            logger.error("a call failed with an internal error", exc_info=error)
            end = CallEnd(run_status=RunStatus.UNKNOWN, reason="internal_error")
        else:
            end = task.result()
        if record.exclusive and end.run_status is RunStatus.RAN:
            at_ms = self._clock.read_wall_ms()
            self._quarantine.clear(call.workspace, call.request_hash, at_ms)
        self._on_end(record, end)

    def _is_hung(self, progress: RunProgress, expected_s: float, now: float) -> bool:
        timings = self._timings
        failing_since = self.health.failing_since
        if failing_since is not None:
            return now - max(failing_since, progress.last_activity_at) > timings.hang_s
        allowed_s = timings.default_hang_s
        if expected_s > 0:
            allowed_s = max(timings.hang_s, timings.hang_factor * expected_s)
        if now - self._last_byte_at < timings.hang_s:
            allowed_s *= timings.active_server_factor
        return now - progress.last_activity_at > allowed_s
