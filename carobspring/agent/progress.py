"""How far a running call has come, and whether its answer is whole."""

from carobspring.protocol import ResponseHead, RunCall

DONE_MARK = b"data: [DONE]"
EVENT_MARK = b"data:"
TAIL_BYTES = 64


class RunProgress:
    """Counts tokens of a streamed answer and knows its closing event.

    A token is one server-sent event; marks that fall across two pieces are
    found by keeping the end of the last piece.
    """

    def __init__(self, *, call: RunCall, now: float) -> None:
        self.started_at = now
        #: When the last byte came, or the call was sent.
        self.last_activity_at = now
        self.first_at: float | None = None
        self.last_at = now
        self.tokens = 0
        self._model_stream = call.stream
        self._must_close = False
        self._closed = False
        self._tail = b""
        self._reported_tokens = 0
        self._reported_at = now

    def record_head(self, head: ResponseHead, now: float, *, is_model: bool) -> None:
        """Take in status and headers."""
        self.last_activity_at = now
        kind = next(
            (value for name, value in head.headers if name.lower() == "content-type"),
            "",
        )
        event_stream = kind.lower().startswith("text/event-stream")
        self._must_close = is_model and event_stream and head.status == 200

    def record_data(self, data: bytes, now: float) -> bool:
        """Take in a piece; say whether it is the first one."""
        self.last_activity_at = now
        self.last_at = now
        first = self.first_at is None
        if first:
            self.first_at = now
            self._reported_at = now
        if self._must_close:
            overlap = self._tail[-(len(EVENT_MARK) - 1) :]
            self.tokens += (overlap + data).count(EVENT_MARK)
            joined = self._tail + data if len(data) < TAIL_BYTES else data
            self._closed = self._closed or DONE_MARK in self._tail + data
            self._tail = joined[-TAIL_BYTES:]
        return first

    def is_complete(self) -> bool:
        """Say whether the answer has all the marks of a whole one."""
        return self._closed or not self._must_close

    def take_token_gap(self) -> float | None:
        """Return the mean gap of the tokens since the last call, if any."""
        tokens = self.tokens - self._reported_tokens
        span = self.last_at - self._reported_at
        if tokens < 2 or span <= 0:
            return None
        self._reported_tokens = self.tokens
        self._reported_at = self.last_at
        return span / tokens
