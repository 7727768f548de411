"""A fake control replica and fake agents on real gRPC servers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from carobspring.adapters import paths
from carobspring.adapters.rpc import (
    RpcService,
    build_server,
    make_bidirectional_method,
    make_server_streaming_method,
    make_unary_method,
)
from carobspring.domain import (
    BackendServer,
    LatencyTarget,
    RunStatus,
    Service,
    ServiceClass,
    ServiceKind,
    Settings,
    UnrepeatableRoute,
    Workspace,
)
from carobspring.protocol import (
    CallEnd,
    CallEvent,
    CancelCall,
    CancelReply,
    ClaimReply,
    ClaimRequest,
    EntryReport,
    FenceClaim,
    FenceReply,
    FetchSettings,
    OutcomeReply,
    OutcomeReport,
    ResponseHead,
    ResumeCall,
    RunCall,
    SettingsReply,
    ViewUpdate,
)
from carobspring.settings import hash_key

SECRET = "a-shared-secret"
KEY_A = "key-of-workspace-a"
KEY_B = "key-of-workspace-b"

Send = Callable[[CallEvent], Awaitable[None]]


def build_settings(revision: int = 1, limit: int = 0) -> Settings:
    """Return settings with two classes, two workspaces and one service."""
    target = LatencyTarget(first_token_ms=60_000, total_ms=60_000)
    return Settings(
        revision=revision,
        classes={
            "chat": ServiceClass(name="chat", priority=90, target=target),
            "batch": ServiceClass(name="batch", priority=10, target=target),
        },
        workspaces={
            "shop-a": Workspace(
                name="shop-a",
                default_class="chat",
                key_hashes=(hash_key(KEY_A),),
                concurrency_limit=limit,
            ),
            "shop-b": Workspace(
                name="shop-b", default_class="batch", key_hashes=(hash_key(KEY_B),)
            ),
        },
        services={
            "desk": Service(
                name="desk",
                kind=ServiceKind.PLAIN,
                unrepeatable=(UnrepeatableRoute(method="POST", path="/book"),),
            )
        },
    )


def build_response_events(body: bytes, *, status: int = 200) -> list[CallEvent]:
    """Return the events of a complete response in two chunks."""
    half = len(body) // 2
    headers = (("Content-Type", "application/json"),)
    return [
        CallEvent(),
        CallEvent(head=ResponseHead(status=status, headers=headers)),
        CallEvent(data=body[:half], offset=0),
        CallEvent(data=body[half:], offset=half),
        CallEvent(end=CallEnd(run_status=RunStatus.RAN), offset=len(body)),
    ]


class FakeAgent:
    """An agent with replaceable ``on_run`` and ``on_resume`` handlers."""

    def __init__(
        self, name: str, *, kind: ServiceKind = ServiceKind.MODEL, zone: str = "z1"
    ) -> None:
        self.name = name
        self.kind = kind
        self.zone = zone
        self.port = 0
        self.boot = 1
        self.runs: list[RunCall] = []
        self.resumes: list[ResumeCall] = []
        self.cancels: list[str] = []
        self.withdrawals: list[str] = []
        #: Number of cancels to leave unanswered, as on a silent connection.
        self.unanswered_cancels = 0
        self.settings_reply = SettingsReply()
        self.fences: list[FenceClaim] = []
        self.fence_reply = FenceReply(run_status=RunStatus.NOT_RUN)
        self.cancelled = asyncio.Event()
        self.started = asyncio.Event()
        self.script: list[CallEvent] = build_response_events(b'{"id": "x"}')
        self.on_run: Callable[[RunCall, Send], Awaitable[None]] = self.send_script
        self.on_resume: Callable[[ResumeCall, Send], Awaitable[None]] = self.send_script
        self._server: Any = None

    async def start(self) -> "FakeAgent":
        """Listen on a free port."""
        service = RpcService(
            [
                make_server_streaming_method(
                    paths.RUN_CALL, self._run, RunCall, CallEvent
                ),
                make_server_streaming_method(
                    paths.RESUME_CALL, self._resume, ResumeCall, CallEvent
                ),
                make_unary_method(
                    paths.CANCEL_CALL, self._cancel, CancelCall, CancelReply
                ),
                make_unary_method(
                    paths.FENCE_CLAIM, self._fence, FenceClaim, FenceReply
                ),
                make_unary_method(
                    paths.FETCH_SETTINGS, self._settings, FetchSettings, SettingsReply
                ),
            ]
        )
        self._server = build_server(services=[service], secret=SECRET)
        await self._server.start("127.0.0.1", self.port)
        self.port = self._server._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Close the port and every connection."""
        self._server.close()

    def describe(self) -> BackendServer:
        """Return the description of the backend server."""
        return BackendServer(
            server_id=self.name,
            boot=self.boot,
            service="llm" if self.kind is ServiceKind.MODEL else "desk",
            kind=self.kind,
            zone=self.zone,
            host="127.0.0.1",
            port=self.port,
            models=("m1",) if self.kind is ServiceKind.MODEL else (),
            slots=4,
        )

    async def send_script(self, request: RunCall | ResumeCall, send: Send) -> None:
        """Send the scripted events."""
        for event in self.script:
            await send(event)

    async def refuse(self, request: RunCall | ResumeCall, send: Send) -> None:
        """Refuse the call as not run."""
        await send(
            CallEvent(
                end=CallEnd(
                    run_status=RunStatus.NOT_RUN,
                    reason="queue_full",
                    retry_after_ms=2000,
                )
            )
        )

    async def _run(self, request: RunCall, stream: Any) -> None:
        self.runs.append(request)
        self.started.set()
        await self.on_run(request, stream.send_message)

    async def _resume(self, request: ResumeCall, stream: Any) -> None:
        self.resumes.append(request)
        await self.on_resume(request, stream.send_message)

    async def _settings(self, request: FetchSettings) -> SettingsReply:
        return self.settings_reply

    async def _cancel(self, request: CancelCall) -> CancelReply:
        if self.unanswered_cancels:
            self.unanswered_cancels -= 1
            await asyncio.Event().wait()
        (self.withdrawals if request.only_waiting else self.cancels).append(
            request.call_id
        )
        self.cancelled.set()
        return CancelReply(cancelled=True)

    async def _fence(self, request: FenceClaim) -> FenceReply:
        self.fences.append(request)
        return self.fence_reply


