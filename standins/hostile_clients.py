"""Clients that send what no well-behaved caller does, over raw sockets.

Each form is a sequence of pieces. A client writes them until it is refused,
its connection is closed, or the server stops reading; then it stays open.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

#: Largest body that the operator's configuration allows here, in bytes.
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
MAX_HEAD_BYTES: Final = 16 * 1024
PIECE_BYTES: Final = 4 * 1024
SMALL_CHUNK_BYTES: Final = 32
LARGE_CHUNK_BYTES: Final = 1024 * 1024
#: Chunks of a body without end, four times the largest allowed body.
ENDLESS_CHUNKS: Final = 16
FIELDS_IN_HEAD: Final = 2_000
HEADS_AHEAD: Final = 30
REQUESTS_AHEAD: Final = 20_000
#: Seconds in which a client writes. What a server has not read by then, it
#: does not want to read.
WRITE_TIME_S: Final = 6.0
#: Seconds in which a slow client writes, and between two of its bytes.
SLOW_TIME_S: Final = 3.0
SLOW_INTERVAL_S: Final = 0.2
#: Bytes of one write of a body that is sent as fast as possible.
BLOCK_BYTES: Final = 64 * 1024
#: Bodies that count as small, and of middle size, for a server that has room
#: of its own for small ones.
SMALL_BODY_BYTES: Final = 60_000
MIDDLE_BODY_BYTES: Final = 300_000
#: Short fields of a head that is not conspicuous.
FEW_FIELDS: Final = 120


@dataclass(frozen=True, kw_only=True)
class Target:
    """Where hostile clients connect, and what their requests name."""

    host: str
    port: int
    path: str
    method: str = "POST"
    headers: Mapping[str, str] = field(default_factory=dict)

    def build_head(self, *extra: str, end: bool = True) -> bytes:
        """Return a request head with further lines."""
        lines = [f"{self.method} {self.path} HTTP/1.1", "Host: shop.example"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        head = "\r\n".join((*lines, *extra)) + "\r\n"
        return (head + ("\r\n" if end else "")).encode()


#: Returns the pieces that one client sends to a target.
Form = Callable[[Target], Iterator[bytes]]


def send_whole_bodies(target: Target) -> Iterator[bytes]:
    """Send a complete body of the largest size at once."""
    yield target.build_head(f"Content-Length: {MAX_BODY_BYTES}")
    yield bytes(MAX_BODY_BYTES)


def send_unfinished_bodies(target: Target) -> Iterator[bytes]:
    """Send all but the last byte of a body of the largest size."""
    yield target.build_head(f"Content-Length: {MAX_BODY_BYTES}")
    yield bytes(MAX_BODY_BYTES - 1)


def send_bodies_in_pieces(target: Target) -> Iterator[bytes]:
    """Send all but the last byte of a body in small writes."""
    yield target.build_head(f"Content-Length: {MAX_BODY_BYTES}")
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES - 1):
        yield bytes(PIECE_BYTES)
    yield bytes(PIECE_BYTES - 1)


def send_small_chunks(target: Target) -> Iterator[bytes]:
    """Send all but the end of a body in chunks of a few bytes."""
    yield target.build_head("Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (SMALL_CHUNK_BYTES, bytes(SMALL_CHUNK_BYTES))
    in_piece = PIECE_BYTES // SMALL_CHUNK_BYTES
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES):
        yield chunk * in_piece


def send_oversized_bodies(target: Target) -> Iterator[bytes]:
    """Declare a body far over the limit, and send it."""
    size = ENDLESS_CHUNKS * LARGE_CHUNK_BYTES
    yield target.build_head(f"Content-Length: {size}")
    for _ in range(ENDLESS_CHUNKS):
        yield bytes(LARGE_CHUNK_BYTES)


def send_endless_bodies(target: Target) -> Iterator[bytes]:
    """Send large chunks far over the limit."""
    yield target.build_head("Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (LARGE_CHUNK_BYTES, bytes(LARGE_CHUNK_BYTES))
    for _ in range(ENDLESS_CHUNKS):
        yield chunk


def send_many_fields(target: Target) -> Iterator[bytes]:
    """Send heads of a legal size that consist of very many short fields."""
    fields = [f"{number:x}:" for number in range(FIELDS_IN_HEAD)]
    head = target.build_head(*fields, "Content-Length: 0")
    assert len(head) < MAX_HEAD_BYTES
    yield head * HEADS_AHEAD


def send_requests_ahead(target: Target) -> Iterator[bytes]:
    """Send many requests on one connection and read no answer."""
    head = target.build_head("Content-Length: 0")
    for _ in range(REQUESTS_AHEAD // 100):
        yield head * 100


def send_slowly(target: Target) -> Iterator[bytes]:
    """Send a head byte by byte and stop half-way."""
    head = target.build_head("Content-Length: 1000", end=False)
    for _ in range(int(SLOW_TIME_S / SLOW_INTERVAL_S)):
        yield head[:1]
        head = head[1:]


def stop_inside_head(target: Target) -> Iterator[bytes]:
    """Send a head that lacks only its end."""
    head = target.build_head(end=False)
    yield head + b"X-Filler: " + b"x" * (MAX_HEAD_BYTES - len(head) - 20)


def _split_body(size: int, piece_bytes: int) -> Iterator[bytes]:
    piece = bytes(piece_bytes)
    for _ in range(size // piece_bytes):
        yield piece
    yield piece[: size % piece_bytes]


def send_blocks(target: Target) -> Iterator[bytes]:
    """Send a complete body of the largest size, as fast as it is read."""
    yield target.build_head(f"Content-Length: {MAX_BODY_BYTES}")
    yield from _split_body(MAX_BODY_BYTES, BLOCK_BYTES)


def build_short_body_form(size: int, piece_bytes: int = BLOCK_BYTES) -> Form:
    """Return a form that sends all of a body but its last byte."""

    def send(target: Target) -> Iterator[bytes]:
        yield target.build_head(f"Content-Length: {size}")
        yield from _split_body(size - 1, piece_bytes)

    return send


def send_hosts_ahead(target: Target) -> Iterator[bytes]:
    """Send requests ahead that have no header but the host."""
    head = f"{target.method} {target.path} HTTP/1.1\r\nHost: shop.example\r\n\r\n"
    for _ in range(REQUESTS_AHEAD // 100):
        yield head.encode() * 100


def send_bare_requests_ahead(target: Target) -> Iterator[bytes]:
    """Send requests ahead that have no header at all."""
    head = f"{target.method} {target.path} HTTP/1.1\r\n\r\n".encode()
    for _ in range(REQUESTS_AHEAD // 100):
        yield head * 100


def send_short_fields_ahead(target: Target) -> Iterator[bytes]:
    """Send requests ahead that have many short fields, but not too many."""
    fields = [f"a{number}:" for number in range(FEW_FIELDS)]
    head = target.build_head(*fields, "Content-Length: 0")
    for _ in range(REQUESTS_AHEAD // 100):
        yield head * 10


FORMS: Final[Mapping[str, Form]] = {
    "whole bodies": send_whole_bodies,
    "unfinished bodies": send_unfinished_bodies,
    "bodies in pieces": send_bodies_in_pieces,
    "small chunks": send_small_chunks,
    "oversized bodies": send_oversized_bodies,
    "endless bodies": send_endless_bodies,
    "many fields": send_many_fields,
    "requests ahead": send_requests_ahead,
    "slow heads": send_slowly,
    "unfinished heads": stop_inside_head,
}

#: Forms that take memory by the number of clients that send them.
CROWD_FORMS: Final[Mapping[str, Form]] = {
    "whole bodies": send_blocks,
    "short bodies": build_short_body_form(MAX_BODY_BYTES),
    "short middle bodies": build_short_body_form(MIDDLE_BODY_BYTES),
    "short small bodies": build_short_body_form(SMALL_BODY_BYTES),
    "short bodies in pieces": build_short_body_form(MAX_BODY_BYTES, PIECE_BYTES),
    "requests ahead": send_requests_ahead,
    "hosts ahead": send_hosts_ahead,
    "bare requests ahead": send_bare_requests_ahead,
    "short fields ahead": send_short_fields_ahead,
    "many fields": send_many_fields,
    "unfinished heads": stop_inside_head,
}


class HostileCrowd:
    """A number of clients that send one form to one target.

    Example:
        ``async with HostileCrowd(target=target, form=form, count=24): ...``
        sends all of it, and leaves the connections open until the end.
    """

    def __init__(self, *, target: Target, form: Form, count: int) -> None:
        self._target = target
        self._form = form
        self._count = count
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> "HostileCrowd":
        await asyncio.gather(*(self._send() for _ in range(self._count)))
        return self

    async def __aexit__(self, *error: object) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _send(self) -> None:
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(WRITE_TIME_S):
                # A stream's reader pauses once its buffer is full, so that
                # answers stay unread.
                _, writer = await asyncio.open_connection(
                    self._target.host, self._target.port, limit=1024
                )
                self._writers.append(writer)
                is_slow = self._form is send_slowly
                for piece in self._form(self._target):
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(SLOW_INTERVAL_S if is_slow else 0)
