"""Progress of a running call and completeness of its response."""

from carobspring.protocol import ResponseHead, RunCall

DONE_EVENT = b"data: [DONE]"
DATA_FIELD = b"data:"
#: Bytes kept from the end of a chunk to find markers across two chunks.
TAIL_BYTES = 64


class RunProgress:
    """Counts the tokens of a streamed response and detects its last event.

    Each server-sent event counts as one token. The end of the previous chunk
    is kept to find markers that are split between two chunks.
    """

    def __init__(self, *, call: RunCall, now: float) -> None:
        self.started_at = now
        #: When the last byte arrived or, before that, the call was sent.
        self.last_activity_at = now
        self.first_data_at: float | None = None
        self.last_data_at = now
        self.tokens = 0
        self._model_stream = call.stream
        self._requires_done_event = False
        self._is_done = False
        self._tail = b""
        self._reported_tokens = 0
        self._reported_at = now

    def record_head(self, head: ResponseHead, now: float, *, is_model: bool) -> None:
        """Process the status and headers of the response."""
        self.last_activity_at = now
        content_type = next(
            (value for name, value in head.headers if name.lower() == "content-type"),
            "",
        )
        is_event_stream = content_type.lower().startswith("text/event-stream")
        self._requires_done_event = is_model and is_event_stream and head.status == 200

    def record_data(self, data: bytes, now: float) -> bool:
        """Process a chunk of data; return whether it is the first one."""
        self.last_activity_at = now
        self.last_data_at = now
        is_first = self.first_data_at is None
        if is_first:
            self.first_data_at = now
            self._reported_at = now
        if self._requires_done_event:
            overlap = self._tail[-(len(DATA_FIELD) - 1) :]
            self.tokens += (overlap + data).count(DATA_FIELD)
            joined = self._tail + data if len(data) < TAIL_BYTES else data
            self._is_done = self._is_done or DONE_EVENT in self._tail + data
            self._tail = joined[-TAIL_BYTES:]
        return is_first

    def is_complete(self) -> bool:
        """Return whether the response has the last event that it needs."""
        return self._is_done or not self._requires_done_event

    def take_token_gap(self) -> float | None:
        """Return the mean token gap since the previous result, if known.

        It is None while fewer than two tokens were received since then.
        """
        tokens = self.tokens - self._reported_tokens
        span_s = self.last_data_at - self._reported_at
        if tokens < 2 or span_s <= 0:
            return None
        self._reported_tokens = self.tokens
        self._reported_at = self.last_data_at
        return span_s / tokens
