"""Dispatch of one request: placement, sending, retries and relaying."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any, Final, TypeVar

from carobspring import platform
from carobspring.adapters.backend_http import HttpBackend
from carobspring.dispatch import (
    AttemptOutcome,
    Dispatcher,
    DispatchQuery,
    OpenRun,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.domain import BackendServer
from carobspring.domain.routes import Repeatability, Route
from carobspring.gateway.admission import AdmissionClient
from carobspring.gateway.announcements import AnnouncementRecorder
from carobspring.gateway.backends import BackendConnections
from carobspring.gateway.crashes import CrashDetector
from carobspring.gateway.heads import (
    is_head_rejected,
    read_head_behind_refusal,
    read_own_head,
)
from carobspring.gateway.identity import RequestIdentity
from carobspring.gateway.origins import StreamOrigins
from carobspring.gateway.outcomes import (
    AttemptResult,
    BufferedResponse,
    ExchangeReport,
    RequestOutcome,
)
from carobspring.gateway.relay import ResponseRelay
from carobspring.gateway.request_admission import RequestAdmission
from carobspring.platform import ResponseMetadata
from carobspring.ports import (
    BackendRequest,
    BackendResponse,
    BackendUnreachableError,
    HttpRequest,
    HttpResponder,
    IncompleteResponseError,
    RequestWithheldError,
)
from carobspring.resumption import (
    EventSequence,
    RouteSteps,
    build_stream_key,
    compute_lifetime_s,
)

#: Seconds after the start of an entry during which it may not know all
#: servers.
STARTUP_S: Final = 4.0
#: Seconds between two attempts at a placement while servers are awaited.
SERVER_POLL_INTERVAL_S: Final = 0.05
#: Retry-After in seconds when the retry budget is used up.
BUDGET_RETRY_AFTER_S: Final = 0.5

#: Seconds between two checks whether to move a request from a silent server.
SILENCE_CHECK_INTERVAL_S: Final = 0.25

#: Outcomes that prove that the server has not run the request.
_NOT_RUN: Final = frozenset(
    {AttemptOutcome.NOT_RUN, AttemptOutcome.MISDIRECTED, AttemptOutcome.UNREACHABLE}
)
#: Outcomes that are no answer, but prove that the server works.
_SERVER_RESPONDED: Final = frozenset(
    {AttemptOutcome.SERVER_ERROR, AttemptOutcome.HEAD_REJECTED}
)

T = TypeVar("T")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class ExchangeContext:
    """The objects that all exchanges of an entry share."""

    dispatcher: Dispatcher
    connections: BackendConnections
    crash_detector: CrashDetector
    admission_client: AdmissionClient
    stream_origins: StreamOrigins
    route_steps: RouteSteps
    announcements: AnnouncementRecorder
    read_clock: Callable[[], float]
    #: Takes one retry to a service from its budget; False if none is left.
    spend_retry: Callable[[str], bool]
    #: Returns how many entries there are, this one included.
    count_entries: Callable[[], int]
    #: Monotonic time at which this entry started.
    started_at: float
    #: Counts a request of a workspace that a server began to run.
    record_run: Callable[[str], None] = lambda workspace: None


class Exchange:
    """Handles one request until its caller has a final response.

    A request that may run only once is sent again only if nothing was sent,
    or if the backend server reported that it has not run the request. The
    head of an event stream is held back until the first event, so that the
    request can still move to another server if the first one fails before
    that. Afterwards, a resumable stream continues from another server within
    the same response.
    """

    def __init__(
        self,
        *,
        context: ExchangeContext,
        request: HttpRequest,
        responder: HttpResponder,
        metadata: platform.RequestMetadata,
        route: Route,
        query: DispatchQuery,
        workspace: str,
        engine_priority: int | None,
    ) -> None:
        self._context = context
        self._request = request
        self._metadata = metadata
        self._route = route
        #: Monotonic time at which the request was taken.
        self.started_at = context.read_clock()
        self._query = query
        self._identity = RequestIdentity(
            request=request, workspace=workspace, query=query
        )
        self._engine_priority = engine_priority
        self._relay = ResponseRelay(
            request_id=metadata.request_id,
            responder=responder,
            dispatcher=context.dispatcher,
            admission_client=context.admission_client,
            read_clock=context.read_clock,
            sequence=EventSequence(
                route=route.name,
                steps=context.route_steps,
                last_id=metadata.last_event_id if self._is_resumable else "",
            ),
        )
        self._admission = RequestAdmission(
            query=query,
            dispatcher=context.dispatcher,
            admission_client=context.admission_client,
            read_clock=context.read_clock,
            count_entries=context.count_entries,
        )
        self._time_limit: asyncio.Timeout | None = None
        self._time_limit_reason = "time_limit"
        #: Servers that are not tried again.
        self._excluded: set[str] = set()
        #: Servers that were left only because they were silent.
        self._silent: set[str] = set()
        #: Servers that may have run the request.
        self._possibly_ran_on: set[str] = set()
        #: True once a server shed the request for lack of capacity.
        self._was_shed = False
        #: What stood in the way of servers when none was left.
        self._obstacles = ""
        self._sends = 0
        self._server_id = ""
        self._server_version = ""
        #: The step that an attempt awaits, if it can be stopped.
        self._step: asyncio.Future[Any] | None = None
        #: Monotonic time of the head of the last server's response.
        self._answered_since = float("-inf")
        self._failure_response: BufferedResponse | None = None
        #: True if the next retry was already taken from the budget.
        self._has_reserved_retry = False
        #: True if the request needs no further count. A stream that its caller
        #: resumes was counted with its first event.
        self._is_run_recorded = self._is_resumable and bool(metadata.last_event_id)

    @property
    def route_name(self) -> str:
        """Name of the request's route."""
        return self._route.name

    async def run(self) -> ExchangeReport:
        """Answer the caller, by the query's deadline at the latest."""
        remaining_s = self._query.deadline - self._context.read_clock()
        try:
            async with asyncio.timeout(max(0.001, remaining_s)) as self._time_limit:
                return await self._try_servers()
        except TimeoutError:
            return await self._fail(504, self._time_limit_reason)

    def end_before_response(self) -> None:
        """End the request with an error, unless its response has begun."""
        if self._time_limit is not None and not self._relay.has_started:
            self._time_limit_reason = RefusalReason.STOPPING.value
            self._time_limit.reschedule(asyncio.get_running_loop().time())

    def build_abandoned_report(self) -> ExchangeReport:
        """Return the report of a request whose caller left."""
        return self._build_report(RequestOutcome.ABANDONED, 0, "caller_left")

    async def _try_servers(self) -> ExchangeReport:
        context = self._context
        while True:
            now = context.read_clock()
            held = self._check_quarantine()
            if held is not None:
                return await self._finish_refused(held)
            placement = self._place(now)
            if isinstance(placement, Refusal):
                if self._go_back():
                    continue
                placement = self._admission.explain_refusal(placement)
                if await self._wait_for_servers(placement, now):
                    continue
                if await self._wait_for_rest(placement, now):
                    continue
                return await self._finish_refused(placement)
            if self._sends and not self._take_retry():
                return await self._finish_refused(
                    Refusal(
                        reason=RefusalReason.BUDGET,
                        retry_after_s=BUDGET_RETRY_AFTER_S,
                    )
                )
            is_admitted = await self._admission.request(
                placement, is_resumed=self._relay.has_started
            )
            if not is_admitted:
                # The retry that was taken is used for the next server.
                self._has_reserved_retry = self._sends > 0
                if self._admission.can_ask_another:
                    continue
                return await self._finish_refused(self._admission.build_refusal())
            # Crashes may have become known while the request waited.
            held = self._check_quarantine()
            if held is not None:
                server_id = placement.server.server_id
                context.admission_client.release(server_id, self._query.request_id)
                return await self._finish_refused(held)
            if not context.dispatcher.may_send(placement.server, context.read_clock()):
                # The server asked for rest while the request waited.
                self._withdraw(placement)
                continue
            result = await self._try_server(placement)
            if result.outcome is AttemptOutcome.ANSWERED:
                return self._build_report(RequestOutcome.RELAYED, 0, "")
            self._excluded.add(placement.server.server_id)
            self._was_shed |= result.outcome is AttemptOutcome.NOT_RUN
            self._failure_response = result.response or self._failure_response
            if result.peer_ended:
                await self._context.crash_detector.investigate(placement.server)
            if result.outcome is AttemptOutcome.HEAD_REJECTED:
                # Others have the same limits, and retries are for all callers.
                return await self._finish_failed(result.detail)
            if result.outcome not in _NOT_RUN and not self._can_retry():
                return await self._finish_failed(result.detail)

    def _check_quarantine(self) -> Refusal | None:
        """Return the refusal of a request that is held back, or None."""
        hold = self._context.crash_detector.compute_hold(self._identity.list_causes)
        if hold.left_s <= 0:
            return None
        reason = RefusalReason.QUARANTINED
        if hold.is_for_parts:
            reason = RefusalReason.QUARANTINED_PARTS
        return Refusal(reason=reason, retry_after_s=hold.left_s)

    def _place(self, now: float) -> Placement | Refusal:
        """Choose a server, away from other requests that may crash theirs."""
        excluded = self._excluded | self._admission.rejected_servers
        avoided = self._context.crash_detector.list_avoided_servers(
            self._identity.list_causes
        )
        if avoided - excluded:
            placement = self._context.dispatcher.place(
                self._query, excluded | avoided, now
            )
            if isinstance(placement, Placement):
                return placement
        return self._context.dispatcher.place(self._query, excluded, now)

    def _go_back(self) -> bool:
        """Allow the servers that were only silent, if no other is left.

        A server that is silent may be sound. The stream can go on there, as
        nobody else takes it.
        """
        silent, self._silent = self._silent, set()
        self._excluded -= silent
        return bool(silent)

    async def _wait_for_servers(self, refusal: Refusal, now: float) -> bool:
        """Wait for servers that a newly started entry doesn't know yet.

        After a power failure, the list may still hold earlier identifiers of
        servers that have restarted under new ones. Each of those servers
        reports that it has not run the request.
        """
        context = self._context
        reasons = (RefusalReason.NO_SERVERS, RefusalReason.ALL_TRIED)
        is_unserved = not self._possibly_ran_on and not self._was_shed
        if refusal.reason not in reasons or not is_unserved:
            return False
        if now - context.started_at >= STARTUP_S:
            return False
        await asyncio.sleep(SERVER_POLL_INTERVAL_S)
        return True

    async def _wait_for_rest(self, refusal: Refusal, now: float) -> bool:
        """Wait for a server that rests, if that is early enough."""
        if refusal.wait_s is None:
            return False
        if now + refusal.wait_s > min(self._query.due_at, self._query.deadline):
            return False
        await asyncio.sleep(refusal.wait_s)
        return True

    def _withdraw(self, placement: Placement) -> None:
        """Take back a request that was not sent where it was placed."""
        server_id = placement.server.server_id
        self._context.admission_client.release(server_id, self._query.request_id)
        # The retry that was taken is used for the next server.
        self._has_reserved_retry = self._sends > 0

    def _take_retry(self, *, in_advance: bool = False) -> bool:
        """Take one retry from the budget, unless that was done in advance."""
        if self._has_reserved_retry and not in_advance:
            self._has_reserved_retry = False
            return True
        taken = self._context.spend_retry(self._query.service)
        self._has_reserved_retry = taken and in_advance
        return taken

    @property
    def _is_resumable(self) -> bool:
        return self._route.repeatability is Repeatability.RESUMABLE_STREAM

    def _can_retry(self) -> bool:
        """Return whether one more server may run the request.

        Nothing can follow a response that has begun, unless it resumes.
        """
        if self._relay.has_started and not self._is_resumable:
            return False
        if not self._relay.can_continue:
            return False
        attempts = self._route.max_attempts
        return (
            self._route.repeatability.can_repeat
            and len(self._possibly_ran_on) < attempts
        )

    async def _try_server(self, placement: Placement) -> AttemptResult:
        context, query = self._context, self._query
        server_id = self._server_id = placement.server.server_id
        self._server_version = placement.server.software_version
        now = context.read_clock()
        client = context.connections.find(server_id)
        if client is None:
            context.admission_client.release(server_id, query.request_id)
            return AttemptResult(outcome=AttemptOutcome.UNREACHABLE, detail="unlisted")
        context.announcements.record_send(placement.server, query.request_id)
        context.dispatcher.record_sent(placement, query, now)
        self._sends += 1
        result = AttemptResult(outcome=AttemptOutcome.ABANDONED)
        run = context.crash_detector.begin(
            placement.server, self._identity.list_causes, self._stop_run
        )
        try:
            result = await self._send(client, placement)
        finally:
            ended_at = context.read_clock()
            self._end_run(run, result)
            context.admission_client.release(server_id, query.request_id)
            context.dispatcher.record_end(
                server_id, query.request_id, result.outcome, ended_at
            )
            if result.outcome is not AttemptOutcome.ANSWERED:
                self._log_failed_attempt(placement, result, ended_at - now)
        return result

    def _end_run(self, run: OpenRun, result: AttemptResult) -> None:
        crash_detector = self._context.crash_detector
        if result.outcome is AttemptOutcome.ANSWERED:
            crash_detector.end_answered(run, answered_since=self._answered_since)
        elif result.outcome in _SERVER_RESPONDED:
            crash_detector.end_failed(run)
        elif result.outcome in _NOT_RUN:
            crash_detector.end_unsent(run)
        else:
            crash_detector.end_broken(run)

    async def _send(self, client: HttpBackend, placement: Placement) -> AttemptResult:
        server_id = placement.server.server_id
        prompt_source = placement.prompt_source
        remaining_s = self._query.deadline - self._context.read_clock()
        request = self._request
        backend_request = BackendRequest(
            method=request.method,
            path=request.target,
            headers=platform.build_backend_headers(
                request.headers,
                server_id=server_id,
                workspace=self._identity.workspace,
                remaining_ms=remaining_s * 1000,
                priority=self._engine_priority,
                last_event_id=self._relay.last_event_id,
                prompt_source=(
                    f"{prompt_source.host}:{prompt_source.port}"
                    if prompt_source
                    else ""
                ),
            ),
            body=request.body,
            repeatable=self._route.repeatability.can_repeat,
            may_send=lambda: self._context.dispatcher.may_send(
                placement.server, self._context.read_clock()
            ),
        )
        self._possibly_ran_on.add(server_id)
        try:
            response = await self._await_or_abandon(client.send(backend_request))
        except BackendUnreachableError as error:
            self._possibly_ran_on.discard(server_id)
            outcome = AttemptOutcome.UNREACHABLE
            return AttemptResult(outcome=outcome, detail=error.reason)
        except RequestWithheldError as error:
            self._possibly_ran_on.discard(server_id)
            return AttemptResult(outcome=AttemptOutcome.NOT_RUN, detail=error.reason)
        except IncompleteResponseError as error:
            return _build_incomplete_result(error)
        try:
            return await self._handle_response(response, placement.server)
        except IncompleteResponseError as error:
            return _build_incomplete_result(error)
        finally:
            response.close()

    async def _handle_response(
        self, response: BackendResponse, server: BackendServer
    ) -> AttemptResult:
        server_id = server.server_id
        request_id = self._metadata.request_id
        metadata = await read_own_head(response, request_id)
        status = response.status
        if metadata.not_run and metadata.request_id != request_id:
            # It may be the refusal of an earlier request, written once more.
            behind = await self._await_or_abandon(
                read_head_behind_refusal(response, request_id)
            )
            if behind is not None:
                metadata, status = behind, response.status
                extra = {"request": request_id, "server": server_id}
                logger.warning("refusal of another request skipped", extra=extra)
        now = self._answered_since = self._context.read_clock()
        if metadata.load is not None:
            self._context.dispatcher.record_load(server_id, metadata.load, now)
        self._context.announcements.record(
            metadata, server, status=status, request_id=self._query.request_id
        )
        if metadata.not_run:
            self._possibly_ran_on.discard(server_id)
            misdirected = status == 421
            outcome = AttemptOutcome.NOT_RUN
            if misdirected:
                outcome = AttemptOutcome.MISDIRECTED
            return AttemptResult(outcome=outcome, detail=f"status {status}")
        if not metadata.request_id:
            request = self._request
            if is_head_rejected(status, request.target, request.headers):
                detail = f"the server rejects the request's long head: {status}"
                return AttemptResult(
                    outcome=AttemptOutcome.HEAD_REJECTED, detail=detail
                )
            detail = "an answer without a request's identifier"
            return AttemptResult(outcome=AttemptOutcome.INCOMPLETE, detail=detail)
        is_event_stream = status < 300 and self._is_event_stream(response, metadata)
        if not is_event_stream:
            # A stream counts with its first event.
            self._record_run()
        rejected = self._relay.reject_continuation(status, metadata)
        if rejected is not None:
            return rejected
        if response.status < 300 and not metadata.signature:
            detail = "a success without a receipt"
            return AttemptResult(outcome=AttemptOutcome.INCOMPLETE, detail=detail)
        if is_event_stream:
            return await self._relay.relay_events(
                response, server_id, self._await_or_abandon, self._handle_first_event
            )
        return await self._relay.relay_body(response)

    def _is_event_stream(
        self, response: BackendResponse, metadata: ResponseMetadata
    ) -> bool:
        """Return whether a response is relayed event by event.

        On a streaming route a response without a marked end is, whatever its
        type: only its events tell whether it ends where it should.
        """
        is_streaming_route = self._route.repeatability.is_stream
        return metadata.is_event_stream or (
            is_streaming_route and not response.is_end_marked
        )

    def _record_run(self) -> None:
        """Count the request once, wherever it runs and goes on."""
        if not self._is_run_recorded:
            self._is_run_recorded = True
            self._context.record_run(self._identity.workspace)

    def _handle_first_event(self) -> None:
        """Keep the stream at the version of the server that begins it."""
        self._record_run()
        version = self._server_version
        self._query = replace(self._query, software_version=version)
        if self._is_resumable:
            self._context.stream_origins.record_first_event(
                build_stream_key(
                    self._identity.workspace,
                    self._metadata.resumed_request_id or self._query.request_id,
                ),
                self._query.service,
                version,
                compute_lifetime_s(self._route.timeout_ms, self._metadata.timeout_ms),
            )

    async def _await_or_abandon(self, step: Awaitable[T]) -> T:
        """Await a step of an attempt, and abandon a server that is silent.

        Only a resumable stream is moved. If there is no other server, the step
        is awaited for as long as the caller waits.
        """
        task = self._step = asyncio.ensure_future(step)
        try:
            while not (await asyncio.wait({task}, timeout=SILENCE_CHECK_INTERVAL_S))[0]:
                if self._should_abandon_server():
                    self._silent.add(self._server_id)
                    raise IncompleteResponseError(reason="the server is silent")
            if task.cancelled():
                raise IncompleteResponseError(reason="the request is held back")
            return task.result()
        finally:
            task.cancel()

    def _stop_run(self) -> None:
        """Stop the request where it runs, unless its answer has begun."""
        if self._step is not None and not self._relay.has_started:
            self._step.cancel()

    def _should_abandon_server(self) -> bool:
        if not self._is_resumable:
            return False
        now = self._context.read_clock()
        should_move = self._can_retry() and self._context.dispatcher.should_move(
            self._query, self._server_id, self._excluded, now
        )
        # The retry is taken before the server is abandoned.
        return should_move and self._take_retry(in_advance=True)

    async def _finish_refused(self, refusal: Refusal) -> ExchangeReport:
        """Answer a request that is sent to no further server."""
        self._obstacles = refusal.detail
        if self._possibly_ran_on or self._relay.has_started:
            return await self._finish_failed(refusal.reason.value)
        remaining_s = self._query.deadline - self._context.read_clock()
        retry_after_s = min(refusal.retry_after_s, max(0.0, remaining_s / 3))
        await self._relay.send_error(503, refusal.reason.value, retry_after_s)
        return self._build_report(RequestOutcome.REFUSED, 503, refusal.reason.value)

    async def _finish_failed(self, reason: str) -> ExchangeReport:
        """Send a server's error response if there is one, else an error."""
        if self._failure_response is not None and not self._relay.has_started:
            await self._relay.send_response(self._failure_response)
            return self._build_report(
                RequestOutcome.RELAYED, self._failure_response.status, reason
            )
        return await self._fail(502, reason)

    async def _fail(self, status: int, reason: str) -> ExchangeReport:
        if self._relay.has_started:
            self._relay.abort()
            return self._build_report(RequestOutcome.ABORTED, 0, reason)
        if not self._possibly_ran_on:
            await self._relay.send_error(503, reason)
            return self._build_report(RequestOutcome.REFUSED, 503, reason)
        await self._relay.send_error(status, reason)
        return self._build_report(RequestOutcome.FAILED, status, reason)

    def _build_report(
        self, outcome: RequestOutcome, status: int, reason: str
    ) -> ExchangeReport:
        return ExchangeReport(
            outcome=outcome,
            status=status,
            reason=reason,
            obstacles=self._obstacles,
            server_id=self._server_id,
            server_version=self._server_version,
            sends=self._sends,
            admission_requests=self._admission.request_count,
            admission_wait_s=self._admission.total_wait_s,
            first_byte_at=self._relay.first_byte_at,
            longest_event_gap_s=self._relay.longest_event_gap_s,
            event_count=self._relay.event_count,
        )

    def _log_failed_attempt(
        self, placement: Placement, result: AttemptResult, duration_s: float
    ) -> None:
        logger.info(
            "attempt failed",
            extra={
                "request": self._query.request_id,
                "server": placement.server.server_id,
                "boot": placement.server.boot,
                "version": placement.server.software_version,
                "outcome": result.outcome.value,
                "detail": result.detail,
                "peer_ended": result.peer_ended,
                "workspace": self._identity.workspace,
                "digest": self._identity.digest,
                "parts": self._identity.format_parts(),
                "took_ms": round(duration_s * 1000, 1),
                "placement": placement.reason,
                "last_event": self._relay.last_event_id,
            },
        )


def _build_incomplete_result(error: IncompleteResponseError) -> AttemptResult:
    return AttemptResult(
        outcome=AttemptOutcome.INCOMPLETE,
        detail=error.reason,
        peer_ended=error.peer_ended,
    )
