"""The callers' side of the entry: route, key, limits, then the exchange."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from carobspring import platform
from carobspring.dispatch import DispatchQuery
from carobspring.domain.routes import Route, RoutingTable
from carobspring.gateway.budget import RetryBudget
from carobspring.gateway.exchange import Exchange, ExchangeContext
from carobspring.gateway.metrics import GatewayMetrics
from carobspring.gateway.outcomes import ExchangeReport, encode_error
from carobspring.gateway.state import GatewayState
from carobspring.ports import HttpRequest, HttpResponder, RandomSource

#: Seconds that a request waits for the first routes of an entry that has just
#: started: less than an election and a stream to a control replica take.
STARTING_WAIT_S: Final = 1.5
#: Retry-After of an entry that knows no routes yet, seconds.
STARTING_RETRY_S: Final = 0.3
#: Bytes of a prompt's token, to guess tokens that a caller does not tell.
BYTES_PER_TOKEN: Final = 4

logger = logging.getLogger(__name__)


class GatewayApi:
    """Answers callers' requests by the routing table in force."""

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
        #: Requests under way.
        self.open_requests = 0

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Answer one request."""
        began = self._context.read_clock()
        metadata = platform.parse_request_headers(request.headers)
        table = await self._state.wait_for_table(STARTING_WAIT_S)
        if table is None:
            await self._refuse(responder, metadata, 503, "starting", STARTING_RETRY_S)
            return
        route = table.find_route(metadata.host, request.path)
        if route is None:
            await self._refuse(responder, metadata, 404, "no_route")
            return
        owner = None
        if table.requires_keys and not route.public:
            owner = table.find_owner(metadata.api_key)
            if owner is None:
                await self._refuse(responder, metadata, 401, "unknown_key")
                return
        rank = table.find_rank(route, owner)
        query = self._build_query(request, metadata, route, rank, began)
        service = table.services[query.service]
        exchange = Exchange(
            context=self._context,
            request=request,
            responder=responder,
            metadata=metadata,
            route=route,
            query=query,
            workspace=owner.name if owner else "",
            engine_priority=rank if service.engine else None,
        )
        self._find_budget(query.service).record_request(began)
        self.open_requests += 1
        try:
            report = await self._run_until_gone(exchange, responder)
        finally:
            self.open_requests -= 1
        self._note_end(table, route, query, metadata, report, began)

    async def _run_until_gone(
        self, exchange: Exchange, responder: HttpResponder
    ) -> ExchangeReport:
        """Run the exchange, and cancel it when the caller leaves."""
        work = asyncio.create_task(exchange.run())
        gone = asyncio.create_task(responder.gone.wait())
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                return work.result()
            return exchange.build_abandoned_report()
        finally:
            gone.cancel()
            if not work.done():
                work.cancel()
                await asyncio.gather(work, return_exceptions=True)

    def _build_query(
        self,
        request: HttpRequest,
        metadata: platform.RequestMetadata,
        route: Route,
        rank: int,
        began: float,
    ) -> DispatchQuery:
        limit_ms = route.time_limit_ms
        if metadata.timeout_ms:
            limit_ms = min(limit_ms, metadata.timeout_ms)
        prompt = metadata.prompt_tokens or len(request.body) // BYTES_PER_TOKEN
        return DispatchQuery(
            request_id=metadata.request_id,
            service=route.choose_service(self._random.draw_uniform()),
            priority=rank,
            deadline=began + limit_ms / 1000,
            target_s=route.target_ms / 1000,
            due_at=began + route.target_ms / 1000,
            is_stream=route.repeatability.is_stream,
            pause_target_s=route.pause_target_ms / 1000,
            prompt_tokens=prompt,
            output_tokens=metadata.expected_output_tokens or metadata.max_output_tokens,
            parts=tuple((part.part_id, part.tokens) for part in metadata.prompt_parts),
            body_bytes=len(request.body),
        )

    async def _refuse(
        self,
        responder: HttpResponder,
        metadata: platform.RequestMetadata,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        table = self._state.table
        self._metrics.record_refusal(reason)
        logger.info(
            "request refused",
            extra={
                "request": metadata.request_id,
                "status": status,
                "reason": reason,
                "routes": table.version if table else None,
            },
        )
        headers = platform.build_error_headers(
            request_id=metadata.request_id, retry_after_s=retry_after_s
        )
        await responder.send(status, headers, encode_error(reason))

    def _note_end(
        self,
        table: RoutingTable,
        route: Route,
        query: DispatchQuery,
        metadata: platform.RequestMetadata,
        report: ExchangeReport,
        began: float,
    ) -> None:
        now = self._context.read_clock()
        first_s = None if report.first_byte_at is None else report.first_byte_at - began
        self._metrics.record_end(report, first_s, now - began)
        logger.info(
            "request ended",
            extra={
                "request": metadata.request_id,
                "answer": report.outcome.value,
                "status": report.status,
                "reason": report.reason,
                "server": report.server_id,
                "sends": report.sends,
                "gates_asked": report.admission_requests,
                "asking_ms": round(report.admission_wait_s * 1000, 1),
                "route": route.name,
                "routes": table.version,
                "service": query.service,
                "rank": query.priority,
                "first_ms": None if first_s is None else round(first_s * 1000, 1),
                "pause_ms": round(report.longest_pause_s * 1000, 1),
                "events": report.event_count,
                "took_ms": round((now - began) * 1000, 1),
                "left_ms": round((query.deadline - now) * 1000, 1),
                "prompt": query.prompt_tokens,
            },
        )
