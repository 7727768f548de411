"""Attempts to run a call at agents, shared by both kinds of driver."""

from collections.abc import Callable

from carobspring.domain import RunStatus, ServiceKind
from carobspring.entry.call_stream import AGENT_LOST, UNREACHABLE, CallProgress
from carobspring.entry.dependencies import DriverDependencies
from carobspring.entry.metrics import CallTiming
from carobspring.entry.requests import CallerRequest
from carobspring.entry.responses import CallerResponse
from carobspring.protocol import CallEnd, CallEvent, ResumeCall, RunCall
from carobspring.routing import AttemptOutcome, Choice, PoolKey, RouteQuery


def build_route_query(call: CallerRequest) -> RouteQuery:
    """Return the routing query for a call."""
    return RouteQuery(
        pool=PoolKey(kind=call.kind, target=call.target),
        priority=call.service_class.priority,
        service_class=call.service_class.name,
        affinity=call.affinity,
        sticky=call.kind is ServiceKind.MODEL and bool(call.idempotency_key),
    )


def classify_end(end: CallEnd) -> AttemptOutcome:
    """Return what the end of an attempt says about the server."""
    if end.run_status is RunStatus.RAN:
        return AttemptOutcome.ANSWERED
    if end.reason in (UNREACHABLE, AGENT_LOST):
        return AttemptOutcome.UNREACHABLE
    if end.run_status is RunStatus.NOT_RUN:
        return AttemptOutcome.REFUSED
    return AttemptOutcome.FAILED


class AttemptRunner:
    """Runs the attempts of one call and reports their outcomes to routing."""

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
        self.query = build_route_query(call)
        self.timing = CallTiming(received_at=call.received_at)
        #: Called when the response head arrives from the agent.
        self.on_response_start: Callable[[], object] = lambda: None

    def build_run_call(
        self, *, choice: Choice, call_id: str, claim: int = 0, alone: bool = False
    ) -> RunCall:
        """Return the message that asks the chosen agent to run the call."""
        call = self._call
        age_s = self._dependencies.clock.read_monotonic() - call.received_at
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
            revision=self._dependencies.state.settings.revision,
            age_ms=max(0, round(age_s * 1000)),
            repeatable=not claim and call.is_repeatable,
        )

    async def run(self, choice: Choice, request: RunCall | ResumeCall) -> CallEnd:
        """Run a call or attach to it, write its response, return its end.

        If reading stops before the call has ended, the call is cancelled at
        its agent.
        """
        dependencies = self._dependencies
        server = choice.server
        call_id = request.call_id
        progress = CallProgress(call_id=call_id)

        async def deliver(event: CallEvent) -> None:
            dependencies.state.record_revision(event.revision)
            now = dependencies.clock.read_monotonic()
            if event.load is not None:
                dependencies.router.record_load(server.server_id, event.load, now)
            if event.head is not None:
                self.on_response_start()
                self._response.set_head(event.head)
            if event.data:
                dependencies.router.record_data(server.server_id, call_id)
                self.timing.record_data(now, len(event.data))
                await self._response.receive_data(event.data)

        sent_at = dependencies.clock.read_monotonic()
        dependencies.router.record_sent(choice, self.query, call_id, sent_at)
        outcome = AttemptOutcome.ABANDONED
        try:
            end = await dependencies.stream_reader.read_to_end(
                server, request, deliver, progress
            )
            outcome = classify_end(end)
            return end
        finally:
            if progress.sent and progress.end is None:
                dependencies.canceller.cancel(server, call_id)
            ended_at = dependencies.clock.read_monotonic()
            dependencies.router.record_end(
                server.server_id, self.query, call_id, outcome, ended_at
            )
            dependencies.metrics.broken_streams.add({}, progress.broken_streams)
            dependencies.metrics.attempts.inc({"end": outcome.value})

    def reset(self) -> None:
        """Discard the response of an attempt; the caller got none of it."""
        self._response.reset()
        self.timing.reset()

    async def finish(self) -> None:
        """Complete the response and count it."""
        await self._response.finish()
        now = self._dependencies.clock.read_monotonic()
        call = self._call
        self._dependencies.metrics.count_response(
            call.service_class, self.timing, call.stream, now
        )
