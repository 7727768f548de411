"""A simulated backend server whose responses never end as they should."""

import asyncio
import contextlib
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from standins.backend_server import SERVER_PORT, StandInServer

WRITE_BYTES: Final = 16 * 1024
_EVENT_STREAM: Final = b"Content-Type: text/event-stream\r\n\r\n"


@dataclass(frozen=True, kw_only=True)
class Flood:
    """What a server sends in place of the rest of a response."""

    #: Follows the response's status and identifiers.
    start: bytes
    repeated: bytes
    #: Bytes after which it sends nothing more, but keeps the connection; None
    #: if it goes on until the caller closes.
    bytes_until_silence: int | None = None


#: Floods by what they consist of.
FLOODS: Final[Mapping[str, Flood]] = MappingProxyType(
    {
        "one event": Flood(start=_EVENT_STREAM + b"data: ", repeated=b"x"),
        "lines of an event": Flood(start=_EVENT_STREAM, repeated=b"data: x\n"),
        "lines of a comment": Flood(start=_EVENT_STREAM, repeated=b": x\n"),
        "comments": Flood(start=_EVENT_STREAM, repeated=b": x\n\n"),
        "an event and silence": Flood(
            start=_EVENT_STREAM + b"data: ",
            repeated=b"x",
            bytes_until_silence=900_000,
        ),
        "comments and silence": Flood(
            start=_EVENT_STREAM, repeated=b": x\n\n", bytes_until_silence=60_000
        ),
        "a field of the head": Flood(start=b"X-Filler: ", repeated=b"x"),
        "fields of the head": Flood(start=b"", repeated=b"a: x\r\n"),
        "fields and silence": Flood(
            start=b"", repeated=b"a: x\r\n", bytes_until_silence=60_000
        ),
        "a plain body": Flood(start=b"\r\n", repeated=b"x"),
        "tiny chunks": Flood(
            start=b"Transfer-Encoding: chunked\r\n\r\n", repeated=b"1\r\nx\r\n"
        ),
        "chunks of nothing": Flood(
            start=b"Transfer-Encoding: chunked\r\n\r\n" + b"1;", repeated=b"x"
        ),
    }
)


class FaultyServer(StandInServer):
    """Checks in like a sound server and answers each request with a flood."""

    def __init__(self, *, flood: Flood, **values: Any) -> None:
        super().__init__(**values)
        self._flood = flood
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        #: Requests that got a part of a response.
        self.request_count = 0

    async def start(self, *, is_restart: bool = False) -> None:
        """Listen and check in."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, SERVER_PORT, limit=WRITE_BYTES
        )
        self._check_in_task = asyncio.create_task(self._check_in_periodically())

    async def crash(self) -> None:
        """Stop serving and checking in."""
        await super().crash()
        if self._server is not None:
            self._server.close()
        for writer in self._connections:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.request_count += 1
            writer.write(self._build_start(head))
            await self._send_flood(writer)
            await reader.read(-1)
        self._connections.discard(writer)
        writer.close()

    def _build_start(self, head: bytes) -> bytes:
        [attempt_id, *_] = [
            line.partition(b":")[2].strip()
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"carobspring-attempt-id:")
        ] or [b""]
        return (
            b"HTTP/1.1 200 OK\r\nCarobspring-Attempt-Id: "
            + attempt_id
            + b"\r\nCarobspring-Upstream-Signature: s\r\n"
            + self._flood.start
        )

    async def _send_flood(self, writer: asyncio.StreamWriter) -> None:
        flood = self._flood
        block = flood.repeated * (WRITE_BYTES // len(flood.repeated))
        sent_bytes = 0
        limit = flood.bytes_until_silence
        while limit is None or sent_bytes < limit:
            if writer.transport.is_closing():
                return
            part = block if limit is None else block[: limit - sent_bytes]
            writer.write(part)
            await writer.drain()
            sent_bytes += len(part)
            # Another connection's turn.
            await asyncio.sleep(0)


__all__ = ["FLOODS", "FaultyServer", "Flood"]
