"""The entry's side of control replicas: views, and questions."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Any, TypeVar

from aioprometheus import Gauge
from grpclib.client import Channel
from grpclib.const import Cardinality

from carobspring.adapters import paths
from carobspring.domain import Address
from carobspring.entry.channels import ChannelOpener, connect
from carobspring.entry.following import STREAM_ERRORS
from carobspring.protocol import EntryReport, ViewUpdate

REPORT_INTERVAL_S = 1.0
SILENCE_S = 3.0
CONNECT_S = 1.0
RECONNECT_PAUSE_S = 0.3
#: Errors of a reply that another replica, or a later moment, may not give.
RETRIED_ERRORS = frozenset({"not_leader", "no_quorum"})

logger = logging.getLogger(__name__)

Reply = TypeVar("Reply")


class ControlWatch:
    """Keeps one stream to any control replica, and moves on when it fails."""

    def __init__(
        self,
        *,
        addresses: tuple[Address, ...],
        open_channel: ChannelOpener,
        build_report: Callable[[], EntryReport],
        apply_update: Callable[[ViewUpdate], None],
        connected: Gauge,
        first: int = 0,
    ) -> None:
        self._addresses = addresses
        self._open_channel = open_channel
        self._build_report = build_report
        self._apply_update = apply_update
        self._next = first
        self._gauge = connected
        self._gauge.set({}, 0)
        self.connected = False

    async def run(self) -> None:
        """Follow views until cancelled."""
        while True:
            address = self._addresses[self._next % len(self._addresses)]
            channel = self._open_channel(address.host, address.port)
            try:
                await self._follow(channel)
                reason = "the stream ended"
            except STREAM_ERRORS as error:
                reason = f"{type(error).__name__} {error}"
            finally:
                channel.close()
            if self.connected:
                logger.warning("lost control replica %s: %s", address, reason)
            self._note_connected(False)
            self._next += 1
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _follow(self, channel: Channel) -> None:
        await connect(channel, CONNECT_S)
        stream = channel.request(
            paths.WATCH_ENTRY, Cardinality.STREAM_STREAM, EntryReport, ViewUpdate
        )
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(SILENCE_S) as patience, stream:
            await stream.send_message(self._build_report())
            reporter = loop.create_task(self._report_often(stream))
            try:
                while (update := await stream.recv_message()) is not None:
                    patience.reschedule(loop.time() + SILENCE_S)
                    self._note_connected(True)
                    self._apply_update(update)
                    if update.settings is not None:
                        await stream.send_message(self._build_report())
            finally:
                reporter.cancel()

    def _note_connected(self, connected: bool) -> None:
        if connected is not self.connected:
            self.connected = connected
            self._gauge.set({}, int(connected))

    async def _report_often(self, stream: Any) -> None:
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                await asyncio.sleep(REPORT_INTERVAL_S)
                await stream.send_message(self._build_report())


class ControlClient:
    """Asks any control replica one question at a time."""

    def __init__(
        self, *, addresses: tuple[Address, ...], open_channel: ChannelOpener
    ) -> None:
        self._addresses = addresses
        self._open_channel = open_channel
        self._channels: dict[Address, Channel] = {}
        self._first = 0

    async def ask(
        self, path: str, request: object, reply_type: type[Reply], timeout_s: float
    ) -> Reply | None:
        """Return a replica's answer, or None when none gave one in time.

        A replica that can't say sends the question to the next one, so it
        must be one that may be asked twice.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        tries = 0
        while (left := deadline - asyncio.get_running_loop().time()) > 0:
            address = self._addresses[self._first % len(self._addresses)]
            try:
                async with asyncio.timeout(min(left, SILENCE_S)):
                    reply = await self._ask_one(address, path, request, reply_type)
                error = getattr(reply, "error", "")
                if reply is not None and error not in RETRIED_ERRORS:
                    return reply
            except STREAM_ERRORS:
                channel = self._channels.pop(address, None)
                if channel is not None:
                    channel.close()
            self._first += 1
            tries += 1
            if tries % len(self._addresses) == 0:
                await asyncio.sleep(RECONNECT_PAUSE_S)
        return None

    def close(self) -> None:
        """Close every connection."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _ask_one(
        self, address: Address, path: str, request: Any, reply_type: Any
    ) -> Any:
        if address not in self._channels:
            self._channels[address] = self._open_channel(address.host, address.port)
        channel = self._channels[address]
        await connect(channel, CONNECT_S)
        stream = channel.request(
            path, Cardinality.UNARY_UNARY, type(request), reply_type
        )
        async with stream:
            await stream.send_message(request, end=True)
            return await stream.recv_message()
