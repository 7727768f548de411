"""The stream between two control replicas, kept up and watched."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from grpclib.const import Cardinality

from carobspring.adapters.paths import EXCHANGE_BATCHES
from carobspring.adapters.rpc import STREAM_ERRORS, open_channel
from carobspring.ports import Clock
from carobspring.protocol.peers import PeerBatch

#: A stream on which nothing arrives for this long is replaced.
SILENCE_TIMEOUT_S = 1.0
#: An empty batch goes out when nothing else did for this long.
HEARTBEAT_INTERVAL_S = 0.3
RECONNECT_DELAY_S = 0.2
MAX_QUEUED_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class PeerAddress:
    """Where a peer listens."""

    name: str
    host: str
    port: int


class PeerLink:
    """Sends to one peer and receives from it over one stream at a time.

    Of two replicas, the one whose name comes first dials. What is sent while
    there is no stream is lost; consensus and gossip both send again.
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
        self._messages: list[bytes] = []
        self._gossip: list[bytes] = []
        self._waiting_bytes = 0
        self._wake = asyncio.Event()
        self._reader: asyncio.Task[None] | None = None
        self._dialer: asyncio.Task[None] | None = None
        self._received_at = 0.0
        self._sent_at = 0.0
        #: Streams opened since the start, for the metrics.
        self.opened_streams = 0
        #: Bytes of messages and gossip sent, without the transport's own.
        self.sent_bytes = 0

    @property
    def is_open(self) -> bool:
        """Say whether there is a stream at present."""
        return self._reader is not None

    def start(self) -> None:
        """Dial the peer, if this side dials."""
        if self._own_name < self._peer.name:
            self._dialer = asyncio.create_task(self._dial())

    def send(self, message: bytes) -> None:
        """Send a message of consensus with the next batch."""
        self._add(self._messages, message)

    def send_gossip(self, gossip: bytes) -> None:
        """Send another component's soft state with the next batch."""
        self._add(self._gossip, gossip)

    def tick(self) -> None:
        """Send a heartbeat when due; drop a stream that is silent."""
        if self._reader is None:
            return
        now = self._clock.read_monotonic()
        if now - self._received_at > SILENCE_TIMEOUT_S:
            self._reader.cancel()
        elif now - self._sent_at > HEARTBEAT_INTERVAL_S:
            self._wake.set()

    def disconnect(self) -> None:
        """End the present stream; the dialing side opens another."""
        if self._reader is not None:
            self._reader.cancel()

    async def stop(self) -> None:
        """End the stream and dial no more."""
        tasks = [task for task in (self._dialer, self._reader) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def exchange(self, stream: Any) -> None:
        """Send and receive on a stream until it ends or is replaced."""
        if self._reader is not None:
            self._reader.cancel()
        reader = asyncio.create_task(self._receive(stream))
        writer = asyncio.create_task(self._send(stream))
        self._reader = reader
        self._received_at = self._clock.read_monotonic()
        self._clear()
        self.opened_streams += 1
        self._on_open(self._peer.name)
        try:
            await asyncio.wait({reader, writer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            reader.cancel()
            writer.cancel()
            await asyncio.gather(reader, writer, return_exceptions=True)
            if self._reader is reader:
                self._reader = None
                self._clear()

    def _add(self, waiting: list[bytes], data: bytes) -> None:
        if self._reader is None:
            return
        self._waiting_bytes += len(data)
        self.sent_bytes += len(data)
        if self._waiting_bytes > MAX_QUEUED_BYTES:
            self._reader.cancel()
            return
        waiting.append(data)
        self._wake.set()

    def _clear(self) -> None:
        self._messages.clear()
        self._gossip.clear()
        self._waiting_bytes = 0

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
                self._on_batch(self._peer.name, batch)

    async def _send(self, stream: Any) -> None:
        name = self._own_name
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                batch = PeerBatch(
                    name=name,
                    messages=tuple(self._messages),
                    gossip=tuple(self._gossip),
                )
                self._clear()
                self._wake.clear()
                self._sent_at = self._clock.read_monotonic()
                await stream.send_message(batch)
                name = ""
                await self._wake.wait()
