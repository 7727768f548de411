"""Following a call's events to its end, across broken connections."""

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

#: Seconds without any event after which a stream is taken for dead.
SILENCE_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 3.0
TRAILER_TIMEOUT_S = 0.5
RESUME_ATTEMPTS = 2
RESUME_PAUSE_S = 0.1

#: Reasons of ends that the entry itself found.
UNREACHABLE = "unreachable"
AGENT_LOST = "agent_lost"

Deliver = Callable[[CallEvent], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class StreamLimits:
    """How patient an entry is with a silent or broken stream."""

    silence_timeout_s: float = SILENCE_TIMEOUT_S
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    resume_attempts: int = RESUME_ATTEMPTS
    resume_pause_s: float = RESUME_PAUSE_S


@dataclass(kw_only=True)
class CallProgress:
    """How far the answer of a call has come here."""

    call_id: str
    offset: int = 0
    has_head: bool = False
    #: True once the agent may have received the call.
    sent: bool = False
    end: CallEnd | None = None
    #: Connections that were given up during this call.
    broken_streams: int = 0
    #: Events that were dropped as copies of what had come before.
    duplicates: int = 0


class ConnectionObserver(ABC):
    """Hears what the follower learns of the way to an agent."""

    @abstractmethod
    def record_round_trip(self, server: BackendServer, round_trip_ms: float) -> None:
        """Take a measured round trip; called for each new connection."""

    @abstractmethod
    def record_broken_stream(self, server: BackendServer) -> None:
        """Take a stream that broke or went silent; called for each."""


class CallStreamReader:
    """Runs or resumes calls at agents and hands over their events in order.

    Each event is delivered once, whatever was sent twice: bytes below the
    present offset are dropped, and a gap is an error of the stream, which is
    then resumed at the offset.
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
        """Follow a call until its end and return that.

        A connection that breaks or stays silent is replaced and the call is
        resumed. When that fails too, the end is NOT_RUN if nothing was ever
        sent, else UNKNOWN with the reason ``agent_lost``.
        """
        failures = 0
        while True:
            before = progress.offset
            try:
                await self._read_stream(server, request, deliver, progress)
            except ConnectionRefusedError:
                # The agent's process is gone, and its memory with it.
                failures += 1
            except STREAM_ERRORS:
                progress.broken_streams += 1
                self._observer.record_broken_stream(server)
            if progress.end is not None:
                return progress.end
            if not progress.sent:
                return CallEnd(run_status=RunStatus.NOT_RUN, reason=UNREACHABLE)
            failures = 0 if progress.offset > before else failures + 1
            if failures > self._limits.resume_attempts:
                return CallEnd(run_status=RunStatus.UNKNOWN, reason=AGENT_LOST)
            if failures > 1:
                await asyncio.sleep(self._limits.resume_pause_s * failures)
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
        silence = self._limits.silence_timeout_s
        stream = shared.channel.request(
            path, Cardinality.UNARY_STREAM, type(request), CallEvent
        )
        async with asyncio.timeout(silence) as patience, stream:
            progress.sent = True
            await stream.send_message(request, end=True)
            while progress.end is None:
                patience.reschedule(loop.time() + silence)
                event = await stream.recv_message()
                if event is None:
                    raise StreamTerminatedError("the stream ended before the call")
                patience.reschedule(None)
                await self._take(event, deliver, progress)
            # The end is known; the stream's own end is not waited for long.
            patience.reschedule(loop.time() + min(silence, TRAILER_TIMEOUT_S))

    async def _take(
        self, event: CallEvent, deliver: Deliver, progress: CallProgress
    ) -> None:
        if event.call_id not in ("", progress.call_id):
            raise StreamTerminatedError("the events are of another call")
        if event.head is not None:
            if progress.has_head:
                progress.duplicates += 1
                event = CallEvent(load=event.load, revision=event.revision)
            progress.has_head = True
        if event.data:
            if event.offset > progress.offset:
                raise StreamTerminatedError("bytes are missing from the answer")
            fresh = event.data[progress.offset - event.offset :]
            if len(fresh) < len(event.data):
                progress.duplicates += 1
            progress.offset += len(fresh)
            event = CallEvent(
                data=fresh,
                offset=progress.offset - len(fresh),
                load=event.load,
                revision=event.revision,
            )
        if event.end is not None:
            is_whole = event.end.run_status is RunStatus.RAN
            if is_whole and event.offset > progress.offset:
                raise StreamTerminatedError("the end of the answer is missing")
            progress.end = event.end
        await deliver(event)
