"""An entry whose links to control daemons and to other entries can be cut.

Started as ``python -m standins.cut_entry`` in place of an instance's entry. It
cuts the links that the file ``cuts`` names, beside its node file, and heals
them when the file no longer does. As on a real network, bytes of connections
arrive late, while datagrams are lost.
"""

import asyncio
import json
import os
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Final

from grpclib.client import Channel

from carobspring.platform.node import FILE_VARIABLE
from carobspring.programs.instance_entry_program import InstanceEntryProgram
from carobspring.programs.instance_options import InstanceOptions
from carobspring.programs.runner import run_command_line
from carobspring.protocol import StreamMessage
from standins.delayed_entry import delay_channel
from standins.link import Link

MODULE: Final = "standins.cut_entry"
CHECK_INTERVAL_S: Final = 0.01


class Cut(Enum):
    """A link, or one direction of it, that doesn't work."""

    CONTROL = "control"
    #: Datagrams from other entries, and to them.
    FROM_ENTRIES = "from-entries"
    TO_ENTRIES = "to-entries"


def write_cuts(
    node_file: Path, cuts: Iterable[Cut], *, same_side: Iterable[str] = ()
) -> None:
    """Cut the given links of the entry that has a node file, and no others.

    Datagrams still reach entries of the hosts in ``same_side``.
    """
    path = _find_cuts_file(node_file)
    new = path.with_suffix(".new")
    content = {"cuts": [cut.value for cut in cuts], "same_side": list(same_side)}
    new.write_text(json.dumps(content))
    new.rename(path)


def _find_cuts_file(node_file: Path) -> Path:
    return node_file.with_suffix(".cuts")


class CutEntry(InstanceEntryProgram):
    """An entry that reads which of its links are cut."""

    def __init__(self, options: InstanceOptions) -> None:
        self._cuts: frozenset[Cut] = frozenset()
        self._same_side: frozenset[str] = frozenset()
        self._links: list[Link] = []
        self._cuts_file = _find_cuts_file(Path(os.environ[FILE_VARIABLE]))
        super().__init__(options)
        send = self._peer_socket.send

        def send_unless_cut(address: str, message: StreamMessage) -> None:
            if not self._is_cut(Cut.TO_ENTRIES, address):
                send(address, message)

        self._stream_origins._send = send_unless_cut

    async def start(self) -> dict[str, int]:
        """Start the entry, and read which links are cut."""
        self._check_task = asyncio.create_task(self._check_periodically())
        return await super().start()

    def _open_channel(self, host: str, port: int) -> Channel:
        channel = super()._open_channel(host, port)
        link = Link(target_host=host, target_port=port)
        if Cut.CONTROL in self._cuts:
            link.hold()
        self._links.append(link)
        delay_channel(channel, link)
        return channel

    def _handle_peer_message(self, sender: str, message: StreamMessage) -> None:
        if not self._is_cut(Cut.FROM_ENTRIES, sender):
            super()._handle_peer_message(sender, message)

    def _is_cut(self, cut: Cut, address: str) -> bool:
        return cut in self._cuts and address.partition(":")[0] not in self._same_side

    async def _check_periodically(self) -> None:
        while True:
            if self._cuts_file.exists():
                content = json.loads(self._cuts_file.read_text())
                self._same_side = frozenset(content["same_side"])
                self._apply(frozenset(Cut(word) for word in content["cuts"]))
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _apply(self, cuts: frozenset[Cut]) -> None:
        if cuts == self._cuts:
            return
        self._cuts = cuts
        for link in self._links:
            if Cut.CONTROL in cuts:
                link.hold()
            else:
                link.release()


def main() -> None:
    """Run the entry."""
    run_command_line("cut-entry", CutEntry, InstanceOptions)


if __name__ == "__main__":
    main()
