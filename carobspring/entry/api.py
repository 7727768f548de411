"""The callers' HTTP API: which path does what."""

import asyncio
import logging
from typing import Final

import msgspec

from carobspring.adapters.metrics import CONTENT_TYPE, Metrics
from carobspring.domain import RunStatus, ServiceKind
from carobspring.entry.answers import CallerAnswer, StreamedAnswer, WholeAnswer
from carobspring.entry.driver import CallDriver, DriverParts
from carobspring.entry.errors import CallError
from carobspring.entry.requests import CallerRequest, read_call
from carobspring.ports import HttpRequest, HttpResponder

JSON_HEADERS: Final = (("Content-Type", "application/json"),)
SETTINGS_WAIT_S = 1.0
SETTINGS_RETRY_MS = 1000
READY_RETRY_MS = 1000

logger = logging.getLogger(__name__)


class CallersApi:
    """Answers callers' requests; ``handle`` is given to the HTTP server."""

    def __init__(self, *, parts: DriverParts, metrics: Metrics) -> None:
        self._parts = parts
        self._metrics = metrics
        self.open_calls = 0

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Answer one request."""
        try:
            if not await self._answer_locally(request, responder):
                await self._serve_call(request, responder)
        except CallError as error:
            self._parts.measures.errors.inc({"code": error.code})
            headers, body = error.build_headers(), error.build_body()
            await responder.send(error.status, headers, body)

    async def _answer_locally(
        self, request: HttpRequest, responder: HttpResponder
    ) -> bool:
        state = self._parts.state
        if request.path == "/healthz":
            await responder.send(200, JSON_HEADERS, b'{"status":"alive"}')
        elif request.path == "/readyz":
            status = 200 if state.is_ready else 503
            text = msgspec.json.encode(
                {"ready": state.is_ready, "revision": state.settings.revision}
            )
            await responder.send(status, JSON_HEADERS, text)
        elif request.path == "/metrics":
            self._update_gauges()
            headers = (("Content-Type", CONTENT_TYPE),)
            await responder.send(200, headers, self._metrics.render_text())
        elif request.path == "/v1/models":
            await self._check_settings(request)
            state.keys.find_workspace(request.find_header("Authorization"))
            await responder.send(200, JSON_HEADERS, self._list_models())
        else:
            return False
        return True

    async def _serve_call(self, request: HttpRequest, responder: HttpResponder) -> None:
        await self._check_settings(request)
        state = self._parts.state
        workspace = state.keys.find_workspace(request.find_header("Authorization"))
        now = self._parts.clock.read_monotonic()
        call = read_call(request, state.settings, workspace, now)
        answer_type = StreamedAnswer if call.stream else WholeAnswer
        answer: CallerAnswer = answer_type(responder)
        self.open_calls += 1
        try:
            await self._drive(call, answer, responder)
        except CallError as error:
            self._parts.measures.errors.inc({"code": error.code})
            await answer.fail(error)
        finally:
            self.open_calls -= 1

    async def _drive(
        self, call: CallerRequest, answer: CallerAnswer, responder: HttpResponder
    ) -> None:
        driver = CallDriver(parts=self._parts, call=call, answer=answer)
        work = asyncio.ensure_future(driver.run())
        gone = asyncio.ensure_future(responder.gone.wait())
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            gone.cancel()
            if not work.done():
                work.cancel()
                await asyncio.wait({work})
        if not work.cancelled():
            work.result()

    async def _check_settings(self, request: HttpRequest) -> None:
        state = self._parts.state
        named = request.find_header("X-Carob-Revision") or ""
        if named.isascii() and named.isdecimal() and len(named) < 16:
            state.hear_revision(int(named))
        if not state.has_view:
            message = "This entry has not learned the settings yet; ask again."
            raise CallError(
                code="not_ready", message=message, retry_after_ms=READY_RETRY_MS
            )
        if state.is_behind and not await state.wait_current(SETTINGS_WAIT_S):
            message = (
                f"Revision {state.heard_revision} of the settings is in force and "
                f"this entry has {state.settings.revision}; ask again."
            )
            raise CallError(
                code="settings_behind",
                message=message,
                ran=RunStatus.NOT_RUN,
                retry_after_ms=SETTINGS_RETRY_MS,
            )

    def _list_models(self) -> bytes:
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "carobspring"}
            for name in self._parts.router.list_targets(ServiceKind.MODEL)
        ]
        return msgspec.json.encode({"object": "list", "data": models})

    def _update_gauges(self) -> None:
        measures = self._parts.measures
        measures.revision.set({}, self._parts.state.settings.revision)
        measures.servers.set({}, len(self._parts.router.list_servers()))
