"""Relaying of responses and event streams to a caller."""

from collections.abc import Awaitable, Callable
from typing import Final

from carobspring import platform
from carobspring.adapters.loop_slices import PacedSteps
from carobspring.dispatch import AttemptOutcome, Dispatcher
from carobspring.gateway.admission import AdmissionClient
from carobspring.gateway.events import EventSplitter, StreamEvent
from carobspring.gateway.outcomes import AttemptResult, BufferedResponse, encode_error
from carobspring.platform import ResponseMetadata
from carobspring.ports import (
    BackendResponse,
    HttpResponder,
    IncompleteResponseError,
)
from carobspring.resumption import EventPosition, EventSequence

#: Responses up to this size are sent only when they are complete, so that a
#: caller never gets part of a response that breaks off.
MAX_BUFFERED_BYTES: Final = 256 * 1024
#: The same while the memory of the process is short.
SHORT_BUFFERED_BYTES: Final = 16 * 1024
#: Largest response that is relayed, and largest event of a stream.
MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024
MAX_EVENT_BYTES: Final = 1024 * 1024
#: Comments before the first event of a stream. Servers send a few to keep a
#: connection open.
MAX_HELD_COMMENT_BYTES: Final = 64 * 1024
#: Bytes of an event whose end has not arrived, and of comments before the
#: first event, while the memory of the process is short. Ordinary events are
#: smaller.
SHORT_HELD_BYTES: Final = 16 * 1024

#: The only status of a response that continues a stream.
CONTINUATION_STATUS: Final = 200

ANSWERED: Final = AttemptResult(outcome=AttemptOutcome.ANSWERED)

#: Awaits a read, and raises an error if the request should move to another
#: server.
ReadWatcher = Callable[[Awaitable[bytes]], Awaitable[bytes]]


