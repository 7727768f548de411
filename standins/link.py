"""A TCP link that can delay, cut and forget connections silently."""

import asyncio
import random
from collections.abc import Awaitable, Callable

CHUNK_BYTES = 65536
#: Least time between two pieces of a connection.
MIN_DELIVERY_INTERVAL_S = 1e-6


class Link:
    """Forwards connections to a target, with a delay each way.

    ``cut`` drops bytes of all connections without closing any, as a silent
    partition does; ``forget`` drops them for connections that are open now,
    for good, while new ones work.
    """

    def __init__(
        self,
        *,
        target_host: str,
        target_port: int,
        delay_s: float = 0.0,
        jitter_s: float = 0.0,
        seed: int = 0,
    ) -> None:
        self.port = 0
        self.is_cut = False
        self._cuts_backward = False
        #: Bytes taken in, both ways together.
        self.received_bytes = 0
        self._target = (target_host, target_port)
        self.delay_s = delay_s
        self._jitter_s = jitter_s
        self._random = random.Random(seed)
        self._generation = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close the link and all its connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, *, downstream_only: bool = False) -> None:
        """Drop everything from now on, also on new connections.

        With ``downstream_only`` what callers send still arrives.
        """
        self.is_cut = not downstream_only
        self._cuts_backward = downstream_only

    def heal(self) -> None:
        """Let new connections work; those open during the cut stay silent."""
        self.is_cut = self._cuts_backward = False
        self._generation += 1

    def reset_connections(self) -> None:
        """Reset the connections that are open now."""
        for task in self._tasks:
            task.cancel()

    def silence_connections(self) -> None:
        """Make the connections that are open now silent for good."""
        self._generation += 1

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        generation = self._generation
        try:
            peer_reader, peer_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._spawn(self._forward(reader, peer_writer, generation))
        self._spawn(self._forward(peer_reader, writer, generation, backward=True))

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
        backward: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        due = 0.0

        def deliver(action: Callable[[], None]) -> None:
            is_cut = self.is_cut or (backward and self._cuts_backward)
            if not is_cut and generation == self._generation:
                action()

        try:
            while data := await reader.read(CHUNK_BYTES):
                self.received_bytes += len(data)
                delay_s = self.delay_s + self._random.random() * self._jitter_s
                # The loop keeps no order among timers of one time.
                due = max(due + MIN_DELIVERY_INTERVAL_S, loop.time() + delay_s)
                loop.call_at(due, deliver, lambda piece=data: writer.write(piece))
        except asyncio.CancelledError:
            writer.transport.abort()
            raise
        except OSError:
            pass
        finally:
            loop.call_at(
                max(due + MIN_DELIVERY_INTERVAL_S, loop.time()), deliver, writer.close
            )
