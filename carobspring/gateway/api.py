"""Handler of callers' requests: routing, authentication and dispatch."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from carobspring import platform
from carobspring.adapters.tasks import start_task
from carobspring.dispatch import (
    DispatchQuery,
    Refusal,
    RefusalReason,
    StopAdmission,
    StopSchedule,
)
from carobspring.domain.routes import Repeatability, Route, RoutingTable
from carobspring.gateway.budget import RetryBudget
from carobspring.gateway.exchange import Exchange, ExchangeContext
from carobspring.gateway.metrics import GatewayMetrics
from carobspring.gateway.open_requests import OpenRequests
from carobspring.gateway.outcomes import (
    ExchangeReport,
    RequestOutcome,
    encode_error,
)
from carobspring.gateway.state import GatewayState
from carobspring.ports import HttpRequest, HttpResponder, RandomSource
from carobspring.resumption import (
    SeveralVersionsError,
    StreamOrigin,
    build_stream_key,
)

#: Seconds that a request waits for the first routing table after the start of
#: an entry. An election and a new stream to a control replica take longer.
STARTUP_WAIT_S: Final = 1.5
#: Retry-After in seconds while an entry has no routing table, or can't know
#: whether there is a newer one.
STARTUP_RETRY_AFTER_S: Final = 0.3
#: Seconds before the end of a stop at which requests without a response get an
#: error.
END_MARGIN_S: Final = 0.3
#: Bytes per prompt token, to estimate tokens that a caller does not give.
BYTES_PER_TOKEN: Final = 4

logger = logging.getLogger(__name__)


class GatewayApi:
    """Handles callers' requests by the routing table in force."""

    def __init__(
        self,
        *,
        state: GatewayState,
        context: ExchangeContext,
        find_budget: Callable[[str], RetryBudget],
        random: RandomSource,
        metrics: GatewayMetrics,
    ) -> None:
        self._state = state
        self._context = context
        self._find_budget = find_budget
        self._random = random
        self._metrics = metrics
        #: The requests in flight.
        self.open_requests = OpenRequests()
        self._stop_admission = StopAdmission()
        self._exchanges: set[Exchange] = set()

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Report not ready, and take only what ends before the stop does."""
        now = self._context.read_clock()
        self._state.begin_stop(now)
        self._stop_admission.begin(schedule)
        asyncio.get_running_loop().call_later(
            max(0.0, schedule.ends_at - END_MARGIN_S - now), self._end_exchanges
        )

    def _end_exchanges(self) -> None:
        """End what has no response yet; the end of the stop would cut it."""
        for exchange in self._exchanges:
            exchange.end_before_response()

    def find_max_body(self, request: HttpRequest) -> int | None:
        """Return zero for a request that is refused, whatever its body."""
        table = self._state.table
        if table is None:
            return None
        metadata = platform.parse_request_headers(request.headers)
        route = table.find_route(metadata.host, request.path)
        needs_key = table.requires_keys and route is not None and not route.public
        if route is None or (needs_key and table.find_owner(metadata.api_key) is None):
            return 0
        return None

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Handle one request."""
        started_at = self._context.read_clock()
        metadata = platform.parse_request_headers(request.headers)
        number = self.open_requests.add(metadata.request_id, started_at)
        try:
            await self._handle_parsed(request, metadata, responder, started_at)
        finally:
            self.open_requests.remove(number)

    async def _handle_parsed(
        self,
        request: HttpRequest,
        metadata: platform.RequestMetadata,
        responder: HttpResponder,
        started_at: float,
    ) -> None:
        table = await self._state.wait_for_table(STARTUP_WAIT_S)
        if table is None:
            await self._refuse(
                responder, metadata, 503, "starting", STARTUP_RETRY_AFTER_S
            )
            return
        route = table.find_route(metadata.host, request.path)
        if route is None:
            await self._deny(responder, metadata, 404, "no_route")
            return
        owner = None
        if table.requires_keys and not route.public:
            owner = table.find_owner(metadata.api_key)
            if owner is None:
                await self._deny(responder, metadata, 401, "unknown_key")
                return
        workspace = owner.name if owner else ""
        if not request.is_body_read:
            # The routes or keys have changed since its head was read.
            await self._refuse(
                responder, metadata, 503, "body_not_read", STARTUP_RETRY_AFTER_S
            )
            return
        try:
            origin = await self._find_origin(metadata, route, workspace)
        except SeveralVersionsError as error:
            await self._refuse_unknown_stream(responder, metadata, error.reason)
            return
        rank = table.compute_rank(route, owner)
        query = self._build_query(request, metadata, route, origin, rank, started_at)
        refusal = self._stop_admission.check(
            route.name,
            query.deadline,
            started_at,
            oldest_s=self._find_oldest_s(route.name, started_at),
        )
        if refusal is not None:
            await self._refuse_for_now(responder, metadata, refusal)
            return
        engine_priority = None
        if table.services[query.service].engine:
            levels = platform.PRIORITY_LEVELS
            engine_priority = table.compute_engine_rank(rank, levels)
        exchange = Exchange(
            context=self._context,
            request=request,
            responder=responder,
            metadata=metadata,
            route=route,
            query=query,
            workspace=workspace,
            engine_priority=engine_priority,
        )
        self._find_budget(query.service).record_request(started_at)
        report = await self._run_exchange(exchange, responder)
        self._record_end(table, route, query, metadata, report, started_at)

    def _find_oldest_s(self, route: str, now: float) -> float:
        """Return how long the oldest open request of a route has lasted."""
        starts = (e.started_at for e in self._exchanges if e.route_name == route)
        return now - min(starts, default=now)

    async def _run_exchange(
        self, exchange: Exchange, responder: HttpResponder
    ) -> ExchangeReport:
        """Run the exchange, and cancel it if the caller leaves."""
        self._exchanges.add(exchange)
        exchange_task = start_task(exchange.run(), name="exchange")
        disconnect_task = start_task(
            responder.disconnected.wait(), name="await disconnect"
        )
        try:
            await asyncio.wait(
                {exchange_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if exchange_task.done():
                return exchange_task.result()
            return exchange.build_abandoned_report()
        finally:
            self._exchanges.discard(exchange)
            disconnect_task.cancel()
            if not exchange_task.done():
                exchange_task.cancel()
                await asyncio.gather(exchange_task, return_exceptions=True)

    def _build_query(
        self,
        request: HttpRequest,
        metadata: platform.RequestMetadata,
        route: Route,
        origin: StreamOrigin,
        rank: int,
        started_at: float,
    ) -> DispatchQuery:
        timeout_ms = route.timeout_ms
        if metadata.timeout_ms:
            timeout_ms = min(timeout_ms, metadata.timeout_ms)
        prompt_tokens = metadata.prompt_tokens or len(request.body) // BYTES_PER_TOKEN
        service = origin.service or route.choose_service(self._random.draw_uniform())
        return DispatchQuery(
            request_id=metadata.request_id,
            service=service,
            priority=rank,
            deadline=started_at + timeout_ms / 1000,
            target_s=route.latency_target_ms / 1000,
            due_at=started_at + route.latency_target_ms / 1000,
            is_stream=route.repeatability.is_stream,
            event_gap_target_s=route.event_gap_target_ms / 1000,
            prompt_tokens=prompt_tokens,
            output_tokens=metadata.expected_output_tokens or metadata.max_output_tokens,
            max_output_tokens=metadata.max_output_tokens,
            parts=tuple((part.part_id, part.tokens) for part in metadata.prompt_parts),
            software_version=origin.versions.get(service),
        )

    async def _find_origin(
        self, metadata: platform.RequestMetadata, route: Route, workspace: str
    ) -> StreamOrigin:
        """Return where a request's stream may go on; anywhere if it is new.

        Raises:
            SeveralVersionsError: It resumes a stream that nobody knows.
        """
        is_resumed = metadata.last_event_id or metadata.resumed_request_id
        if not is_resumed or route.repeatability is not Repeatability.RESUMABLE_STREAM:
            return StreamOrigin()
        asked_at = self._context.read_clock()
        origin = await self._context.stream_origins.find(
            build_stream_key(workspace, metadata.resumed_request_id),
            [each.service for each in route.weighted_services if each.weight],
        )
        took_s = self._context.read_clock() - asked_at
        logger.info(
            "stream taken up",
            extra={
                "request": metadata.request_id,
                "resumes": metadata.resumed_request_id,
                "resumes_after": metadata.last_event_id,
                "service": origin.service,
                "versions": dict(origin.versions),
                "took_ms": round(took_s * 1000, 1),
            },
        )
        return origin

    async def _refuse_unknown_stream(
        self, responder: HttpResponder, metadata: platform.RequestMetadata, detail: str
    ) -> None:
        refusal = self._context.dispatcher.refuse(RefusalReason.UNKNOWN_STREAM, detail)
        await self._refuse_for_now(responder, metadata, refusal)

    async def _refuse_for_now(
        self,
        responder: HttpResponder,
        metadata: platform.RequestMetadata,
        refusal: Refusal,
    ) -> None:
        await self._refuse(
            responder,
            metadata,
            503,
            refusal.reason.value,
            refusal.retry_after_s,
            detail=refusal.detail,
        )

    async def _deny(
        self,
        responder: HttpResponder,
        metadata: platform.RequestMetadata,
        status: int,
        reason: str,
    ) -> None:
        """Refuse a request, only for now if newer routes may allow it."""
        if self._state.is_confirmed(self._context.read_clock()):
            await self._refuse(responder, metadata, status, reason)
        else:
            await self._refuse(
                responder, metadata, 503, "unconfirmed_routes", STARTUP_RETRY_AFTER_S
            )

    async def _refuse(
        self,
        responder: HttpResponder,
        metadata: platform.RequestMetadata,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        *,
        detail: str = "",
    ) -> None:
        now = self._context.read_clock()
        table = self._state.table
        confirmed_at = self._state.confirmed_at
        confirmed_ms = None
        if confirmed_at is not None:
            confirmed_ms = round((now - confirmed_at) * 1000, 1)
        self._metrics.record_refusal(reason)
        logger.info(
            "request refused",
            extra={
                "request": metadata.request_id,
                "status": status,
                "reason": reason,
                "detail": detail,
                "resumes": metadata.resumed_request_id,
                "routes": table.version if table else None,
                "confirmed_ms": confirmed_ms,
                "after_stop_ms": self._state.compute_after_stop_ms(now),
            },
        )
        headers = platform.build_error_headers(
            request_id=metadata.request_id, retry_after_s=retry_after_s
        )
        await responder.send(status, headers, encode_error(reason))

    def _record_end(
        self,
        table: RoutingTable,
        route: Route,
        query: DispatchQuery,
        metadata: platform.RequestMetadata,
        report: ExchangeReport,
        started_at: float,
    ) -> None:
        now = self._context.read_clock()
        first_byte_s = (
            None if report.first_byte_at is None else report.first_byte_at - started_at
        )
        self._metrics.record_end(report, first_byte_s, now - started_at)
        if report.outcome is RequestOutcome.RELAYED and not report.status:
            self._stop_admission.durations.record(route.name, now - started_at, now)
        logger.info(
            "request ended",
            extra={
                "request": metadata.request_id,
                "answer": report.outcome.value,
                "status": report.status,
                "reason": report.reason,
                "obstacles": report.obstacles,
                "server": report.server_id,
                "version": report.server_version,
                "resumes": metadata.resumed_request_id,
                "resumes_after": metadata.last_event_id,
                "sends": report.sends,
                "gates_asked": report.admission_requests,
                "asking_ms": round(report.admission_wait_s * 1000, 1),
                "route": route.name,
                "routes": table.version,
                "service": query.service,
                "rank": query.priority,
                "first_ms": (
                    None if first_byte_s is None else round(first_byte_s * 1000, 1)
                ),
                "pause_ms": round(report.longest_event_gap_s * 1000, 1),
                "events": report.event_count,
                "took_ms": round((now - started_at) * 1000, 1),
                "left_ms": round((query.deadline - now) * 1000, 1),
                "prompt": query.prompt_tokens,
                "after_stop_ms": self._state.compute_after_stop_ms(started_at),
            },
        )
