"""Measures the connections and the memory that a client of servers holds.

Run as ``python -m bench.connections``. The first part sends requests to a
server that closes its connection after each response, and prints by how much
the memory of the client grows. The second part sends requests that may run
once, each of which opens a connection, from several clients to a server that
takes a bounded number, and prints what was held, refused and opened.
"""

import asyncio
import contextlib
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bench.processes import read_resident_mb
from carobspring.adapters.backend_http import HttpBackend
from carobspring.gateway.backends import IDLE_TIMEOUT_S, compute_max_idle
from carobspring.ports import (
    BackendRequest,
    BackendUnreachableError,
    IncompleteResponseError,
)
from standins.programs import parse_options

HEALTH_PATH = "/healthz"
BODY = b"x" * 800
#: Requests after which memory is first read, so that caches have filled.
WARM_UP_REQUESTS = 1000
CONCURRENCY = 20


@dataclass(frozen=True, kw_only=True)
class ConnectionsOptions:
    """The flags of the connection benchmark."""

    #: Requests to a server that closes each connection.
    requests: int = 20_000
    #: Clients of the server that takes a bounded number of connections.
    clients: int = 6
    max_connections: int = 110
    #: Requests a second from all clients, for some seconds.
    rate: float = 300.0
    duration_s: float = 10.0
    #: True to bound the idle connections of each client.
    bounded: bool = True
    #: Run as the server; set by the benchmark itself.
    serve: bool = False
    closes: bool = False


class BoundedServer:
    """Responds to each request, and resets connections beyond a number."""

    def __init__(self, *, max_connections: int, closes: bool) -> None:
        self._max_connections = max_connections
        self._closes = closes
        self._open: set[asyncio.StreamWriter] = set()
        self._most_open = 0
        self._refused = 0

    async def run(self) -> None:
        """Serve until the standard input ends; then print what was seen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        print(server.sockets[0].getsockname()[1], flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
        print(self._most_open, self._refused, flush=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._open) >= self._max_connections:
            self._refused += 1
            writer.transport.abort()
            return
        self._open.add(writer)
        self._most_open = max(self._most_open, len(self._open))
        connection = "close" if self._closes else "keep-alive"
        head = (
            f"HTTP/1.1 200 OK\r\nConnection: {connection}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        )
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(head.encode() + BODY)
                await writer.drain()
                if self._closes:
                    break
        self._open.discard(writer)
        writer.close()


@contextlib.asynccontextmanager
async def run_server(*, max_connections: int, closes: bool):
    """Run a server as a process; yield its URL and its counts at the end."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.connections",
        "--serve=True",
        f"--closes={closes}",
        f"--max_connections={max_connections}",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    port = int(await process.stdout.readline())
    counts: list[int] = []
    try:
        yield f"http://127.0.0.1:{port}", counts
    finally:
        output, _ = await process.communicate(b"")
        counts += [int(word) for word in output.split()]


async def send(backend: HttpBackend, *, repeatable: bool) -> bool:
    """Send one request; return whether it was answered."""
    request = BackendRequest(method="GET", path="/", repeatable=repeatable)
    try:
        response = await backend.send(request)
        while await response.read():
            pass
    except (BackendUnreachableError, IncompleteResponseError):
        return False
    response.close()
    return True


async def measure_memory(options: ConnectionsOptions) -> None:
    """Print the growth of memory over requests whose connections close."""
    async with run_server(max_connections=10_000, closes=True) as (url, _):
        backend = build_backend(url, None)

        async def send_many(count: int) -> None:
            for _ in range(count // CONCURRENCY):
                await send(backend, repeatable=True)

        async def send_all(count: int) -> float:
            await asyncio.gather(*(send_many(count) for _ in range(CONCURRENCY)))
            return read_resident_mb(os.getpid())

        before_mb = await send_all(WARM_UP_REQUESTS)
        after_mb = await send_all(options.requests)
        await backend.close()
    growth_mb = after_mb - before_mb
    print(f"{options.requests} requests to a closing server: {growth_mb:+.2f} MB")


async def measure_connections(options: ConnectionsOptions) -> None:
    """Print what clients hold at a server that takes few connections."""
    compute = None
    if options.bounded:
        compute = partial(compute_max_idle, options.max_connections, options.clients)
    server = run_server(max_connections=options.max_connections, closes=False)
    async with server as (url, counts):
        clients = [build_backend(url, compute) for _ in range(options.clients)]
        tasks = []
        for number in range(round(options.rate * options.duration_s)):
            client = clients[number % len(clients)]
            tasks.append(asyncio.create_task(send(client, repeatable=False)))
            await asyncio.sleep(1 / options.rate)
        answered = sum(await asyncio.gather(*tasks))
        opened = sum(client.opened_connections for client in clients)
        for client in clients:
            await client.close()
    most_open, refused = counts
    print(
        f"{len(tasks)} requests that run once, bounded {options.bounded}: "
        f"{answered} answered, {refused} connections refused, at most {most_open} "
        f"open, {opened} opened"
    )


def build_backend(url: str, compute: Callable[[], int] | None) -> HttpBackend:
    """Return a client as an entry has it."""
    return HttpBackend(
        url=url,
        health_path=HEALTH_PATH,
        idle_timeout_s=IDLE_TIMEOUT_S,
        compute_max_idle=compute,
    )


def main() -> None:
    """Run both parts, or the server of one."""
    options = parse_options(ConnectionsOptions)
    if options.serve:
        server = BoundedServer(
            max_connections=options.max_connections, closes=options.closes
        )
        asyncio.run(server.run())
        return
    asyncio.run(measure_memory(options))
    asyncio.run(measure_connections(options))


if __name__ == "__main__":
    main()
