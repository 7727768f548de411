"""Reading a call's event stream to its end, across broken connections."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from grpclib import GRPCError
from grpclib.const import Cardinality
from grpclib.exceptions import StreamTerminatedError

from carobspring.adapters import paths
from carobspring.adapters.rpc import STREAM_ERRORS, connect
from carobspring.domain import BackendServer, RunStatus
from carobspring.entry.channels import ChannelPool, SharedChannel
from carobspring.protocol import CallEnd, CallEvent, ResumeCall, RunCall

#: Time without any event after which a stream counts as broken.
SILENCE_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 3.0
TRAILER_TIMEOUT_S = 0.5
RESUME_ATTEMPTS = 2
RESUME_DELAY_S = 0.1

#: Reasons of call ends that the entry determines itself.
UNREACHABLE = "unreachable"
AGENT_LOST = "agent_lost"
#: The agent sent a part of the response and then said "not run".
DENIED_AFTER_START = "denied_after_start"

Deliver = Callable[[CallEvent], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class StreamLimits:
    """Timeouts and retry limits for streams from agents."""

    silence_timeout_s: float = SILENCE_TIMEOUT_S
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    resume_attempts: int = RESUME_ATTEMPTS
    resume_delay_s: float = RESUME_DELAY_S


@dataclass(kw_only=True)
class CallProgress:
    """How much of a call's response has been received."""

    call_id: str
    offset: int = 0
    has_head: bool = False
    #: Whether the agent may have received the call.
    sent: bool = False
    end: CallEnd | None = None
    #: Number of streams that broke or timed out during this call.
    broken_streams: int = 0
    #: Number of events that repeated data already received.
    duplicates: int = 0

    @property
    def has_begun(self) -> bool:
        """Whether a part of the response was received."""
        return self.has_head or self.offset > 0


class ConnectionObserver(ABC):
    """Receives what the stream reader observes about agent connections."""

    @abstractmethod
    def record_round_trip(self, server: BackendServer, round_trip_ms: float) -> None:
        """Record the round trip measured when a connection is opened."""

    @abstractmethod
    def record_broken_stream(self, server: BackendServer) -> None:
        """Record a stream that broke or timed out."""


class CallStreamReader:
    """Runs or resumes calls at agents and delivers their events in order.

    Each byte is delivered once, even if an agent sends it again: data below
    the current offset is dropped. A gap is a stream error, after which the
    call is resumed at the current offset.
    """

    def __init__(
        self,
        *,
        pool: ChannelPool,
        limits: StreamLimits,
        observer: ConnectionObserver,
    ) -> None:
        self._pool = pool
        self._limits = limits
        self._observer = observer

    async def read_to_end(
        self,
        server: BackendServer,
        request: RunCall | ResumeCall,
        deliver: Deliver,
        progress: CallProgress,
    ) -> CallEnd:
        """Read a call's events until its end and return the end.

        A connection that breaks or times out is replaced and the call is
        resumed. If that fails too, the end is NOT_RUN if nothing was ever
        sent, else UNKNOWN with the reason ``agent_lost``.
        """
        failures = 0
        while True:
            previous_offset = progress.offset
            try:
                await self._read_stream(server, request, deliver, progress)
            except ConnectionRefusedError:
                # The agent's process is gone and has lost its state, so this
                # attempt counts as an additional failure.
                failures += 1
            except STREAM_ERRORS:
                progress.broken_streams += 1
                self._observer.record_broken_stream(server)
            if progress.end is not None:
                return progress.end
            if not progress.sent:
                return CallEnd(run_status=RunStatus.NOT_RUN, reason=UNREACHABLE)
            failures = 0 if progress.offset > previous_offset else failures + 1
            if failures > self._limits.resume_attempts:
                return CallEnd(run_status=RunStatus.UNKNOWN, reason=AGENT_LOST)
            if failures > 1:
                await asyncio.sleep(self._limits.resume_delay_s * failures)
            request = ResumeCall(
                call_id=progress.call_id, offset=progress.offset, boot=server.boot
            )

    async def _read_stream(
        self,
        server: BackendServer,
        request: RunCall | ResumeCall,
        deliver: Deliver,
        progress: CallProgress,
    ) -> None:
        with self._pool.acquire(server) as shared:
            try:
                round_trip_s = await connect(
                    shared.channel, self._limits.connect_timeout_s
                )
                if round_trip_s is not None:
                    self._observer.record_round_trip(server, round_trip_s * 1000)
                await self._read_events(shared, request, deliver, progress)
            except STREAM_ERRORS as error:
                if not isinstance(error, GRPCError):
                    self._pool.retire(server, shared)
                raise

    async def _read_events(
        self,
        shared: SharedChannel,
        request: RunCall | ResumeCall,
        deliver: Deliver,
        progress: CallProgress,
    ) -> None:
        path = paths.RUN_CALL if isinstance(request, RunCall) else paths.RESUME_CALL
        loop = asyncio.get_running_loop()
        silence_s = self._limits.silence_timeout_s
        stream = shared.channel.request(
            path, Cardinality.UNARY_STREAM, type(request), CallEvent
        )
        async with asyncio.timeout(silence_s) as silence_timeout, stream:
            progress.sent = True
            await stream.send_message(request, end=True)
            while progress.end is None:
                silence_timeout.reschedule(loop.time() + silence_s)
                event = await stream.recv_message()
                if event is None:
                    raise StreamTerminatedError("stream ended without an end event")
                silence_timeout.reschedule(None)
                await self._process_event(event, deliver, progress)
            # The call's end is known, so the wait for the stream to close is
            # short.
            silence_timeout.reschedule(loop.time() + min(silence_s, TRAILER_TIMEOUT_S))

    async def _process_event(
        self, event: CallEvent, deliver: Deliver, progress: CallProgress
    ) -> None:
        if event.call_id not in ("", progress.call_id):
            raise StreamTerminatedError("event belongs to another call")
        if event.head is not None:
            if progress.has_head:
                progress.duplicates += 1
                event = CallEvent(load=event.load, revision=event.revision)
            progress.has_head = True
        if event.data:
            if event.offset > progress.offset:
                raise StreamTerminatedError("response data has a gap")
            new_data = event.data[progress.offset - event.offset :]
            if len(new_data) < len(event.data):
                progress.duplicates += 1
            progress.offset += len(new_data)
            event = CallEvent(
                data=new_data,
                offset=progress.offset - len(new_data),
                load=event.load,
                revision=event.revision,
            )
        if event.end is not None:
            is_complete = event.end.run_status is RunStatus.RAN
            if is_complete and event.offset != progress.offset:
                raise StreamTerminatedError("call ended elsewhere in its response")
            progress.end = event.end
            if event.end.run_status is RunStatus.NOT_RUN and progress.has_begun:
                progress.end = CallEnd(
                    run_status=RunStatus.UNKNOWN, reason=DENIED_AFTER_START
                )
        await deliver(event)
