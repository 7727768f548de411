"""A pool of connections to agents that are shared by calls."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from grpclib.client import Channel

from carobspring.adapters.rpc import ChannelOpener
from carobspring.domain import BackendServer

#: Maximum number of streams on one connection. HTTP/2 servers commonly allow
#: 100 concurrent streams unless they announce another limit.
MAX_STREAMS = 90


@dataclass(kw_only=True)
class SharedChannel:
    """One connection and the number of its open streams."""

    channel: Channel
    streams: int = 0
    retired: bool = False


class ChannelPool:
    """Pools connections by the agent's address.

    A connection that stops responding is retired: calls that use it may
    continue, new calls get another connection, and it is closed after its
    last stream has ended.
    """

    def __init__(self, open_channel: ChannelOpener) -> None:
        self._open_channel = open_channel
        self._channels: dict[tuple[str, int], list[SharedChannel]] = {}

    @contextmanager
    def acquire(self, server: BackendServer) -> Iterator[SharedChannel]:
        """Provide a connection to a server's agent for one stream."""
        shared = self._find_or_open(server.host, server.port)
        shared.streams += 1
        try:
            yield shared
        finally:
            shared.streams -= 1
            self._close_if_idle(shared)

    def retire(self, server: BackendServer, shared: SharedChannel) -> None:
        """Stop using a connection for new streams."""
        shared.retired = True
        channels = self._channels.get((server.host, server.port), [])
        if shared in channels:
            channels.remove(shared)
        self._close_if_idle(shared)

    def retire_server(self, server: BackendServer) -> None:
        """Retire all connections to the agent of a removed server."""
        for shared in self._channels.pop((server.host, server.port), []):
            shared.retired = True
            self._close_if_idle(shared)

    def close(self) -> None:
        """Close every connection."""
        for channels in self._channels.values():
            for shared in channels:
                shared.channel.close()
        self._channels.clear()

    def _find_or_open(self, host: str, port: int) -> SharedChannel:
        channels = self._channels.setdefault((host, port), [])
        for shared in channels:
            if shared.streams < MAX_STREAMS:
                return shared
        shared = SharedChannel(channel=self._open_channel(host, port))
        channels.append(shared)
        return shared

    def _close_if_idle(self, shared: SharedChannel) -> None:
        if shared.retired and shared.streams == 0:
            shared.channel.close()
