"""The agent's stream to a control replica: sends reports, receives updates."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Sequence
from typing import Any

from grpclib.client import Channel, Stream, UnaryUnaryMethod
from grpclib.const import Cardinality

from carobspring.adapters.paths import REPORT_OUTCOME, WATCH_AGENT
from carobspring.adapters.rpc import STREAM_ERRORS, open_channel
from carobspring.adapters.tasks import start_service_task, start_task
from carobspring.domain import Address
from carobspring.protocol import (
    AgentReport,
    AgentUpdate,
    OutcomeReply,
    OutcomeReport,
)

REPORT_INTERVAL_S = 1.0
#: Seconds without an update after which the next replica is tried.
SILENCE_TIMEOUT_S = 3.0
RECONNECT_DELAY_S = 0.25
#: Seconds to wait for one replica's reply to an outcome.
OUTCOME_TIMEOUT_S = 2.0

logger = logging.getLogger(__name__)


class AgentControlStream:
    """Keeps a stream open to one of the control replicas.

    ``build_report`` is called for each report to send, and ``on_update`` for
    each update received. When a replica sends nothing for three seconds, the
    next one is tried.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[Address],
        secret: str,
        build_report: Callable[[], AgentReport],
        on_update: Callable[[AgentUpdate], None],
    ) -> None:
        self._addresses = list(addresses)
        self._secret = secret
        self._build_report = build_report
        self._on_update = on_update
        self._channels: dict[Address, Channel] = {}
        self._next_index = 0
        self._report_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.connected = False
        #: Number of streams opened so far, for metrics.
        self.opened_streams = 0

    def start(self) -> None:
        """Start connecting, if any addresses are configured."""
        if self._addresses:
            self._task = start_service_task(self._run, name="control stream")

    def request_report(self) -> None:
        """Send the next report immediately."""
        self._report_requested.set()

    async def close(self) -> None:
        """Close the stream and every channel."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        for channel in self._channels.values():
            channel.close()

    async def commit_outcome(self, report: OutcomeReport, timeout_s: float) -> bool:
        """Commit an outcome and return whether a replica confirmed it.

        The replicas are tried in turn until the timeout.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        index = self._next_index
        while self._addresses and loop.time() < deadline:
            address = self._addresses[index % len(self._addresses)]
            index += 1
            method = UnaryUnaryMethod(
                self._get_channel(address), REPORT_OUTCOME, OutcomeReport, OutcomeReply
            )
            try:
                async with asyncio.timeout(OUTCOME_TIMEOUT_S):
                    reply = await method(report)
                if not reply.error:
                    return True
            except STREAM_ERRORS as error:
                logger.debug("%s did not commit an outcome: %r", address, error)
            await asyncio.sleep(0.05)
        return False

    def _get_channel(self, address: Address) -> Channel:
        if address not in self._channels:
            channel = open_channel(
                host=address.host, port=address.port, secret=self._secret
            )
            self._channels[address] = channel
        return self._channels[address]

    async def _run(self) -> None:
        while True:
            address = self._addresses[self._next_index % len(self._addresses)]
            try:
                await self._run_stream(address)
            except STREAM_ERRORS as error:
                if self.connected:
                    logger.warning(
                        "lost connection to control replica %s: %r", address, error
                    )
            self.connected = False
            self._next_index += 1
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _run_stream(self, address: Address) -> None:
        request = self._get_channel(address).request(
            WATCH_AGENT, Cardinality.STREAM_STREAM, AgentReport, AgentUpdate
        )
        async with request as stream:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                await stream.send_message(self._build_report())
            self.opened_streams += 1
            report_task = start_task(self._send_reports(stream), name="agent reports")
            try:
                while True:
                    async with asyncio.timeout(SILENCE_TIMEOUT_S):
                        update = await stream.recv_message()
                    if update is None:
                        return
                    if not self.connected:
                        self.connected = True
                        logger.info("connected to control replica %s", address)
                    self._on_update(update)
            finally:
                report_task.cancel()
                with contextlib.suppress(asyncio.CancelledError, *STREAM_ERRORS):
                    await report_task
                with contextlib.suppress(*STREAM_ERRORS):
                    await stream.cancel()

    async def _send_reports(self, stream: Stream[Any, Any]) -> None:
        while True:
            self._report_requested.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await self._report_requested.wait()
            await stream.send_message(self._build_report())
