"""Connections to agents: shared by calls, replaced when they go silent."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from grpclib.client import Channel

from carobspring.adapters.rpc import ChannelOpener
from carobspring.domain import BackendServer

#: Streams on one connection; HTTP/2 servers allow 100 unless they say more.
MAX_STREAMS = 90


@dataclass(kw_only=True)
class SharedChannel:
    """One connection and the number of streams on it."""

    channel: Channel
    streams: int = 0
    retired: bool = False


class ChannelPool:
    """Keeps connections to each agent's address.

    A connection that went silent is retired: calls that are on it may go on
    there, new ones get another connection, and it is closed once empty.
    """

    def __init__(self, open_channel: ChannelOpener) -> None:
        self._open_channel = open_channel
        self._channels: dict[tuple[str, int], list[SharedChannel]] = {}

    @contextmanager
    def acquire(self, server: BackendServer) -> Iterator[SharedChannel]:
        """Lend a connection to this server's agent for one stream."""
        shared = self._find(server.host, server.port)
        shared.streams += 1
        try:
            yield shared
        finally:
            shared.streams -= 1
            self._close_if_done(shared)

    def retire(self, server: BackendServer, shared: SharedChannel) -> None:
        """Give a connection to no new stream."""
        shared.retired = True
        channels = self._channels.get((server.host, server.port), [])
        if shared in channels:
            channels.remove(shared)
        self._close_if_done(shared)

    def retire_server(self, server: BackendServer) -> None:
        """Let the connections to an agent that left end with their calls."""
        for shared in self._channels.pop((server.host, server.port), []):
            shared.retired = True
            self._close_if_done(shared)

    def close(self) -> None:
        """Close every connection."""
        for channels in self._channels.values():
            for shared in channels:
                shared.channel.close()
        self._channels.clear()

    def _find(self, host: str, port: int) -> SharedChannel:
        channels = self._channels.setdefault((host, port), [])
        for shared in channels:
            if shared.streams < MAX_STREAMS:
                return shared
        shared = SharedChannel(channel=self._open_channel(host, port))
        channels.append(shared)
        return shared

    def _close_if_done(self, shared: SharedChannel) -> None:
        if shared.retired and shared.streams == 0:
            shared.channel.close()
