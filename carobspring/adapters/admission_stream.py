"""An entry's stream to a host that controls the admission of requests."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Any, Final

from grpclib.const import Cardinality

from carobspring.adapters.paths import ADMIT
from carobspring.adapters.rpc import STREAM_ERRORS, ChannelOpener, connect
from carobspring.adapters.tasks import start_service_task, start_task
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
#: Seconds before the first reconnection, doubled after each failure.
INITIAL_RECONNECT_DELAY_S: Final = 0.5
MAX_RECONNECT_DELAY_S: Final = 4.0

logger = logging.getLogger(__name__)


class AdmissionStream:
    """Keeps a stream open to one admission host.

    ``on_update`` receives each update, or None when the stream fails, after
    which its pending requests will not be decided.
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
        self._requests: list[AdmissionRequest] = []
        self._releases: list[AdmissionRelease] = []
        self._report_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.connected = False

    def start(self) -> None:
        """Start connecting."""
        self._task = start_service_task(
            self._run, name=f"admission stream {self.address}"
        )

    def close(self) -> None:
        """Close the stream and stop reconnecting."""
        if self._task is not None:
            self._task.cancel()

    def send_request(self, request: AdmissionRequest) -> None:
        """Send a request for admission."""
        self._requests.append(request)
        self._report_requested.set()

    def send_release(self, release: AdmissionRelease) -> None:
        """Report that a prompt was read, or that its request ended."""
        if self.connected:
            self._releases.append(release)
            self._report_requested.set()

    async def _run(self) -> None:
        delay_s = INITIAL_RECONNECT_DELAY_S
        while True:
            reason = "the stream ended"
            was_connected = False
            try:
                await self._run_stream()
            except STREAM_ERRORS as error:
                reason = f"{type(error).__name__} {error}"
            finally:
                was_connected, self.connected = self.connected, False
                self._requests.clear()
                self._releases.clear()
                self._on_update(None)
            if was_connected:
                delay_s = INITIAL_RECONNECT_DELAY_S
                extra = {"gate_host": str(self.address), "reason": reason}
                logger.warning("lost connection to admission host", extra=extra)
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RECONNECT_DELAY_S, delay_s * 2)

    async def _run_stream(self) -> None:
        channel = self._open_channel(self.address.host, self.address.port)
        try:
            await connect(channel, CONNECT_TIMEOUT_S)
            request = channel.request(
                ADMIT, Cardinality.STREAM_STREAM, AdmissionReport, AdmissionUpdate
            )
            async with request as stream:
                await stream.send_message(AdmissionReport())
                report_task = start_task(
                    self._send_reports(stream), name="admission reports"
                )
                try:
                    await self._receive_updates(stream)
                finally:
                    report_task.cancel()
                    with contextlib.suppress(*STREAM_ERRORS):
                        await stream.cancel()
        finally:
            channel.close()

    async def _receive_updates(self, stream: Any) -> None:
        while True:
            async with asyncio.timeout(ADMISSION_SILENCE_TIMEOUT_S):
                update = await stream.recv_message()
            if update is None:
                return
            if not self.connected:
                self.connected = True
                logger.info(
                    "connected to admission host",
                    extra={"gate_host": str(self.address)},
                )
            self._on_update(update)

    async def _send_reports(self, stream: Any) -> None:
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(ADMISSION_HEARTBEAT_INTERVAL_S):
                        await self._report_requested.wait()
                self._report_requested.clear()
                report = AdmissionReport(
                    asks=tuple(self._requests), left=tuple(self._releases)
                )
                self._requests.clear()
                self._releases.clear()
                await stream.send_message(report)
