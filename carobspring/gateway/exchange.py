"""One caller's request: placed, sent, repeated where allowed, relayed."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final, TypeVar

from carobspring import platform
from carobspring.adapters.backend_http import HttpBackend
from carobspring.dispatch import (
    AttemptOutcome,
    Dispatcher,
    DispatchQuery,
    Placement,
    Refusal,
    RefusalReason,
)
from carobspring.domain.routes import Repeatability, Route
from carobspring.gateway.admission import AdmissionClient
from carobspring.gateway.backends import BackendConnections
from carobspring.gateway.outcomes import (
    AttemptResult,
    BufferedResponse,
    ExchangeReport,
    RequestOutcome,
)
from carobspring.gateway.relay import ResponseRelay
from carobspring.gateway.request_admission import RequestAdmission
from carobspring.ports import (
    BackendAnswer,
    BackendCutError,
    BackendRequest,
    BackendUnreachableError,
    HttpRequest,
    HttpResponder,
)

#: Seconds after its start in which an entry may not know all servers yet, and
#: between two looks for them.
STARTING_S: Final = 4.0
SERVERS_LOOK_S: Final = 0.05
#: Retry-After when the budget of repeated sends is used up, seconds.
REPEAT_RETRY_S: Final = 0.5

#: Seconds between two looks at whether a silent server should be left.
WATCH_INTERVAL_S: Final = 0.25

#: Outcomes after which a request has certainly not run.
_NOT_RUN: Final = frozenset(
    {AttemptOutcome.NOT_RUN, AttemptOutcome.MISDIRECTED, AttemptOutcome.UNREACHABLE}
)

T = TypeVar("T")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class ExchangeContext:
    """What all exchanges of an entry share."""

    dispatcher: Dispatcher
    connections: BackendConnections
    admission_client: AdmissionClient
    read_clock: Callable[[], float]
    #: Takes one repeated send to a service out of the budget, if it may be.
    spend_retry: Callable[[str], bool]
    #: Monotonic time at which this entry started.
    started_at: float


class Exchange:
    """Carries out one request until its caller has a final answer.

    A request that may run once is sent again only after a backend server has
    said that it has not run it, or when nothing was sent. The head of an event
    stream is held until its first event, so that a server that breaks before
    can still be replaced; after that a resumable stream goes on at another
    server inside the same answer.
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
        self._query = query
        self._workspace = workspace
        self._engine_priority = engine_priority
        self._relay = ResponseRelay(
            request_id=metadata.request_id,
            responder=responder,
            dispatcher=context.dispatcher,
            admission_client=context.admission_client,
            read_clock=context.read_clock,
        )
        self._admission = RequestAdmission(
            query=query,
            dispatcher=context.dispatcher,
            admission_client=context.admission_client,
            read_clock=context.read_clock,
        )
        #: Servers that are not tried again.
        self._excluded: set[str] = set()
        #: Servers that may have run the request.
        self._possibly_ran_on: set[str] = set()
        #: True once a server that takes requests had no room for this one.
        self._was_shed = False
        self._sends = 0
        self._server = ""
        self._failure_response: BufferedResponse | None = None
        #: True when a repeated send was taken out of the budget in advance.
        self._has_prepaid_retry = False

    async def run(self) -> ExchangeReport:
        """Answer the caller, at the latest at the query's deadline."""
        left_s = self._query.deadline - self._context.read_clock()
        try:
            async with asyncio.timeout(max(0.001, left_s)):
                return await self._try_servers()
        except TimeoutError:
            return await self._fail(504, "time_limit")

    def build_abandoned_report(self) -> ExchangeReport:
        """Return the report of a request whose caller left."""
        return self._report(RequestOutcome.ABANDONED, 0, "caller_left")

    async def _try_servers(self) -> ExchangeReport:
        while True:
            now = self._context.read_clock()
            excluded = self._excluded | self._admission.rejected_servers
            placed = self._context.dispatcher.place(self._query, excluded, now)
            if isinstance(placed, Refusal):
                placed = self._admission.explain_refusal(placed)
                if await self._wait_for_servers(placed, now):
                    continue
                return await self._give_up(placed)
            if self._sends and not self._take_repeat():
                return await self._give_up(
                    Refusal(
                        reason=RefusalReason.BUDGET,
                        retry_after_s=REPEAT_RETRY_S,
                    )
                )
            # A stream that has begun goes on without asking: its caller waits
            # for the next event.
            if not (self._relay.has_started or await self._admission.request(placed)):
                # What was paid for the repeat holds for the next server.
                self._has_prepaid_retry = self._sends > 0
                if self._admission.can_ask_another:
                    continue
                return await self._give_up(self._admission.build_refusal())
            result = await self._try_server(placed)
            if result.outcome is AttemptOutcome.ANSWERED:
                return self._report(RequestOutcome.RELAYED, 0, "")
            self._excluded.add(placed.server.server_id)
            self._was_shed |= result.outcome is AttemptOutcome.NOT_RUN
            self._failure_response = result.response or self._failure_response
            if result.outcome not in _NOT_RUN and not self._may_repeat():
                return await self._end_failed(result.detail)

    async def _wait_for_servers(self, refusal: Refusal, now: float) -> bool:
        """Wait for servers that an entry which has just started doesn't know.

        After a loss of power the list of last time names servers that have
        other names now; each says that it has not run the request.
        """
        context = self._context
        reasons = (RefusalReason.NO_SERVERS, RefusalReason.ALL_TRIED)
        is_untouched = not self._possibly_ran_on and not self._was_shed
        if refusal.reason not in reasons or not is_untouched:
            return False
        if now - context.started_at >= STARTING_S:
            return False
        await asyncio.sleep(SERVERS_LOOK_S)
        return True

    def _take_repeat(self, *, in_advance: bool = False) -> bool:
        """Take one repeated send out of the budget, unless it was before."""
        if self._has_prepaid_retry and not in_advance:
            self._has_prepaid_retry = False
            return True
        taken = self._context.spend_retry(self._query.service)
        self._has_prepaid_retry = taken and in_advance
        return taken

    def _may_repeat(self) -> bool:
        """Say whether one more server may run the request."""
        attempts = self._route.max_attempts
        return (
            self._route.repeatability.may_repeat
            and len(self._possibly_ran_on) < attempts
        )

    async def _try_server(self, placed: Placement) -> AttemptResult:
        context, query = self._context, self._query
        server_id = self._server = placed.server.server_id
        now = context.read_clock()
        client = context.connections.find(server_id)
        if client is None:
            context.admission_client.release(server_id, query.request_id)
            return AttemptResult(outcome=AttemptOutcome.UNREACHABLE, detail="unlisted")
        context.dispatcher.note_sent(placed, query, now)
        self._sends += 1
        result = AttemptResult(outcome=AttemptOutcome.ABANDONED)
        try:
            result = await self._send(client, placed)
        finally:
            end = context.read_clock()
            context.admission_client.release(server_id, query.request_id)
            context.dispatcher.note_end(
                server_id, query.request_id, result.outcome, end
            )
            if result.outcome is not AttemptOutcome.ANSWERED:
                self._log_attempt(placed, result, end - now)
        return result

    async def _send(self, client: HttpBackend, placed: Placement) -> AttemptResult:
        server_id = placed.server.server_id
        source = placed.prompt_source
        left_s = self._query.deadline - self._context.read_clock()
        request = self._request
        query = f"?{request.query}" if request.query else ""
        sent = BackendRequest(
            method=request.method,
            path=request.path + query,
            headers=platform.build_backend_headers(
                request.headers,
                server_id=server_id,
                workspace=self._workspace,
                remaining_ms=left_s * 1000,
                priority=self._engine_priority,
                last_event_id=self._relay.last_event_id,
                prompt_source=f"{source.host}:{source.port}" if source else "",
            ),
            body=request.body,
            repeatable=self._route.repeatability.may_repeat,
        )
        self._possibly_ran_on.add(server_id)
        try:
            answer = await self._watch(client.send(sent))
        except BackendUnreachableError as error:
            self._possibly_ran_on.discard(server_id)
            outcome = AttemptOutcome.UNREACHABLE
            return AttemptResult(outcome=outcome, detail=error.reason)
        except BackendCutError as error:
            return AttemptResult(outcome=AttemptOutcome.CUT, detail=error.reason)
        try:
            return await self._take_answer(answer, server_id)
        except BackendCutError as error:
            return AttemptResult(outcome=AttemptOutcome.CUT, detail=error.reason)
        finally:
            answer.close()

    async def _take_answer(
        self, answer: BackendAnswer, server_id: str
    ) -> AttemptResult:
        metadata = platform.parse_response_headers(answer.status, answer.headers)
        while metadata.request_id not in ("", self._metadata.request_id):
            # A late second answer to an earlier request on this connection.
            if not await answer.read_next_answer():
                detail = f"answer to {metadata.request_id or 'no request'}"
                return AttemptResult(outcome=AttemptOutcome.CUT, detail=detail)
            metadata = platform.parse_response_headers(answer.status, answer.headers)
        now = self._context.read_clock()
        if metadata.load is not None:
            self._context.dispatcher.note_load(server_id, metadata.load, now)
        if metadata.not_run:
            self._possibly_ran_on.discard(server_id)
            misdirected = answer.status == 421
            outcome = AttemptOutcome.NOT_RUN
            if misdirected:
                outcome = AttemptOutcome.MISDIRECTED
            return AttemptResult(outcome=outcome, detail=f"status {answer.status}")
        if not metadata.request_id:
            detail = "an answer without a request's identifier"
            return AttemptResult(outcome=AttemptOutcome.CUT, detail=detail)
        if answer.status < 300 and metadata.is_event_stream:
            return await self._relay.relay_events(answer, server_id, self._watch)
        return await self._relay.relay_body(answer)

    async def _watch(self, step: Awaitable[T]) -> T:
        """Await a step of an attempt, and leave a server that is silent.

        Only a stream that another server can go on with is moved, and once
        there is no other it is awaited for as long as the caller waits.
        """
        waiting = asyncio.ensure_future(step)
        try:
            while not (await asyncio.wait({waiting}, timeout=WATCH_INTERVAL_S))[0]:
                if self._should_move():
                    raise BackendCutError(reason="the server is silent")
            return waiting.result()
        finally:
            waiting.cancel()

    def _should_move(self) -> bool:
        if self._route.repeatability is not Repeatability.RESUMABLE_STREAM:
            return False
        now = self._context.read_clock()
        should_move = self._may_repeat() and self._context.dispatcher.should_move(
            self._query, self._server, self._excluded, now
        )
        # The repeat is paid for before the server is left.
        return should_move and self._take_repeat(in_advance=True)

    async def _give_up(self, refusal: Refusal) -> ExchangeReport:
        """Answer a request that goes to no further server."""
        if self._possibly_ran_on or self._relay.has_started:
            return await self._end_failed(refusal.reason.value)
        left_s = self._query.deadline - self._context.read_clock()
        retry_after_s = min(refusal.retry_after_s, max(0.0, left_s / 3))
        await self._relay.send_error(503, refusal.reason.value, retry_after_s)
        return self._report(RequestOutcome.REFUSED, 503, refusal.reason.value)

    async def _end_failed(self, reason: str) -> ExchangeReport:
        """Relay a server's own failure if there is one, else say so."""
        if self._failure_response is not None and not self._relay.has_started:
            await self._relay.send_response(self._failure_response)
            return self._report(
                RequestOutcome.RELAYED, self._failure_response.status, reason
            )
        return await self._fail(502, reason)

    async def _fail(self, status: int, reason: str) -> ExchangeReport:
        if self._relay.has_started:
            self._relay.abort()
            return self._report(RequestOutcome.BROKEN_OFF, 0, reason)
        if not self._possibly_ran_on:
            await self._relay.send_error(503, reason)
            return self._report(RequestOutcome.REFUSED, 503, reason)
        await self._relay.send_error(status, reason)
        return self._report(RequestOutcome.FAILED, status, reason)

    def _report(
        self, answer: RequestOutcome, status: int, reason: str
    ) -> ExchangeReport:
        return ExchangeReport(
            outcome=answer,
            status=status,
            reason=reason,
            server_id=self._server,
            sends=self._sends,
            admission_requests=self._admission.request_count,
            admission_wait_s=self._admission.total_wait_s,
            first_byte_at=self._relay.first_byte_at,
            longest_pause_s=self._relay.longest_pause_s,
            event_count=self._relay.events,
        )

    def _log_attempt(
        self, placed: Placement, result: AttemptResult, took_s: float
    ) -> None:
        logger.info(
            "attempt failed",
            extra={
                "request": self._query.request_id,
                "server": placed.server.server_id,
                "boot": placed.server.boot,
                "outcome": result.outcome.value,
                "detail": result.detail,
                "took_ms": round(took_s * 1000, 1),
                "placement": placed.reason,
                "last_event": self._relay.last_event_id,
            },
        )
