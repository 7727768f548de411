"""Exchanges discovery messages with the other control daemons."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Handler

from carobspring.adapters import paths
from carobspring.adapters.rpc import STREAM_ERRORS, make_unary_method, open_channel
from carobspring.control.discovery import DaemonDirectory, DiscoveryMessage
from carobspring.domain import parse_address
from carobspring.ports import Clock, RandomSource

#: Seconds between rounds until the replicas are known.
SEARCH_INTERVAL_S: Final = 0.3
#: Seconds between rounds once the replicas are known.
REFRESH_INTERVAL_S: Final = 2.0
#: Seconds to wait for a daemon's reply; it is tried again in the next round.
REPLY_TIMEOUT_S: Final = 1.0

logger = logging.getLogger(__name__)


class DiscoveryExchange:
    """Exchanges discovery messages with other control daemons.

    ``update_replicas`` is called after each round of exchanges, and at once
    when a message changes the known replicas or spares: a successor has only
    seconds to take its place, and a round may wait for a lost daemon.
    """

    def __init__(
        self,
        *,
        directory: DaemonDirectory,
        secret: str,
        clock: Clock,
        random: RandomSource,
        update_replicas: Callable[[], None],
    ) -> None:
        self._directory = directory
        self._secret = secret
        self._clock = clock
        self._random = random
        self._update_replicas = update_replicas
        self._channels: dict[str, Channel] = {}
        self._unresponsive: set[str] = set()

    def list_methods(self) -> list[tuple[str, Handler]]:
        """Return the gRPC methods that the program's server must offer."""
        return [
            make_unary_method(
                paths.DISCOVER_DAEMONS, self._reply, DiscoveryMessage, DiscoveryMessage
            )
        ]

    async def run(self) -> None:
        """Exchange discovery messages until cancelled."""
        while True:
            addresses = self._directory.choose_contacts(self._random)
            await asyncio.gather(*(self._exchange(name) for name in addresses))
            self._directory.choose_initial_members(self._clock.read_monotonic())
            self._update_replicas()
            known = self._directory.members
            await asyncio.sleep(REFRESH_INTERVAL_S if known else SEARCH_INTERVAL_S)

    def close(self) -> None:
        """Close every connection."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _reply(self, message: DiscoveryMessage) -> DiscoveryMessage:
        self._merge(message)
        return self._directory.build_message(message.card.name)

    def _merge(self, message: DiscoveryMessage) -> None:
        directory = self._directory
        before = directory.list_replicas(), directory.list_spare_daemons()
        directory.handle_message(message, self._clock.read_monotonic())
        if before != (directory.list_replicas(), directory.list_spare_daemons()):
            self._update_replicas()

    async def _exchange(self, name: str) -> None:
        if name not in self._channels:
            address = parse_address("daemon", name)
            self._channels[name] = open_channel(
                host=address.host, port=address.port, secret=self._secret
            )
        method = UnaryUnaryMethod[DiscoveryMessage, DiscoveryMessage](
            self._channels[name],
            paths.DISCOVER_DAEMONS,
            DiscoveryMessage,
            DiscoveryMessage,
        )
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await method(self._directory.build_message(name))
        except STREAM_ERRORS as error:
            self._handle_failure(name, error)
            return
        if reply is not None:
            self._merge(reply)
        if name in self._unresponsive:
            self._unresponsive.discard(name)
            logger.info("control daemon responds", extra={"daemon": name})

    def _handle_failure(self, name: str, error: BaseException) -> None:
        channel = self._channels.pop(name, None)
        if channel is not None:
            channel.close()
        if name not in self._unresponsive:
            self._unresponsive.add(name)
            logger.warning(
                "control daemon does not respond",
                extra={"daemon": name, "error": f"{type(error).__name__} {error}"},
            )
