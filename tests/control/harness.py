"""A control replica in the test's event loop, and clients of its streams."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

from grpclib.client import StreamStreamMethod, UnaryUnaryMethod

from carobspring.adapters import paths
from carobspring.adapters.rpc import open_channel
from carobspring.domain import BackendServer, LoadReport, ServiceKind
from carobspring.programs.control_program import ControlOptions, ControlProgram
from carobspring.protocol import (
    AgentReport,
    AgentUpdate,
    EntryReport,
    ViewUpdate,
)

SECRET = "secret-of-the-test"
TOKEN = "token-of-the-test"
WAIT_S = 20.0


@contextlib.asynccontextmanager
async def run_control(**options: Any) -> AsyncIterator[tuple[ControlProgram, dict]]:
    """Run a replica on free ports; yield the program and its ports."""
    program = ControlProgram(
        ControlOptions(
            rpc_port=0,
            admin_port=0,
            secret=SECRET,
            operator_token=TOKEN,
            **options,
        )
    )
    ports = await program.start()
    try:
        yield program, ports
    finally:
        await program.stop()


class StreamClient:
    """One stream to a replica; it keeps every message received."""

    def __init__(
        self, port: int, path: str, request_type: type, reply_type: type
    ) -> None:
        self._channel = open_channel(host="127.0.0.1", port=port, secret=SECRET)
        self._method = StreamStreamMethod(self._channel, path, request_type, reply_type)
        self._changed = asyncio.Condition()
        self._contexts = contextlib.AsyncExitStack()
        self.received: list[Any] = []

    async def __aenter__(self) -> "StreamClient":
        self._stream = await self._contexts.enter_async_context(self._method.open())
        await self._stream.send_request()
        self._reader = asyncio.ensure_future(self._read())
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._reader.cancel()
        await asyncio.gather(self._reader, return_exceptions=True)
        self._channel.close()
        with contextlib.suppress(Exception):
            await self._contexts.aclose()

    async def send(self, message: Any) -> None:
        await self._stream.send_message(message)

    async def wait_for(self, matches: Callable[[Any], bool]) -> Any:
        """Return the first message that matches, once it is received."""
        async with asyncio.timeout(WAIT_S), self._changed:
            while True:
                for message in self.received:
                    if matches(message):
                        return message
                await self._changed.wait()

    async def wait_for_end(self) -> None:
        """Wait until the replica ends the stream; raise its error."""
        async with asyncio.timeout(WAIT_S):
            await asyncio.shield(self._reader)

    async def _read(self) -> None:
        async for message in self._stream:
            async with self._changed:
                self.received.append(message)
                self._changed.notify_all()


def open_agent(port: int) -> StreamClient:
    return StreamClient(port, paths.WATCH_AGENT, AgentReport, AgentUpdate)


def open_entry(port: int) -> StreamClient:
    return StreamClient(port, paths.WATCH_ENTRY, EntryReport, ViewUpdate)


async def send_request(port: int, path: str, request: Any, reply_type: type) -> Any:
    """Send one unary request and return the reply."""
    channel = open_channel(host="127.0.0.1", port=port, secret=SECRET)
    try:
        method = UnaryUnaryMethod(channel, path, type(request), reply_type)
        return await method(request, timeout=WAIT_S)
    finally:
        channel.close()


def make_server(server_id: str = "m1", boot: int = 7, **changes: Any) -> BackendServer:
    values: dict[str, Any] = {
        "server_id": server_id,
        "boot": boot,
        "service": "llama",
        "kind": ServiceKind.MODEL,
        "zone": "a",
        "host": "127.0.0.1",
        "port": 9000,
    }
    return BackendServer(**(values | changes))


def make_report(
    sequence: int = 1, *, leaving: bool = False, running: int = 0, **server: Any
) -> AgentReport:
    load = LoadReport(sequence=sequence, running=running)
    return AgentReport(server=make_server(**server), load=load, leaving=leaving)
