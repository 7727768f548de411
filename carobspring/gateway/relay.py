"""What one caller gets: a whole answer, or events as they come."""

from collections.abc import Awaitable, Callable
from typing import Final

from carobspring import platform
from carobspring.dispatch import AttemptOutcome, Dispatcher
from carobspring.gateway.admission import AdmissionClient
from carobspring.gateway.events import EventSplitter, StreamEvent
from carobspring.gateway.outcomes import AttemptResult, BufferedResponse, encode_error
from carobspring.ports import BackendAnswer, HttpResponder

#: Answers up to this size are relayed only once they are whole, so that the
#: caller never gets a part of one that breaks off.
WHOLE_ANSWER_BYTES: Final = 256 * 1024

ANSWERED: Final = AttemptResult(outcome=AttemptOutcome.ANSWERED)

#: Awaits a step of an attempt, and ends it with an error if its server is
#: to be left.
Watch = Callable[[Awaitable[bytes]], Awaitable[bytes]]


class ResponseRelay:
    """Gives a caller one answer, from one backend server or from several.

    A stream goes on after its last relayed event, whichever server it comes
    from; its head is the first server's.
    """

    def __init__(
        self,
        *,
        request_id: str,
        responder: HttpResponder,
        dispatcher: Dispatcher,
        admission_client: AdmissionClient,
        read_clock: Callable[[], float],
    ) -> None:
        self._request_id = request_id
        self._responder = responder
        self._dispatcher = dispatcher
        self._admission_client = admission_client
        self._read_clock = read_clock
        #: Time of the first byte for the caller; None before it.
        self.first_byte_at: float | None = None
        #: Identifier of the last event that the caller was sent.
        self.last_event_id = ""
        self.longest_pause_s = 0.0
        self.events = 0
        self._event_at = 0.0

    @property
    def has_started(self) -> bool:
        """Say whether the caller has got a part of its answer."""
        return self.first_byte_at is not None

    async def relay_body(self, answer: BackendAnswer) -> AttemptResult:
        """Relay an answer once it is whole, unless it is large."""
        body = bytearray()
        while data := await answer.read():
            body += data
            if len(body) > WHOLE_ANSWER_BYTES and not self.has_started:
                return await self._relay_large_body(answer, bytes(body))
        detail = f"status {answer.status}"
        response = BufferedResponse(
            status=answer.status, headers=answer.headers, body=bytes(body)
        )
        if answer.status >= 500:
            return AttemptResult(
                outcome=AttemptOutcome.SERVER_ERROR, detail=detail, response=response
            )
        if self.has_started:
            # A stream has begun: this can't be its continuation.
            return AttemptResult(outcome=AttemptOutcome.CUT, detail=detail)
        await self.send_response(response)
        return ANSWERED

    async def relay_events(
        self, answer: BackendAnswer, server_id: str, watch: Watch
    ) -> AttemptResult:
        """Relay a stream's events, each as soon as it is whole."""
        splitter = EventSplitter()
        while data := await watch(answer.read()):
            for event in splitter.feed(data):
                await self._relay_event(event, answer, server_id)
        if splitter.buffered_bytes:
            detail = "the stream ended inside an event"
            return AttemptResult(outcome=AttemptOutcome.CUT, detail=detail)
        if not self.has_started:
            await self._begin(answer)
        await self._responder.finish()
        return ANSWERED

    async def send_response(self, response: BufferedResponse) -> None:
        """Send a server's answer that is whole."""
        self.first_byte_at = self._read_clock()
        await self._responder.send(response.status, response.headers, response.body)

    async def send_error(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Send an answer of the system's own."""
        headers = platform.build_error_headers(
            request_id=self._request_id, retry_after_s=retry_after_s
        )
        await self._responder.send(status, headers, encode_error(reason))

    def abort(self) -> None:
        """Break off an answer that has begun, so that it looks cut."""
        self._responder.abort()

    async def _begin(self, answer: BackendAnswer) -> None:
        self.first_byte_at = self._read_clock()
        await self._responder.start(answer.status, answer.headers)

    async def _relay_large_body(
        self, answer: BackendAnswer, begun: bytes
    ) -> AttemptResult:
        await self._begin(answer)
        await self._responder.write(begun)
        while data := await answer.read():
            await self._responder.write(data)
        await self._responder.finish()
        return ANSWERED

    async def _relay_event(
        self, event: StreamEvent, answer: BackendAnswer, server_id: str
    ) -> None:
        if not self.has_started:
            now = self._read_clock()
            self._dispatcher.note_first_event(server_id, self._request_id, now)
            self._admission_client.release(server_id, self._request_id)
            await self._begin(answer)
        elif _is_repeated(event.event_id, self.last_event_id):
            return
        self.last_event_id = event.event_id or self.last_event_id
        now = self._read_clock()
        if self.events:
            pause_s = now - self._event_at
            self._dispatcher.note_event(server_id, self._request_id, pause_s, now)
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._event_at = now
        self.events += 1
        await self._responder.write(event.data)


def _is_repeated(event_id: str, last_event_id: str) -> bool:
    if not (event_id.isdigit() and last_event_id.isdigit()):
        return False
    return int(event_id) <= int(last_event_id)
