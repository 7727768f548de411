"""The callers' HTTP API: routing of paths and handling of requests."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import msgspec

from carobspring.adapters.metrics import CONTENT_TYPE, Metrics
from carobspring.domain import RunStatus, ServiceKind, Workspace
from carobspring.entry.dependencies import DriverDependencies
from carobspring.entry.driver import CallDriver, compute_retry_after_ms
from carobspring.entry.errors import CallError
from carobspring.entry.requests import CallerRequest, parse_call
from carobspring.entry.responses import (
    BufferedResponse,
    CallerResponse,
    StreamedResponse,
    build_revision_header,
)
from carobspring.entry.settings_updater import SettingsUpdater
from carobspring.entry.unique import UniqueCallDriver
from carobspring.ports import HttpRequest, HttpResponder
from carobspring.routing import PoolKey

JSON_HEADERS: Final = (("Content-Type", "application/json"),)
SETTINGS_RETRY_MS = 1000
READY_RETRY_MS = 1000


class CallerApi:
    """Handles callers' requests; ``handle`` is the HTTP server's handler."""

    def __init__(self, *, dependencies: DriverDependencies, metrics: Metrics) -> None:
        self._dependencies = dependencies
        self._metrics = metrics
        self._updater = SettingsUpdater(dependencies)
        self._open_calls: Counter[str] = Counter()

    async def handle(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Handle one request."""
        try:
            if not await self._serve_local_path(request, responder):
                await self._serve_call(request, responder)
        except CallError as error:
            self._dependencies.metrics.errors.inc({"code": error.code})
            revision = self._dependencies.state.settings.revision
            headers = (*error.build_headers(), build_revision_header(revision))
            await responder.send(error.status, headers, error.build_body())

    async def _serve_local_path(
        self, request: HttpRequest, responder: HttpResponder
    ) -> bool:
        state = self._dependencies.state
        if request.path == "/healthz":
            await responder.send(200, JSON_HEADERS, b'{"status":"alive"}')
        elif request.path == "/readyz":
            status = 200 if state.is_ready else 503
            body = msgspec.json.encode(
                {"ready": state.is_ready, "revision": state.settings.revision}
            )
            await responder.send(status, JSON_HEADERS, body)
        elif request.path == "/metrics":
            self._update_gauges()
            headers = (("Content-Type", CONTENT_TYPE),)
            await responder.send(200, headers, self._metrics.render_text())
        elif request.path == "/v1/models":
            await self._ensure_settings(request)
            state.keys.find_workspace(request.find_header("Authorization"))
            await responder.send(200, JSON_HEADERS, self._list_models())
        else:
            return False
        return True

    async def _serve_call(self, request: HttpRequest, responder: HttpResponder) -> None:
        await self._ensure_settings(request)
        state = self._dependencies.state
        workspace = state.keys.find_workspace(request.find_header("Authorization"))
        now = self._dependencies.clock.read_monotonic()
        call = parse_call(request, state.settings, workspace, now)
        self._check_target(call)
        response_type = StreamedResponse if call.stream else BufferedResponse
        response: CallerResponse = response_type(responder, state.settings.revision)
        with self._track_open_call(workspace):
            try:
                await self._run_driver(call, response, responder)
            except CallError as error:
                self._dependencies.metrics.errors.inc({"code": error.code})
                await response.fail(error)

    async def _run_driver(
        self, call: CallerRequest, response: CallerResponse, responder: HttpResponder
    ) -> None:
        driver_type = UniqueCallDriver if call.unique else CallDriver
        driver = driver_type(
            dependencies=self._dependencies, call=call, response=response
        )
        driver_task = asyncio.ensure_future(driver.run())
        disconnect_task = asyncio.ensure_future(responder.disconnected.wait())
        try:
            await asyncio.wait(
                {driver_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnect_task.cancel()
            if not driver_task.done():
                driver_task.cancel()
                await asyncio.wait({driver_task})
        metrics = self._dependencies.metrics
        name = call.service_class.name
        error = None if driver_task.cancelled() else driver_task.exception()
        if driver_task.cancelled():
            metrics.count_failure(name, "caller_gone", shed=False)
        elif isinstance(error, CallError):
            shed = error.ran is RunStatus.NOT_RUN
            metrics.count_failure(name, error.code, shed=shed)
        if driver_task.cancelled() or error is not None:
            metrics.count_wasted_bytes(name, driver.wasted_bytes)
        if error is not None:
            raise error

    @contextmanager
    def _track_open_call(self, workspace: Workspace) -> Iterator[None]:
        name, limit = workspace.name, workspace.concurrency_limit
        if limit and self._open_calls[name] >= limit:
            message = f"Workspace {name!r} has {limit} calls open here; wait for one."
            raise CallError(
                code="workspace_limit",
                message=message,
                retry_after_ms=compute_retry_after_ms(self._dependencies, []),
            )
        self._open_calls[name] += 1
        try:
            yield
        finally:
            self._open_calls[name] -= 1
            if not self._open_calls[name]:
                del self._open_calls[name]

    def _check_target(self, call: CallerRequest) -> None:
        key = PoolKey(kind=call.kind, target=call.target)
        if (
            call.kind is ServiceKind.MODEL
            and not self._dependencies.router.has_seen_pool(key)
        ):
            message = f"There is no model {call.target!r} here; see /v1/models."
            raise CallError(code="model_not_found", message=message)

    async def _ensure_settings(self, request: HttpRequest) -> None:
        state = self._dependencies.state
        if not state.has_view:
            message = "This entry has not learned the settings yet; ask again."
            raise CallError(
                code="not_ready", message=message, retry_after_ms=READY_RETRY_MS
            )
        # A revision named by a caller may not exist, so it applies to this
        # request only.
        requested = request.find_header("X-Carob-Revision") or ""
        is_number = (
            requested.isascii() and requested.isdecimal() and len(requested) < 16
        )
        needed = max(state.highest_known_revision, int(requested) if is_number else 0)
        if needed > state.settings.revision and not await self._updater.catch_up(
            needed
        ):
            current = state.settings.revision
            message = (
                f"Revision {needed} of the settings was named and this entry has "
                f"{current}; ask again."
            )
            raise CallError(
                code="settings_behind",
                message=message,
                retry_after_ms=compute_retry_after_ms(
                    self._dependencies, [SETTINGS_RETRY_MS]
                ),
            )

    def _list_models(self) -> bytes:
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "carobspring"}
            for name in self._dependencies.router.list_targets(ServiceKind.MODEL)
        ]
        return msgspec.json.encode({"object": "list", "data": models})

    def _update_gauges(self) -> None:
        metrics = self._dependencies.metrics
        metrics.revision.set({}, self._dependencies.state.settings.revision)
        metrics.servers.set({}, len(self._dependencies.router.list_servers()))
