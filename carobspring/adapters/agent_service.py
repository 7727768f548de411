"""The gRPC service by which entries reach an agent's call manager."""

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


class AgentService:
    """Serves the requests of entries with the call manager."""

    def __init__(self, *, manager: CallManager, clock: Clock) -> None:
        self._manager = manager
        self._clock = clock

    def build_service(self) -> RpcService:
        """Return the gRPC service."""
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
        """Submit a call and send its events."""
        submitted = await self._manager.submit(call)
        if isinstance(submitted, CallEnd):
            await self._send_event(stream, CallEvent(end=submitted), call.call_id)
        else:
            await self._send_events(submitted, 0, stream, call.call_id)

    async def resume_call(self, request: ResumeCall, stream: Stream[Any, Any]) -> None:
        """Send a call's events from an offset of its response."""
        table = self._manager.table
        own_boot = self._manager.agent_state.boot
        record = table.find(request.call_id)
        if record is not None and request.boot not in (0, own_boot):
            # A resend of the call, which runs since the agent has started
            # again: its response is not the one to go on with.
            event = CallEvent(end=CallEnd(run_status=RunStatus.UNKNOWN, reason="past"))
            await self._send_event(stream, event, request.call_id)
            return
        if record is not None:
            await self._send_events(record, request.offset, stream, request.call_id)
            return
        status = table.find_past_status(request.call_id)
        if status is None:
            # An agent with another boot number may have run the call. Only
            # for its own boot can this agent tell that it did not run.
            is_own_boot = request.boot == own_boot
            status = RunStatus.NOT_RUN if is_own_boot else RunStatus.UNKNOWN
            table.fence(request.call_id, status)
        not_run = status is RunStatus.NOT_RUN
        run_status = RunStatus.NOT_RUN if not_run else RunStatus.UNKNOWN
        event = CallEvent(end=CallEnd(run_status=run_status, reason="past"))
        await self._send_event(stream, event, request.call_id)

    async def cancel_call(self, request: CancelCall) -> CancelReply:
        """Cancel a call that no caller waits for."""
        return self._manager.cancel(request)

    async def fence_claim(self, request: FenceClaim) -> FenceReply:
        """Return the status of a claim; if it has not started, prevent it."""
        return self._manager.fence(request)

    async def fetch_settings(self, request: FetchSettings) -> SettingsReply:
        """Return the settings to an entry that can't reach control."""
        agent_state = self._manager.agent_state
        is_newer = agent_state.settings.revision > request.revision
        return SettingsReply(
            settings=agent_state.settings if is_newer else None,
            revision=agent_state.highest_known_revision,
        )

    async def _send_events(
        self,
        record: CallRecord,
        offset: int,
        stream: Stream[Any, Any],
        call_id: str,
    ) -> None:
        reader = record.attach(offset, self._clock.read_monotonic())
        try:
            while (event := await reader.read()) is not None:
                await self._send_event(stream, event, call_id)
                reader.last_sent_at = self._clock.read_monotonic()
        finally:
            record.detach(reader, self._clock.read_monotonic())

    async def _send_event(
        self, stream: Stream[Any, Any], event: CallEvent, call_id: str
    ) -> None:
        load = None
        if event.end is not None or not (event.head or event.data):
            load = self._manager.build_load_report()
        revision = self._manager.agent_state.highest_known_revision
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
