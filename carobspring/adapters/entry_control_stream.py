"""An entry's stream to a control replica: sends reports, receives views."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Any

from aioprometheus import Gauge
from grpclib.client import Channel
from grpclib.const import Cardinality

from carobspring.adapters import paths
from carobspring.adapters.rpc import STREAM_ERRORS, ChannelOpener, connect
from carobspring.adapters.tasks import start_task
from carobspring.domain import Address
from carobspring.protocol import EntryReport, ViewUpdate

REPORT_INTERVAL_S = 1.0
#: Seconds without an update after which the next replica is tried.
SILENCE_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.3

logger = logging.getLogger(__name__)


class EntryControlStream:
    """Keeps a stream open to one control replica.

    When the stream fails, the next replica is tried.
    """

    def __init__(
        self,
        *,
        addresses: tuple[Address, ...],
        open_channel: ChannelOpener,
        build_report: Callable[[], EntryReport],
        apply_update: Callable[[ViewUpdate], None],
        connected_gauge: Gauge,
        first_index: int = 0,
        reconnect_delay_s: float = RECONNECT_DELAY_S,
    ) -> None:
        self._addresses = addresses
        self._open_channel = open_channel
        self._build_report = build_report
        self._apply_update = apply_update
        self._next_index = first_index
        self._reconnect_delay_s = reconnect_delay_s
        self._gauge = connected_gauge
        self._gauge.set({}, 0)
        #: Whether the replica responds and confirms its state.
        self.connected = False
        #: Whether the replica responds, confirmed or not.
        self.responding = False
        self._report_requested = asyncio.Event()

    async def run(self) -> None:
        """Receive view updates until cancelled."""
        while True:
            address = self._addresses[self._next_index % len(self._addresses)]
            channel = self._open_channel(address.host, address.port)
            try:
                await self._run_stream(channel)
                reason = "the stream ended"
            except STREAM_ERRORS as error:
                reason = f"{type(error).__name__} {error}"
            finally:
                channel.close()
            if self.connected:
                logger.warning(
                    "lost connection to control replica %s: %s", address, reason
                )
            self._set_connected(False)
            self.responding = False
            self._next_index += 1
            await asyncio.sleep(self._reconnect_delay_s)

    async def _run_stream(self, channel: Channel) -> None:
        await connect(channel, CONNECT_TIMEOUT_S)
        stream = channel.request(
            paths.WATCH_ENTRY, Cardinality.STREAM_STREAM, EntryReport, ViewUpdate
        )
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(SILENCE_TIMEOUT_S) as silence_timeout, stream:
            await stream.send_message(self._build_report())
            report_task = start_task(self._send_reports(stream), name="entry reports")
            try:
                while (update := await stream.recv_message()) is not None:
                    silence_timeout.reschedule(loop.time() + SILENCE_TIMEOUT_S)
                    self._set_connected(update.confirmed)
                    self.responding = True
                    self._apply_update(update)
                    if update.settings is not None:
                        await stream.send_message(self._build_report())
            finally:
                report_task.cancel()
                with contextlib.suppress(*STREAM_ERRORS):
                    await stream.cancel()

    def request_report(self) -> None:
        """Send a report at once."""
        self._report_requested.set()

    def _set_connected(self, connected: bool) -> None:
        if connected is not self.connected:
            self.connected = connected
            self._gauge.set({}, int(connected))

    async def _send_reports(self, stream: Any) -> None:
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(REPORT_INTERVAL_S):
                        await self._report_requested.wait()
                self._report_requested.clear()
                await stream.send_message(self._build_report())
