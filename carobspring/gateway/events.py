"""Parsing of event streams into events and their identifiers."""

import re
from dataclasses import dataclass
from typing import Final

_EVENT_END: Final = re.compile(rb"\n\n|\r\n\r\n")
_MAX_END_BYTES: Final = 4
_ID_FIELD: Final = b"id:"
_DATA_FIELD: Final = b"data"
_STATUS_LINE: Final = re.compile(rb"HTTP/\d\.\d \d{3}")


@dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """A complete event, including the blank line that ends it."""

    data: bytes
    #: Empty if the event has no identifier.
    event_id: str

    @property
    def is_comment(self) -> bool:
        """Whether it says nothing, such as a comment or a retry interval.

        Without data and an identifier it is no event for callers.
        """
        if self.event_id:
            return False
        lines = self.data.splitlines()
        return all(line.partition(b":")[0] != _DATA_FIELD for line in lines)

    @property
    def holds_head(self) -> bool:
        """Whether the head of a response begins in it, outside of its data."""
        if not _STATUS_LINE.search(self.data):
            return False
        lines = self.data.splitlines()
        others = (line for line in lines if line.partition(b":")[0] != _DATA_FIELD)
        return any(_STATUS_LINE.search(line) for line in others)


class EventSplitter:
    r"""Splits the bytes of an event stream into complete events.

    A broken stream can be resumed at another backend server only after its
    last complete event, so an incomplete event is buffered until its end has
    arrived.

    Example:
        ``splitter.feed(b"id: 1\ndata: x\n\nid: 2")`` returns one event.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        #: Bytes of the buffer in which no end was found.
        self._searched_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an event whose end has not arrived."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are complete now."""
        self._buffer += data
        events = []
        start = 0
        # An end may be cut by the chunks.
        search_from = max(0, self._searched_bytes - _MAX_END_BYTES)
        for match in _EVENT_END.finditer(self._buffer, search_from):
            event = bytes(self._buffer[start : match.end()])
            start = match.end()
            events.append(StreamEvent(data=event, event_id=_parse_event_id(event)))
        del self._buffer[:start]
        self._searched_bytes = len(self._buffer)
        return events


def _parse_event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""
