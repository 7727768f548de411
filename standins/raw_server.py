"""A simulated backend server that answers with bytes, not with a library."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

from standins.backend_server import SERVER_PORT, StandInServer

#: Answers one request by its head; the body is not read before.
Answer = Callable[[str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawServer(StandInServer):
    """Checks in like any server, and answers as a function says.

    Each connection carries one request. What is named in the answer's head is
    for the function to write; ``build_head`` returns the usual lines.
    """

    answer: Answer

    async def start(self, *, is_restart: bool = False) -> None:
        """Listen and check in."""
        self.answered_count = 0
        self._server = await asyncio.start_server(self._serve, self._ip, SERVER_PORT)
        self._check_in_task = asyncio.create_task(self._check_in_periodically())

    async def crash(self) -> None:
        """Stop serving and checking in."""
        if self._check_in_task is not None:
            self._check_in_task.cancel()
        self._server.close()

    def build_head(self, head: str, *lines: str, status: str = "200 OK") -> bytes:
        """Return the head of an answer to the request with a head."""
        attempt_id = find_header(head, "Carobspring-Attempt-Id")
        all_lines = (
            f"HTTP/1.1 {status}",
            f"Carobspring-Attempt-Id: {attempt_id}",
            f"Carobspring-Upstream-Signature: {self.server_id}.{attempt_id}",
            *lines,
        )
        return ("\r\n".join(all_lines) + "\r\n\r\n").encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            self.answered_count += 1
            await self.answer(head, reader, writer)
        writer.close()


def find_header(head: str, name: str) -> str:
    """Return the value of a header in a head, or empty."""
    for line in head.split("\r\n"):
        field, _, value = line.partition(":")
        if field.lower() == name.lower():
            return value.strip()
    return ""


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, whatever was read."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
