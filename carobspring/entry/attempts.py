"""One attempt of a call at one agent, as both kinds of driver make it."""

from collections.abc import Callable

from carobspring.domain import RunStatus, ServiceKind
from carobspring.entry.answers import CallerAnswer
from carobspring.entry.following import AGENT_LOST, UNREACHABLE, CallProgress
from carobspring.entry.measures import CallTimes
from carobspring.entry.parts import DriverParts
from carobspring.entry.requests import CallerRequest
from carobspring.protocol import CallEnd, CallEvent, ResumeCall, RunCall
from carobspring.routing import AttemptEnd, Choice, PoolKey, RouteQuery


def build_query(call: CallerRequest) -> RouteQuery:
    """Return what routing needs to know of a call."""
    return RouteQuery(
        pool=PoolKey(kind=call.kind, target=call.target),
        priority=call.service_class.priority,
        service_class=call.service_class.name,
        affinity=call.affinity,
        sticky=call.kind is ServiceKind.MODEL and bool(call.idempotency_key),
    )


def judge_end(end: CallEnd) -> AttemptEnd:
    """Return what the end of an attempt says of the server."""
    if end.run_status is RunStatus.RAN:
        return AttemptEnd.ANSWERED
    if end.reason in (UNREACHABLE, AGENT_LOST):
        return AttemptEnd.UNREACHABLE
    if end.run_status is RunStatus.NOT_RUN:
        return AttemptEnd.REFUSED
    return AttemptEnd.FAILED


class AttemptRunner:
    """Makes the attempts of one call and tells routing how they went."""

    def __init__(
        self, *, parts: DriverParts, call: CallerRequest, answer: CallerAnswer
    ) -> None:
        self._parts = parts
        self._call = call
        self._answer = answer
        self.query = build_query(call)
        self.times = CallTimes(received=call.received)
        #: Called when the agent has something of the answer.
        self.on_answer: Callable[[], object] = lambda: None

    def build_run(
        self, *, choice: Choice, call_id: str, claim: int = 0, alone: bool = False
    ) -> RunCall:
        """Return the message that asks the chosen agent for a run."""
        call = self._call
        age_s = self._parts.clock.read_monotonic() - call.received
        return RunCall(
            call_id=call_id,
            boot=choice.server.boot,
            workspace=call.workspace.name,
            service_class=call.service_class.name,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            stream=call.stream,
            claim=claim,
            request_hash=call.request_hash,
            alone=alone,
            revision=self._parts.state.settings.revision,
            age_ms=max(0, round(age_s * 1000)),
            repeatable=not claim and call.repeatable,
        )

    async def run(self, choice: Choice, request: RunCall | ResumeCall) -> CallEnd:
        """Run or attach to a call, feeding the answer, and return its end.

        When nobody follows the call any more, its agent is told.
        """
        parts = self._parts
        server = choice.server
        call_id = request.call_id
        progress = CallProgress(call_id=call_id)

        async def deliver(event: CallEvent) -> None:
            parts.state.hear_revision(event.revision)
            now = parts.clock.read_monotonic()
            if event.load is not None:
                parts.router.record_load(server.server_id, event.load, now)
            if event.head is not None:
                self.on_answer()
                self._answer.take_head(event.head)
            if event.data:
                parts.router.record_data(server.server_id, call_id)
                self.times.note_data(now, len(event.data))
                await self._answer.take_data(event.data)

        sent_at = parts.clock.read_monotonic()
        parts.router.record_sent(choice, self.query, call_id, sent_at)
        verdict = AttemptEnd.ABANDONED
        try:
            end = await parts.follower.follow(server, request, deliver, progress)
            verdict = judge_end(end)
            return end
        finally:
            if progress.sent and progress.end is None:
                parts.canceller.cancel(server, call_id)
            ended_at = parts.clock.read_monotonic()
            parts.router.record_end(
                server.server_id, self.query, call_id, verdict, ended_at
            )
            parts.measures.broken_streams.add({}, progress.broken_streams)
            parts.measures.attempts.inc({"end": verdict.value})

    def restart(self) -> None:
        """Forget an attempt that the caller saw nothing of."""
        self._answer.restart()
        self.times.restart()

    async def finish(self) -> None:
        """Mark the answer as whole and count it."""
        await self._answer.finish()
        now = self._parts.clock.read_monotonic()
        call = self._call
        self._parts.measures.count_answer(
            call.service_class, self.times, call.stream, now
        )
