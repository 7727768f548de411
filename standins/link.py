"""A TCP proxy that can delay connections and drop their bytes silently."""

import asyncio
import random
from collections.abc import Awaitable, Callable

CHUNK_BYTES = 65536
#: Minimum time between the deliveries of two chunks of a connection.
MIN_DELIVERY_INTERVAL_S = 1e-6


class Link:
    """Forwards connections to a target, with a delay in each direction.

    ``cut`` drops the bytes of all connections without closing any, like a
    network partition. ``hold`` keeps them, like one that heals before senders
    give up, until ``release`` delivers them. ``silence_connections``
    permanently drops the bytes of the open connections, while new ones work.
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
        self._drops_downstream = False
        #: What is delivered at the release, in order, or None.
        self._held: list[Callable[[], None]] | None = None
        #: Bytes received in both directions.
        self.received_bytes = 0
        self._target = (target_host, target_port)
        self.delay_s = delay_s
        self._jitter_s = jitter_s
        self._random = random.Random(seed)
        self._generation = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
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
        """Drop all bytes from now on, also on new connections.

        With ``downstream_only``, the bytes from clients to the target still
        arrive.
        """
        self.is_cut = not downstream_only
        self._drops_downstream = downstream_only

    def heal(self) -> None:
        """Let new connections work; existing ones stay silent."""
        self.is_cut = self._drops_downstream = False
        self._generation += 1

    def hold(self) -> None:
        """Hold all bytes from now on, also of new connections."""
        if self._held is None:
            self._held = []

    def release(self) -> None:
        """Deliver what was held, and hold nothing more."""
        held, self._held = self._held or [], None
        for deliver in held:
            deliver()

    def reset_connections(self) -> None:
        """Reset the open connections."""
        for task in self._tasks:
            task.cancel()

    def silence_connections(self) -> None:
        """Permanently drop all further bytes of the open connections."""
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
        self._start_task(self._forward(reader, peer_writer, generation))
        self._start_task(
            self._forward(peer_reader, writer, generation, is_downstream=True)
        )

    def _start_task(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
        is_downstream: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        deliver_at = 0.0

        def deliver(action: Callable[[], None]) -> None:
            if self._held is not None:
                self._held.append(lambda: deliver(action))
                return
            is_dropped = self.is_cut or (is_downstream and self._drops_downstream)
            if not is_dropped and generation == self._generation:
                action()

        try:
            while data := await reader.read(CHUNK_BYTES):
                self.received_bytes += len(data)
                delay_s = self.delay_s + self._random.random() * self._jitter_s
                # The event loop may reorder timers with equal times.
                deliver_at = max(
                    deliver_at + MIN_DELIVERY_INTERVAL_S, loop.time() + delay_s
                )
                loop.call_at(
                    deliver_at, deliver, lambda chunk=data: writer.write(chunk)
                )
        except asyncio.CancelledError:
            writer.transport.abort()
            raise
        except OSError:
            pass
        finally:
            loop.call_at(
                max(deliver_at + MIN_DELIVERY_INTERVAL_S, loop.time()),
                deliver,
                writer.close,
            )