class FakeControl:
    """A control replica that sends the updates pushed by the test."""

    def __init__(self) -> None:
        self.port = 0
        self.first_view = ViewUpdate(complete=True, settings=build_settings())
        self.reports: list[EntryReport] = []
        self.reported = asyncio.Event()
        self.claims: list[ClaimRequest] = []
        self.outcomes: list[OutcomeReport] = []
        self.answer_claim: Callable[[ClaimRequest], ClaimReply | None] = lambda _: None
        self.answer_outcome: Callable[[OutcomeReport], OutcomeReply] = (
            lambda _: OutcomeReply()
        )
        self._queues: list[asyncio.Queue[ViewUpdate]] = []
        self._server: Any = None

    async def start(self) -> "FakeControl":
        """Listen on a free port."""
        service = RpcService(
            [
                make_bidirectional_method(
                    paths.WATCH_ENTRY, self._watch, EntryReport, ViewUpdate
                ),
                make_unary_method(
                    paths.CLAIM_CALL, self._claim, ClaimRequest, ClaimReply
                ),
                make_unary_method(
                    paths.REPORT_OUTCOME, self._outcome, OutcomeReport, OutcomeReply
                ),
            ]
        )
        self._server = build_server(services=[service], secret=SECRET)
        await self._server.start("127.0.0.1", self.port)
        self.port = self._server._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Close the port and every connection."""
        self._server.close()

    def push(self, update: ViewUpdate) -> None:
        """Send an update on every open stream."""
        for queue in self._queues:
            queue.put_nowait(update)

    async def _watch(self, stream: Any) -> None:
        queue: asyncio.Queue[ViewUpdate] = asyncio.Queue()
        self._queues.append(queue)
        reader = asyncio.ensure_future(self._read(stream))
        try:
            await stream.send_message(self.first_view)
            while True:
                try:
                    update = await asyncio.wait_for(queue.get(), 0.5)
                except TimeoutError:
                    update = ViewUpdate()
                await stream.send_message(update)
        finally:
            reader.cancel()
            self._queues.remove(queue)

    async def _read(self, stream: Any) -> None:
        while (report := await stream.recv_message()) is not None:
            self.reports.append(report)
            self.reported.set()

    async def _claim(self, request: ClaimRequest) -> ClaimReply:
        self.claims.append(request)
        return self.answer_claim(request) or ClaimReply(error="no_quorum")

    async def _outcome(self, report: OutcomeReport) -> OutcomeReply:
        self.outcomes.append(report)
        return self.answer_outcome(report)
