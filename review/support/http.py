"""A small HTTP/1.1 client and message reader on asyncio streams."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or response: its first line, headers and body."""

    first_line: str
    headers: list[tuple[str, str]]
    body: bytes = b""
    #: False if the connection ended before the message was complete.
    complete: bool = True

    @property
    def status(self) -> int:
        return int(self.first_line.split(" ", 2)[1])

    def get(self, name: str, default: str = "") -> str:
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    def get_all(self, name: str) -> list[str]:
        return [value for key, value in self.headers if key.lower() == name.lower()]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None if the connection ended before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.partition(":") for line in lines]
    return Message(first, [(name, value.strip()) for name, _, value in pairs])


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body until its last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = (await reader.readexactly(size + 2))[:-2]
        if not size:
            return
        yield data


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message whose head was read."""
    if message.get("Transfer-Encoding").lower() == "chunked":
        async for data in read_chunks(reader):
            message.body += data
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))


def build_request(method: str, target: str, headers, body: bytes | None = None) -> bytes:
    """Return the bytes of a request; a body gets a Content-Length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


@dataclass
class Answer:
    """What a caller got: status 0 means no complete answer."""

    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    error: str = ""


async def exchange(host: str, port: int, parts, timeout_s: float = 5.0) -> Answer:
    """Send byte strings on a new connection and read one response.

    A number among the parts is a pause in seconds.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            for part in parts:
                if isinstance(part, bytes):
                    writer.write(part)
                    await writer.drain()
                else:
                    await asyncio.sleep(part)
            message = await read_head(reader)
            if message is None:
                return Answer(error="closed without an answer")
            await read_body(reader, message)
            return Answer(message.status, message.headers, message.body)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        return Answer(error=f"{type(error).__name__} {error}")
    finally:
        if writer is not None:
            writer.close()
