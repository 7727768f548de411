"""Driving one call: choosing servers, following attempts, answering."""

import asyncio
import uuid
from dataclasses import dataclass

from carobspring.domain import BackendServer, RunStatus, ServiceKind
from carobspring.entry.answers import CallerAnswer
from carobspring.entry.cancelling import CallCanceller
from carobspring.entry.errors import CallError
from carobspring.entry.following import CallFollower, CallProgress
from carobspring.entry.measures import CallTimes, EntryMeasures
from carobspring.entry.requests import CallerRequest
from carobspring.entry.state import EntryState
from carobspring.ports import Clock, RandomSource
from carobspring.protocol import CallEnd, CallEvent, RunCall
from carobspring.routing import PoolKey, RouteQuery, Router

SAFE_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
DEFAULT_RETRY_MS = 1000
MAX_ATTEMPTS = 8


@dataclass(kw_only=True)
class DriverParts:
    """What a driver works with; one set for all calls of an entry."""

    router: Router
    follower: CallFollower
    canceller: CallCanceller
    state: EntryState
    measures: EntryMeasures
    clock: Clock
    random: RandomSource


class CallDriver:
    """Takes one repeatable call to its answer or its final error."""

    def __init__(
        self, *, parts: DriverParts, call: CallerRequest, answer: CallerAnswer
    ) -> None:
        self._parts = parts
        self._call = call
        self._answer = answer
        self._times = CallTimes(received=call.received)
        self._excluded: set[str] = set()
        self._retry_hints: list[int] = []

    async def run(self) -> None:
        """Drive the call to its end; the caller has its answer afterwards.

        Raises:
            CallError: The call failed, and the caller was told nothing yet or
                a part of the answer.
        """
        name = self._call.service_class.name
        try:
            await self._run_attempts()
        except CallError as error:
            self._parts.measures.count_failure(name, error.code)
            self._parts.measures.count_wasted(name, self._times.size)
            raise
        except asyncio.CancelledError:
            self._parts.measures.count_failure(name, "caller_gone")
            self._parts.measures.count_wasted(name, self._times.size)
            raise
        now = self._parts.clock.read_monotonic()
        target = self._call.service_class.target
        self._parts.measures.count_answer(
            name, self._times, target, self._call.stream, now
        )

    async def _run_attempts(self) -> None:
        query = build_query(self._call)
        for _ in range(MAX_ATTEMPTS):
            now = self._parts.clock.read_monotonic()
            choice = self._parts.router.choose(query, self._excluded, now)
            if choice is None:
                break
            end = await self._attempt(choice.server)
            if end.run_status is RunStatus.RAN:
                await self._answer.finish()
                return
            self._check_repeatable(end)
            self._excluded.add(choice.server.server_id)
            if end.retry_after_ms:
                self._retry_hints.append(end.retry_after_ms)
            self._answer.restart()
            self._parts.measures.retries.inc({"reason": end.run_status.value})
        raise self._build_refusal()

    async def _attempt(self, server: BackendServer) -> CallEnd:
        run = self._build_run(server)
        progress = CallProgress(call_id=run.call_id)
        parts = self._parts

        async def deliver(event: CallEvent) -> None:
            parts.state.hear_revision(event.revision)
            now = parts.clock.read_monotonic()
            if event.load is not None:
                parts.router.record_load(server.server_id, event.load, now)
            if event.head is not None:
                self._answer.take_head(event.head)
            if event.data:
                self._times.note_data(now, len(event.data))
                await self._answer.take_data(event.data)

        end = CallEnd(run_status=RunStatus.UNKNOWN)
        try:
            end = await parts.follower.follow(server, run, deliver, progress)
        finally:
            if progress.sent and progress.end is None:
                parts.canceller.cancel(server, run.call_id)
            for _ in range(progress.broken_streams):
                parts.measures.broken_streams.inc({})
            parts.measures.attempts.inc({"end": end.run_status.value})
        return end

    def _build_run(self, server: BackendServer) -> RunCall:
        call = self._call
        state = self._parts.state
        age_s = self._parts.clock.read_monotonic() - call.received
        return RunCall(
            call_id=uuid.uuid4().hex,
            boot=server.boot,
            workspace=call.workspace.name,
            service_class=call.service_class.name,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            stream=call.stream,
            request_hash=call.request_hash,
            alone=state.strikes.count(call.workspace.name, call.request_hash) > 0,
            revision=state.settings.revision,
            age_ms=round(age_s * 1000),
            repeatable=is_repeatable(call),
        )

    def _check_repeatable(self, end: CallEnd) -> None:
        if end.run_status is RunStatus.NOT_RUN:
            return
        if self._answer.begun or not is_repeatable(self._call):
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
        else:
            message = "Every backend server that was asked is full; ask again later."
            code = "overloaded"
        hint = min(self._retry_hints, default=DEFAULT_RETRY_MS)
        spread = 1.0 + 0.5 * self._parts.random.draw_uniform()
        return CallError(
            code=code, message=message, retry_after_ms=max(1, round(hint * spread))
        )


def is_repeatable(call: CallerRequest) -> bool:
    """Say whether a call may run again when it may have run before."""
    return call.kind is ServiceKind.MODEL or call.method in SAFE_METHODS


def build_query(call: CallerRequest) -> RouteQuery:
    """Return what routing needs to know of a call."""
    return RouteQuery(
        pool=PoolKey(kind=call.kind, target=call.target),
        priority=call.service_class.priority,
        service_class=call.service_class.name,
        affinity=call.affinity,
    )
