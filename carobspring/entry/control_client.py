"""Unary requests to control replicas."""

import asyncio
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.const import Cardinality

from carobspring.adapters.entry_control_stream import (
    CONNECT_TIMEOUT_S,
    RECONNECT_DELAY_S,
    SILENCE_TIMEOUT_S,
)
from carobspring.adapters.rpc import STREAM_ERRORS, ChannelOpener, connect
from carobspring.domain import Address

#: Reply errors that another replica, or the same one later, may not return;
#: the request is retried.
RETRIED_ERRORS = frozenset({"not_leader", "no_quorum"})

Reply = TypeVar("Reply")


class ControlClient:
    """Sends requests to the control replicas, trying one after another."""

    def __init__(
        self, *, addresses: tuple[Address, ...], open_channel: ChannelOpener
    ) -> None:
        self._addresses = addresses
        self._open_channel = open_channel
        self._channels: dict[Address, Channel] = {}
        self._next_index = 0

    async def send_request(
        self, path: str, request: object, reply_type: type[Reply], timeout_s: float
    ) -> Reply | None:
        """Return a replica's reply, or None if none arrived in time.

        After a failure the request is sent to the next replica, so it must be
        idempotent.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        attempts = 0
        while (remaining_s := deadline - asyncio.get_running_loop().time()) > 0:
            address = self._addresses[self._next_index % len(self._addresses)]
            try:
                async with asyncio.timeout(min(remaining_s, SILENCE_TIMEOUT_S)):
                    reply = await self._send_to(address, path, request, reply_type)
                error = getattr(reply, "error", "")
                if reply is not None and error not in RETRIED_ERRORS:
                    return reply
            except STREAM_ERRORS:
                channel = self._channels.pop(address, None)
                if channel is not None:
                    channel.close()
            self._next_index += 1
            attempts += 1
            if attempts % len(self._addresses) == 0:
                await asyncio.sleep(RECONNECT_DELAY_S)
        return None

    def close(self) -> None:
        """Close every connection."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _send_to(
        self, address: Address, path: str, request: Any, reply_type: Any
    ) -> Any:
        if address not in self._channels:
            self._channels[address] = self._open_channel(address.host, address.port)
        channel = self._channels[address]
        await connect(channel, CONNECT_TIMEOUT_S)
        stream = channel.request(
            path, Cardinality.UNARY_UNARY, type(request), reply_type
        )
        async with stream:
            await stream.send_message(request, end=True)
            return await stream.recv_message()
