"""Responses of a server that is asked to go on with a stream, but does not."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from standins.events import StreamEvent, format_event, parse_event

STREAM_TYPE: Final = "text/event-stream"
FILLER: Final = b"x"
ENDLESS_CHUNK: Final = FILLER * 0x4000
ERROR_EVENT: Final = b"data: error: no such run\n\n"
HEAD_AS_TEXT: Final = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
    b"no such run\n\n"
)


@dataclass(frozen=True, kw_only=True)
class OddContinuation:
    """A response that no continuation of a stream can be."""

    body: bytes
    status: int = 200
    content_type: str = STREAM_TYPE
    #: Whether the response has the server's receipt.
    is_signed: bool = True
    #: Whether the last bytes come again and again.
    is_endless: bool = False


def build_odd_continuations(
    last_number: int, version: str
) -> Mapping[str, OddContinuation]:
    """Return responses by name, to one who has events up to a number."""

    def format_number(number: int) -> bytes:
        return format_event(StreamEvent(number=number, version=version))

    known, following = format_number(last_number), format_number(last_number + 1)
    return {
        "no event": OddContinuation(body=b""),
        "only old events": OddContinuation(body=known),
        "a gap": OddContinuation(body=format_number(last_number + 2)),
        "a gap behind the next event": OddContinuation(
            body=following + format_number(last_number + 3)
        ),
        "no identifier": OddContinuation(body=ERROR_EVENT),
        "a head as text": OddContinuation(body=HEAD_AS_TEXT),
        "half an event": OddContinuation(body=following[:-2]),
        "partial content": OddContinuation(body=following, status=206),
        "an error": OddContinuation(body=following, status=500),
        "a denial": OddContinuation(body=ERROR_EVENT, status=400),
        "no receipt": OddContinuation(body=following, is_signed=False),
        "another type": OddContinuation(body=following, content_type="text/plain"),
        "without end": OddContinuation(
            body=ENDLESS_CHUNK, content_type="text/plain", is_endless=True
        ),
        "old events without end": OddContinuation(body=known, is_endless=True),
    }


def is_odd_text(body: bytes) -> bool:
    """Return whether one of the responses of another type begins so."""
    return not body.strip(FILLER) or parse_event(body.removesuffix(b"\n\n")) is not None


#: Responses as good as any to callers that take streams up themselves, as
#: nobody knows by how much the numbers of a server increase.
OWN_ANSWERS: Final = ("no event", "a gap", "a gap behind the next event")
ODD_CONTINUATIONS: Final = tuple(build_odd_continuations(1, "v1"))
