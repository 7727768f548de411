"""Parsing of event streams into events and their identifiers."""

import re
from dataclasses import dataclass
from typing import Final

_TERMINATORS: Final = (b"\n\n", b"\r\n\r\n")
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

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an event whose end has not arrived."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are complete now."""
        self._buffer += data
        events = []
        while (end := self._find_event_end()) > 0:
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            events.append(StreamEvent(data=event, event_id=_parse_event_id(event)))
        return events

    def _find_event_end(self) -> int:
        ends = []
        for terminator in _TERMINATORS:
            position = self._buffer.find(terminator)
            if position >= 0:
                ends.append(position + len(terminator))
        return min(ends, default=0)


def _parse_event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""