class ResponseRelay:
    """Sends a caller one response, from one backend server or from several.

    A stream that moves to another server continues after the last relayed
    event, if what comes then proves that it follows. Its status and headers
    are those of the first server.
    """

    def __init__(
        self,
        *,
        request_id: str,
        responder: HttpResponder,
        dispatcher: Dispatcher,
        admission_client: AdmissionClient,
        read_clock: Callable[[], float],
        sequence: EventSequence,
    ) -> None:
        self._request_id = request_id
        self._responder = responder
        self._dispatcher = dispatcher
        self._admission_client = admission_client
        self._read_clock = read_clock
        self._sequence = sequence
        #: Monotonic time of the first byte sent to the caller, or None.
        self.first_byte_at: float | None = None
        #: Comments before the first event.
        self._held_comments = bytearray()
        #: Bytes of a server's error response that is kept for the caller, in
        #: case no other server answers.
        self._kept_bytes = 0
        self.longest_event_gap_s = 0.0
        self.event_count = 0
        self._last_event_at = 0.0

    @property
    def has_started(self) -> bool:
        """Whether a part of the response was sent to the caller."""
        return self.first_byte_at is not None

    @property
    def last_event_id(self) -> str:
        """Identifier of the last event sent to the caller, or empty."""
        return self._sequence.last_id if self.event_count else ""

    @property
    def can_continue(self) -> bool:
        """Whether another server can go on with what the caller has."""
        has_events = self.event_count > 0
        return not self.has_started or (has_events and self._sequence.can_continue)

    async def relay_body(self, backend_response: BackendResponse) -> AttemptResult:
        """Relay a response when it is complete; stream a large one."""
        body = bytearray()
        if not await self._read_small_body(backend_response, body):
            return await self._stream_large_body(backend_response, body)
        detail = f"status {backend_response.status}"
        buffered = BufferedResponse(
            status=backend_response.status,
            headers=backend_response.headers,
            body=bytes(body),
        )
        if backend_response.status >= 500:
            self._kept_bytes = len(buffered.body)
            return AttemptResult(
                outcome=AttemptOutcome.SERVER_ERROR, detail=detail, response=buffered
            )
        await self.send_response(buffered)
        return ANSWERED

    def reject_continuation(
        self, status: int, metadata: ResponseMetadata
    ) -> AttemptResult | None:
        """Return why a response can't go on with a stream; None if it can."""
        if not self.has_started:
            return None
        is_continuation = (
            status == CONTINUATION_STATUS
            and metadata.is_event_stream
            and bool(metadata.signature)
        )
        if is_continuation:
            self._sequence.begin_continuation()
            return None
        outcome = AttemptOutcome.INCOMPLETE
        if status >= 500:
            outcome = AttemptOutcome.SERVER_ERROR
        detail = f"no continuation of the stream: status {status}"
        return AttemptResult(outcome=outcome, detail=detail)

    async def relay_events(
        self,
        backend_response: BackendResponse,
        server_id: str,
        watch_read: ReadWatcher,
        on_first_event: Callable[[], None],
    ) -> AttemptResult:
        """Relay the events of a stream, each as soon as it is complete.

        ``on_first_event`` is called before the first event is sent to the
        caller. It is not kept: it belongs to the owner of the relay, and a
        cycle would keep request and response until the garbage collector runs.
        """
        try:
            return await self._relay_stream(
                backend_response, server_id, watch_read, on_first_event
            )
        finally:
            # A response that is broken off holds back nothing any more, also
            # while the request moves to another server.
            self._responder.set_batching(False)
            self._held_comments.clear()
            self._hold_back(0)

    async def _relay_stream(
        self,
        backend_response: BackendResponse,
        server_id: str,
        watch_read: ReadWatcher,
        on_first_event: Callable[[], None],
    ) -> AttemptResult:
        is_continuation = self.has_started
        splitter = EventSplitter()
        steps = PacedSteps()
        read_bytes = 0
        while data := await watch_read(backend_response.read()):
            steps.rest()
            read_bytes += len(data)
            _check_size(read_bytes, MAX_RESPONSE_BYTES)
            # Events of one read stay together, however long they take.
            self._responder.set_batching(True)
            for event in splitter.feed(data):
                await steps.take()
                await self._relay_event(
                    event, backend_response, server_id, on_first_event
                )
            self._responder.set_batching(False)
            self._check_held(splitter.buffered_bytes)
        if splitter.buffered_bytes:
            detail = "the stream ended inside an event"
            return AttemptResult(outcome=AttemptOutcome.INCOMPLETE, detail=detail)
        if not self.event_count and not backend_response.is_end_marked:
            detail = "the stream ended before its first event"
            return AttemptResult(outcome=AttemptOutcome.INCOMPLETE, detail=detail)
        must_add = is_continuation or self._sequence.has_repeats
        if must_add and not self._sequence.has_progress:
            # Whether the caller has the whole stream, nothing tells.
            detail = "no further event of the stream"
            return AttemptResult(outcome=AttemptOutcome.INCOMPLETE, detail=detail)
        if not self.has_started:
            await self._start_response(backend_response)
        await self._responder.finish()
        return ANSWERED

    async def send_response(self, response: BufferedResponse) -> None:
        """Send a server's complete response."""
        self.first_byte_at = self._read_clock()
        await self._responder.send(response.status, response.headers, response.body)

    async def send_error(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Send an error response of the gateway itself."""
        headers = platform.build_error_headers(
            request_id=self._request_id, retry_after_s=retry_after_s
        )
        await self._responder.send(status, headers, encode_error(reason))

    def abort(self) -> None:
        """Abort a response, so that the caller sees it as incomplete."""
        self._responder.abort()

    def _hold_back(self, size: int) -> bool:
        """Report what is held back, and return whether it may be.

        What is kept of an earlier response counts until one has begun.
        """
        kept_bytes = 0 if self.has_started else self._kept_bytes
        return self._responder.hold_back(size + kept_bytes)

    async def _start_response(self, backend_response: BackendResponse) -> None:
        self.first_byte_at = self._read_clock()
        await self._responder.start(backend_response.status, backend_response.headers)
        await self._responder.write(bytes(self._held_comments))

    async def _read_small_body(
        self, backend_response: BackendResponse, body: bytearray
    ) -> bool:
        """Read a body; return False once it is too large to be held back."""
        while data := await backend_response.read():
            body += data
            may_hold = self._hold_back(len(body))
            if len(body) > (MAX_BUFFERED_BYTES if may_hold else SHORT_BUFFERED_BYTES):
                return False
        return True

    async def _stream_large_body(
        self, backend_response: BackendResponse, start: bytearray
    ) -> AttemptResult:
        await self._start_response(backend_response)
        read_bytes = len(start)
        data = bytes(start)
        # The caller of this function keeps it until the end of the response.
        start.clear()
        while data:
            await self._responder.write(data)
            data = await backend_response.read()
            read_bytes += len(data)
            _check_size(read_bytes, MAX_RESPONSE_BYTES)
        await self._responder.finish()
        return ANSWERED

    async def _relay_event(
        self,
        event: StreamEvent,
        backend_response: BackendResponse,
        server_id: str,
        on_first_event: Callable[[], None],
    ) -> None:
        if event.holds_head:
            raise IncompleteResponseError(reason="another answer inside the stream")
        if event.is_comment:
            await self._relay_comment(event)
            return
        now = self._read_clock()
        position = self._sequence.locate(event.event_id, now)
        if position is EventPosition.REPEATED:
            return
        if position is not EventPosition.NEXT:
            reason = f"the stream does not go on: {position.value}"
            raise IncompleteResponseError(reason=reason)
        if not self.has_started:
            self._dispatcher.record_first_event(server_id, self._request_id, now)
            self._admission_client.release(server_id, self._request_id)
            on_first_event()
            await self._start_response(backend_response)
        now = self._read_clock()
        if self.event_count:
            event_gap_s = now - self._last_event_at
            self._dispatcher.record_event(server_id, self._request_id, event_gap_s, now)
            self.longest_event_gap_s = max(self.longest_event_gap_s, event_gap_s)
        self._last_event_at = now
        self.event_count += 1
        await self._responder.write(event.data)

    def _check_held(self, event_bytes: int) -> None:
        """Report what is held back, and refuse what is too much of it.

        Servers decide how much there is, and may send it on all connections,
        so a limit for each response alone doesn't bound the process.
        """
        comment_bytes = 0 if self.has_started else len(self._held_comments)
        may_hold = self._hold_back(event_bytes + comment_bytes)
        _check_size(event_bytes, MAX_EVENT_BYTES)
        _check_size(comment_bytes, MAX_HELD_COMMENT_BYTES)
        if not may_hold:
            _check_size(event_bytes + comment_bytes, SHORT_HELD_BYTES)

    async def _relay_comment(self, event: StreamEvent) -> None:
        """Relay comments, which never begin or continue a response."""
        if not self.has_started:
            self._held_comments += event.data
        elif not self._sequence.is_continued:
            await self._responder.write(event.data)


def _check_size(size: int, limit: int) -> None:
    if size > limit:
        raise IncompleteResponseError(reason=f"the answer exceeds {limit} bytes")
