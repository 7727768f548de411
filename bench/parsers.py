"""Measures how long parsers of bytes from outside hold the event loop.

Run as ``python -m bench.parsers``. Each line shows the time in ms that one
parser takes for the largest input that it takes in one turn of the loop, the
shortest of several runs.
"""

import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, Final

import h11

from carobspring import platform
from carobspring.adapters.backend_connection import MAX_HEAD_BYTES, READ_SIZE_BYTES
from carobspring.adapters.http_connection import HttpConnection
from carobspring.adapters.http_framing import ChunkedBody, parse_framing
from carobspring.adapters.loop_slices import SLICE_STEPS
from carobspring.domain import InvalidValueError
from carobspring.gateway.events import EventSplitter
from carobspring.gateway.relay import MAX_EVENT_BYTES
from carobspring.platform.checkins import MAX_CHECK_IN_BYTES

RUNS: Final = 3
#: Largest head of a caller's request.
CALLER_HEAD_BYTES: Final = 16 * 1024
#: Bytes of one read of a caller's connection.
CALLER_READ_BYTES: Final = 64 * 1024
HEAD: Final = b"GET / HTTP/1.1\r\nHost: x\r\n"


def parse_head(head: bytes) -> None:
    """Parse the head of a caller's request."""
    connection: Any = HttpConnection.__new__(HttpConnection)
    server = SimpleNamespace(
        http=SimpleNamespace(base="http://x", uri=None), host="x", port=1, secure=False
    )
    connection._protocol = SimpleNamespace(_server=server)
    connection._head, connection._sock, connection._peer = head, None, ""
    connection._closing = False
    parse_framing(head)
    request = connection._convert_request(connection._parse_head(), b"")
    platform.parse_request_headers(request.headers)


def parse_request_chunks() -> None:
    """Decode a read full of chunks of one byte."""
    ChunkedBody(max_body_bytes=2**22).feed(b"1\r\nx\r\n" * (CALLER_READ_BYTES // 6))


def parse_response(data: bytes, events: int) -> None:
    """Parse a number of events of a backend server's response."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    for start in range(0, len(data), READ_SIZE_BYTES):
        parser.receive_data(data[start : start + READ_SIZE_BYTES])
        if parser.next_event() is not h11.NEED_DATA:
            break
    for _ in range(events):
        parser.next_event()


def parse_event(event: bytes) -> None:
    """Split one event of a stream and ask what it says."""
    for each in EventSplitter().feed(event):
        assert not each.is_comment or not each.holds_head


def parse_check_in(body: bytes) -> None:
    """Decode a check-in that names no server."""
    try:
        platform.decode_check_in("s", body)
    except InvalidValueError:
        return


def fill(line: bytes, size: int) -> bytes:
    """Repeat a line up to a size in bytes."""
    return line * (size // len(line))


RESPONSE: Final = b"HTTP/1.1 200 OK\r\n"
CHUNKS: Final = RESPONSE + b"Transfer-Encoding: chunked\r\n\r\n"
PARTS: Final = b"Carobspring-Prefix-Hash: " + fill(b"5c1e07a2:1,", 15_000)

CASES: Final[dict[str, Callable[[], None]]] = {
    "request head, many fields": lambda: parse_head(
        HEAD + fill(b"a:\r\n", CALLER_HEAD_BYTES).rstrip()
    ),
    "request head, escaped cookie": lambda: parse_head(
        HEAD + b'Cookie: a="' + fill(b'\\"', 15_000) + b'"'
    ),
    "request head, parts of a prompt": lambda: parse_head(HEAD + PARTS),
    "request body, tiny chunks": parse_request_chunks,
    "response head, many fields": lambda: parse_response(
        RESPONSE + fill(b"a:\r\n", MAX_HEAD_BYTES - 1024) + b"\r\n", 0
    ),
    "response body, tiny chunks of a read": lambda: parse_response(
        CHUNKS + fill(b"1\r\nx\r\n", READ_SIZE_BYTES), READ_SIZE_BYTES // 6
    ),
    "response body, tiny chunks of a slice": lambda: parse_response(
        CHUNKS + fill(b"1\r\nx\r\n", READ_SIZE_BYTES), SLICE_STEPS
    ),
    "event of many lines": lambda: parse_event(
        fill(b"x\n", MAX_EVENT_BYTES - 1) + b"\n"
    ),
    "event of many heads": lambda: parse_event(
        fill(b"data: HTTP/1.1 200\n", MAX_EVENT_BYTES - 20) + b"\n"
    ),
    "check-in of many brackets": lambda: parse_check_in(
        b'{"models":' + b"[" * (MAX_CHECK_IN_BYTES - 16)
    ),
    "check-in of many models": lambda: parse_check_in(
        b'{"models":[' + fill(b"{},", MAX_CHECK_IN_BYTES - 32) + b"{}]}"
    ),
}


def measure(parse: Callable[[], None]) -> float:
    """Return the shortest time of several runs, in seconds."""
    times = []
    for _ in range(RUNS):
        started_at = time.perf_counter()
        parse()
        times.append(time.perf_counter() - started_at)
    return min(times)


def main() -> None:
    """Measure and print every case."""
    for name, parse in CASES.items():
        print(f"{name:40s}{measure(parse) * 1000:9.2f} ms")


if __name__ == "__main__":
    main()
