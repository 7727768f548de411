"""An entry's stream to a process that keeps gates of engines."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Any, Final

from grpclib.const import Cardinality

from carobspring.adapters.paths import ADMIT
from carobspring.adapters.rpc import STREAM_ERRORS, ChannelOpener, connect
from carobspring.domain import Address
from carobspring.protocol import (
    ADMISSION_HEARTBEAT_INTERVAL_S,
    ADMISSION_SILENCE_TIMEOUT_S,
    AdmissionRelease,
    AdmissionReport,
    AdmissionRequest,
    AdmissionUpdate,
)

CONNECT_TIMEOUT_S: Final = 1.0
#: Seconds until a lost host is called again; doubled up to the last.
INITIAL_RECONNECT_DELAY_S: Final = 0.5
MAX_RECONNECT_DELAY_S: Final = 4.0

logger = logging.getLogger(__name__)


class AdmissionStream:
    """Keeps one stream to a host of gates and tells what comes in.

    ``take`` gets each update, or None when the stream is lost: what was asked
    on it will not be answered any more.
    """

    def __init__(
        self,
        *,
        address: Address,
        open_channel: ChannelOpener,
        on_update: Callable[[AdmissionUpdate | None], None],
    ) -> None:
        self.address = address
        self._open_channel = open_channel
        self._on_update = on_update
        self._asks: list[AdmissionRequest] = []
        self._left: list[AdmissionRelease] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.connected = False

    def start(self) -> None:
        """Begin to connect."""
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """End the stream for good."""
        if self._task is not None:
            self._task.cancel()

    def send_request(self, request: AdmissionRequest) -> None:
        """Send a question."""
        self._asks.append(request)
        self._wake.set()

    def send_release(self, release: AdmissionRelease) -> None:
        """Send that a prompt is read, or that its request has ended."""
        if self.connected:
            self._left.append(release)
            self._wake.set()

    async def _run(self) -> None:
        pause_s = INITIAL_RECONNECT_DELAY_S
        while True:
            reason = "the stream ended"
            was_connected = False
            try:
                await self._follow()
            except STREAM_ERRORS as error:
                reason = f"{type(error).__name__} {error}"
            finally:
                was_connected, self.connected = self.connected, False
                self._asks.clear()
                self._left.clear()
                self._on_update(None)
            if was_connected:
                pause_s = INITIAL_RECONNECT_DELAY_S
                extra = {"gate_host": str(self.address), "reason": reason}
                logger.warning("lost gate host", extra=extra)
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RECONNECT_DELAY_S, pause_s * 2)

    async def _follow(self) -> None:
        channel = self._open_channel(self.address.host, self.address.port)
        try:
            await connect(channel, CONNECT_TIMEOUT_S)
            request = channel.request(
                ADMIT, Cardinality.STREAM_STREAM, AdmissionReport, AdmissionUpdate
            )
            async with request as stream:
                await stream.send_message(AdmissionReport())
                writer = asyncio.create_task(self._write(stream))
                try:
                    await self._read(stream)
                finally:
                    writer.cancel()
        finally:
            channel.close()

    async def _read(self, stream: Any) -> None:
        while True:
            async with asyncio.timeout(ADMISSION_SILENCE_TIMEOUT_S):
                update = await stream.recv_message()
            if update is None:
                return
            if not self.connected:
                self.connected = True
                logger.info("gate host joined", extra={"gate_host": str(self.address)})
            self._on_update(update)

    async def _write(self, stream: Any) -> None:
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(ADMISSION_HEARTBEAT_INTERVAL_S):
                        await self._wake.wait()
                self._wake.clear()
                news = AdmissionReport(asks=tuple(self._asks), left=tuple(self._left))
                self._asks.clear()
                self._left.clear()
                await stream.send_message(news)
