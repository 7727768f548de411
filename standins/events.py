"""The events that stand-in servers write to streams."""

import re
from dataclasses import dataclass
from typing import Final

_TERMINATOR: Final = b"\n\n"
_EVENT: Final = re.compile(rb"id: (\d+)\ndata: (\d+) (v\d+)")


@dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """One event, as a stand-in server writes it."""

    number: int
    #: Software version of the server that wrote it.
    version: str


@dataclass(frozen=True, kw_only=True)
class StreamText:
    """What a caller got of a stream."""

    events: tuple[StreamEvent, ...]
    #: Texts that no server writes as an event of a stream.
    foreign: tuple[bytes, ...] = ()
    #: What follows the last whole event.
    rest: bytes = b""

    @property
    def numbers(self) -> list[int]:
        """The numbers of the events, in order."""
        return [event.number for event in self.events]


def format_event(event: StreamEvent) -> bytes:
    """Return an event as a server writes it."""
    number = event.number
    return b"id: %d\ndata: %d %s\n\n" % (number, number, event.version.encode())


def parse_event(text: bytes) -> StreamEvent | None:
    """Return the event of a text without its end; None for any other text."""
    match = _EVENT.fullmatch(text)
    if match is None or match[1] != match[2]:
        return None
    return StreamEvent(number=int(match[1]), version=match[3].decode())


def parse_stream(body: bytes) -> StreamText:
    """Split what a caller got of a stream into events and other texts.

    The rest counts as foreign unless an event may begin with it.
    """
    *texts, rest = body.split(_TERMINATOR)
    parsed = [(text, parse_event(text)) for text in texts]
    foreign = [text for text, event in parsed if event is None]
    if rest and not b"id: ".startswith(rest[:4]):
        foreign.append(rest)
    return StreamText(
        events=tuple(event for _, event in parsed if event is not None),
        foreign=tuple(foreign),
        rest=rest,
    )
