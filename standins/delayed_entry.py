"""An entry with delayed connections to agents of other zones.

Started as ``python -m standins.delayed_entry`` with the flags of an entry. The
delay is added in the channels that the entry opens, so the network of the host
needs no configuration.
"""

from dataclasses import dataclass

from grpclib.client import Channel

from carobspring.programs.entry_program import EntryOptions, EntryProgram
from carobspring.programs.runner import run_command_line
from standins.link import Link

MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True)
class DelayedEntryOptions(EntryOptions):
    """Run an entry with delayed connections to other zones.

    Args:
        zone_delay_ms: One-way delay to agents of other zones.
        zone_jitter_ms: Largest random addition to the delay.
    """

    zone_delay_ms: float = 5.0
    zone_jitter_ms: float = 1.0


class DelayedEntry(EntryProgram):
    """An entry that connects to agents of other zones via delayed links."""

    def __init__(self, options: DelayedEntryOptions) -> None:
        super().__init__(options)
        self._delay_options = options

    def _open_channel(self, host: str, port: int) -> Channel:
        channel = super()._open_channel(host, port)
        if self._is_in_other_zone(host, port):
            link = Link(
                target_host=host,
                target_port=port,
                delay_s=self._delay_options.zone_delay_ms / MS_PER_S,
                jitter_s=self._delay_options.zone_jitter_ms / MS_PER_S,
            )
            delay_channel(channel, link)
        return channel

    def _is_in_other_zone(self, host: str, port: int) -> bool:
        zones = [
            server.zone
            for server in self._router.list_servers()
            if (server.host, server.port) == (host, port)
        ]
        return bool(zones) and zones[0] != self._delay_options.zone


def delay_channel(channel: Channel, link: Link) -> None:
    """Connect a channel through a link that starts on first use."""
    connect = channel._create_connection

    async def connect_through_link():  # type: ignore[no-untyped-def]
        if not link.port:
            await link.start()
            channel._host, channel._port = "127.0.0.1", link.port
        return await connect()

    channel._create_connection = connect_through_link  # type: ignore[method-assign]


def main() -> None:
    """Run the entry."""
    run_command_line("delayed-entry", DelayedEntry, DelayedEntryOptions)


if __name__ == "__main__":
    main()
