"""The agent's gRPC service: how entries reach its call manager."""

from typing import Any

from grpclib.server import Stream

from carobspring.adapters.paths import (
    CANCEL_CALL,
    FENCE_CLAIM,
    FETCH_SETTINGS,
    RESUME_CALL,
    RUN_CALL,
)
from carobspring.adapters.rpc import (
    RpcService,
    make_server_streaming_method,
    make_unary_method,
)
from carobspring.agent import CallManager, CallRecord
from carobspring.domain import RunStatus
from carobspring.ports import Clock
from carobspring.protocol import (
    CallEnd,
    CallEvent,
    CancelCall,
    CancelReply,
    FenceClaim,
    FenceReply,
    FetchSettings,
    ResumeCall,
    RunCall,
    SettingsReply,
)

SUBMIT_HEARTBEAT_S = 1.0


class AgentService:
    """Answers entries' calls by the call manager."""

    def __init__(self, *, manager: CallManager, clock: Clock) -> None:
        self._manager = manager
        self._clock = clock

    def build_service(self) -> RpcService:
        """Return the service with its methods."""
        return RpcService(
            [
                make_server_streaming_method(
                    RUN_CALL, self.run_call, RunCall, CallEvent
                ),
                make_server_streaming_method(
                    RESUME_CALL, self.resume_call, ResumeCall, CallEvent
                ),
                make_unary_method(
                    CANCEL_CALL, self.cancel_call, CancelCall, CancelReply
                ),
                make_unary_method(
                    FENCE_CLAIM, self.fence_claim, FenceClaim, FenceReply
                ),
                make_unary_method(
                    FETCH_SETTINGS, self.fetch_settings, FetchSettings, SettingsReply
                ),
            ]
        )

    async def run_call(self, call: RunCall, stream: Stream[Any, Any]) -> None:
        """Take a call in and send its events."""
        taken = await self._manager.submit(call)
        if isinstance(taken, CallEnd):
            await self._send(stream, CallEvent(end=taken), call.call_id)
        else:
            await self._follow(taken, 0, stream, call.call_id)

    async def resume_call(self, request: ResumeCall, stream: Stream[Any, Any]) -> None:
        """Send a call's events from an offset of its answer."""
        table = self._manager.table
        record = table.find(request.call_id)
        if record is not None:
            await self._follow(record, request.offset, stream, request.call_id)
            return
        status = table.find_past_status(request.call_id)
        if status is None:
            # Another boot may have run it; only under its own boot number can
            # this agent say that it did not.
            mine = request.boot == self._manager.agent_state.boot
            status = RunStatus.NOT_RUN if mine else RunStatus.UNKNOWN
            table.fence(request.call_id, status)
        not_run = status is RunStatus.NOT_RUN
        kept = RunStatus.NOT_RUN if not_run else RunStatus.UNKNOWN
        event = CallEvent(end=CallEnd(run_status=kept, reason="past"))
        await self._send(stream, event, request.call_id)

    async def cancel_call(self, request: CancelCall) -> CancelReply:
        """Stop a call that nobody waits for."""
        return self._manager.cancel(request)

    async def fence_claim(self, request: FenceClaim) -> FenceReply:
        """Say what became of a claim, barring it when it has not started."""
        return self._manager.fence(request)

    async def fetch_settings(self, request: FetchSettings) -> SettingsReply:
        """Give the settings to an entry that control can't reach."""
        agent_state = self._manager.agent_state
        newer = agent_state.settings.revision > request.revision
        return SettingsReply(
            settings=agent_state.settings if newer else None,
            revision=agent_state.revision,
        )

    async def _follow(
        self,
        record: CallRecord,
        offset: int,
        stream: Stream[Any, Any],
        call_id: str,
    ) -> None:
        reader = record.attach(offset, self._clock.read_monotonic())
        try:
            while (event := await reader.read()) is not None:
                await self._send(stream, event, call_id)
                reader.last_sent_at = self._clock.read_monotonic()
        finally:
            record.detach(reader, self._clock.read_monotonic())

    async def _send(
        self, stream: Stream[Any, Any], event: CallEvent, call_id: str
    ) -> None:
        load = None
        if event.end is not None or not (event.head or event.data):
            load = self._manager.build_load_report()
        revision = self._manager.agent_state.revision
        await stream.send_message(
            CallEvent(
                head=event.head,
                data=event.data,
                end=event.end,
                offset=event.offset,
                load=load,
                revision=revision,
                call_id=call_id,
            )
        )
