"""The stream between two control replicas, reopened when it fails."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from grpclib.const import Cardinality

from carobspring.adapters.paths import EXCHANGE_BATCHES
from carobspring.adapters.rpc import STREAM_ERRORS, open_channel
from carobspring.adapters.tasks import start_service_task, start_task
from carobspring.ports import Clock
from carobspring.protocol.peers import PeerBatch

#: Seconds without a received batch after which a stream is replaced.
SILENCE_TIMEOUT_S = 1.0
#: Seconds without a sent batch after which an empty one is sent.
HEARTBEAT_INTERVAL_S = 0.3
RECONNECT_DELAY_S = 0.2
#: Bytes queued for sending at which a stream is replaced.
MAX_QUEUED_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class PeerAddress:
    """The name of a peer and the address that it listens on."""

    name: str
    host: str
    port: int


class PeerLink:
    """Exchanges batches with one peer over one stream at a time.

    Of two replicas, the one whose name sorts first dials. Data sent while
    there is no stream is lost; consensus and gossip both send it again.
    """

    def __init__(
        self,
        *,
        own_name: str,
        peer: PeerAddress,
        secret: str,
        clock: Clock,
        on_open: Callable[[str], None],
        on_batch: Callable[[str, PeerBatch], None],
    ) -> None:
        self._own_name = own_name
        self._peer = peer
        self._secret = secret
        self._clock = clock
        self._on_open = on_open
        self._on_batch = on_batch
        self._queued_messages: list[bytes] = []
        self._queued_gossip: list[bytes] = []
        self._queued_bytes = 0
        self._send_requested = asyncio.Event()
        self._receive_task: asyncio.Task[None] | None = None
        self._dial_task: asyncio.Task[None] | None = None
        self._received_at = 0.0
        #: Whether the peer fell silent and has said nothing since.
        self._is_silent = False
        self._sent_at = 0.0
        #: Number of streams opened so far, for metrics.
        self.opened_streams = 0
        #: Bytes of messages and gossip sent, without transport overhead.
        self.sent_bytes = 0

    @property
    def is_open(self) -> bool:
        """Return whether a stream is open."""
        return self._receive_task is not None

    @property
    def is_responding(self) -> bool:
        """Return whether a stream is open to a peer that does not stand still.

        A stream to a process that stands still opens like any other.
        """
        return self.is_open and not self._is_silent

    @property
    def is_heard(self) -> bool:
        """Return whether the peer was lately heard on an open stream."""
        silent_s = self._clock.read_monotonic() - self._received_at
        return self.is_responding and silent_s <= SILENCE_TIMEOUT_S

    def start(self) -> None:
        """Start dialing the peer, if this side dials."""
        if self._own_name < self._peer.name:
            self._dial_task = start_service_task(
                self._dial, name=f"peer link {self._peer.name}"
            )

    def send(self, message: bytes) -> None:
        """Send a consensus message in the next batch."""
        self._enqueue(self._queued_messages, message)

    def send_gossip(self, gossip: bytes) -> None:
        """Send gossip, another component's soft state, in the next batch."""
        self._enqueue(self._queued_gossip, gossip)

    def tick(self) -> None:
        """Send a heartbeat if one is due, or close a silent stream."""
        if self._receive_task is None:
            return
        now = self._clock.read_monotonic()
        if now - self._received_at > SILENCE_TIMEOUT_S:
            self._is_silent = True
            self._receive_task.cancel()
        elif now - self._sent_at > HEARTBEAT_INTERVAL_S:
            self._send_requested.set()

    def disconnect(self) -> None:
        """Close the stream; the dialing side opens another."""
        if self._receive_task is not None:
            self._receive_task.cancel()

    async def stop(self) -> None:
        """Close the stream and stop dialing."""
        tasks = [task for task in (self._dial_task, self._receive_task) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def exchange(self, stream: Any, first_batch: PeerBatch | None = None) -> None:
        """Send and receive batches until the stream ends or is replaced.

        ``first_batch`` was received before the peer was known.
        """
        if self._receive_task is not None:
            self._receive_task.cancel()
        receive_task = start_task(self._receive(stream), name="receive batches")
        send_task = start_task(self._send(stream), name="send batches")
        self._receive_task = receive_task
        self._received_at = self._clock.read_monotonic()
        self._clear_queues()
        self.opened_streams += 1
        self._is_silent &= first_batch is None
        self._on_open(self._peer.name)
        if first_batch is not None:
            self._on_batch(self._peer.name, first_batch)
        try:
            await asyncio.wait(
                {receive_task, send_task}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            receive_task.cancel()
            send_task.cancel()
            await asyncio.gather(receive_task, send_task, return_exceptions=True)
            if self._receive_task is receive_task:
                self._receive_task = None
                self._clear_queues()

    def _enqueue(self, queue: list[bytes], data: bytes) -> None:
        if self._receive_task is None:
            return
        self._queued_bytes += len(data)
        self.sent_bytes += len(data)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self._receive_task.cancel()
            return
        queue.append(data)
        self._send_requested.set()

    def _clear_queues(self) -> None:
        self._queued_messages.clear()
        self._queued_gossip.clear()
        self._queued_bytes = 0

    async def _dial(self) -> None:
        while True:
            channel = open_channel(
                host=self._peer.host, port=self._peer.port, secret=self._secret
            )
            request = channel.request(
                EXCHANGE_BATCHES, Cardinality.STREAM_STREAM, PeerBatch, PeerBatch
            )
            with contextlib.suppress(*STREAM_ERRORS):
                async with request as stream:
                    async with asyncio.timeout(SILENCE_TIMEOUT_S):
                        await stream.send_request()
                    await self.exchange(stream)
                    await stream.cancel()
            channel.close()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _receive(self, stream: Any) -> None:
        with contextlib.suppress(*STREAM_ERRORS):
            while (batch := await stream.recv_message()) is not None:
                self._received_at = self._clock.read_monotonic()
                if self._is_silent:
                    self._is_silent = False
                    self._on_open(self._peer.name)
                self._on_batch(self._peer.name, batch)

    async def _send(self, stream: Any) -> None:
        name = self._own_name
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                batch = PeerBatch(
                    name=name,
                    messages=tuple(self._queued_messages),
                    gossip=tuple(self._queued_gossip),
                )
                self._clear_queues()
                self._send_requested.clear()
                self._sent_at = self._clock.read_monotonic()
                await stream.send_message(batch)
                name = ""
                await self._send_requested.wait()
