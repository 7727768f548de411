"""Parsing of event streams into events and their identifiers."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

_EVENT_END: Final = re.compile(rb"\n\n|\r\n\r\n")
_MAX_END_BYTES: Final = 4
#: The first field of a name, without making a list of the lines: an event may
#: have as many lines as half of its bytes.
_ID_FIELD: Final = re.compile(rb"(?:\A|[\r\n])id:([^\r\n]*)")
_DATA_FIELD: Final = re.compile(rb"(?:\A|[\r\n])data(?=[:\r\n]|\Z)")
_STATUS_LINE: Final = re.compile(rb"HTTP/\d\.\d \d{3}")
#: A line of another field that holds the first line of a response's head.
_HEAD_OUTSIDE_DATA: Final = re.compile(
    rb"(?:\A|[\r\n])(?!data(?:[:\r\n]|\Z))[^\r\n]*?HTTP/\d\.\d \d{3}"
)


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
        return not self.event_id and not _DATA_FIELD.search(self.data)

    @property
    def holds_head(self) -> bool:
        """Whether the head of a response begins in it, outside of its data."""
        if not _STATUS_LINE.search(self.data):
            return False
        return _HEAD_OUTSIDE_DATA.search(self.data) is not None


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

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add bytes and yield the events that are complete now.

        Each event is parsed when it is asked for. The next bytes may be added
        once there is no further one.
        """
        self._buffer += data
        start = 0
        # An end may be cut by the chunks.
        position = max(0, self._searched_bytes - _MAX_END_BYTES)
        while match := _EVENT_END.search(self._buffer, position):
            with memoryview(self._buffer) as view:
                event = bytes(view[start : match.end()])
            start = position = match.end()
            yield StreamEvent(data=event, event_id=_parse_event_id(event))
        del self._buffer[:start]
        self._searched_bytes = len(self._buffer)


def _parse_event_id(event: bytes) -> str:
    field = _ID_FIELD.search(event)
    return field[1].strip().decode("latin-1") if field else ""
