"""Event streams: where an event ends, and what its identifier is."""

from dataclasses import dataclass
from typing import Final

_ENDS: Final = (b"\n\n", b"\r\n\r\n")
_ID_FIELD: Final = b"id:"


@dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """A whole event with the blank line that ends it."""

    data: bytes
    #: Empty when the event has none.
    event_id: str


class EventSplitter:
    r"""Cuts the bytes of an event stream into whole events.

    A stream that breaks inside an event can go on at another backend server
    only from the last whole one, so a part of an event is held back until
    its end has come.

    Example:
        ``splitter.add(b"id: 1\ndata: x\n\nid: 2")`` returns one event.
    """

    def __init__(self) -> None:
        self._held = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an event whose end has not come."""
        return len(self._held)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that are whole now."""
        self._held += data
        events = []
        while (end := self._find_end()) > 0:
            whole = bytes(self._held[:end])
            del self._held[:end]
            events.append(StreamEvent(data=whole, event_id=_read_id(whole)))
        return events

    def _find_end(self) -> int:
        ends = []
        for mark in _ENDS:
            position = self._held.find(mark)
            if position >= 0:
                ends.append(position + len(mark))
        return min(ends, default=0)


def _read_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""
