"""Gossip between replicas on the agents and entries connected to each."""

from abc import abstractmethod
from collections.abc import Callable
from typing import Protocol

import msgspec

from carobspring.control.state import ControlState
from carobspring.membership import GossipMessage

#: Seconds between two messages to a peer when nothing changed.
GOSSIP_INTERVAL_S = 1.0
#: Seconds after which a peer is sent the complete state again, to make up for
#: lost messages.
COMPLETE_INTERVAL_S = 10.0

_decoder = msgspec.msgpack.Decoder(GossipMessage)


class GossipTransport(Protocol):
    """Carries soft state between replicas; messages may be lost."""

    @abstractmethod
    def list_peers(self) -> list[str]:
        """Return the names of the replicas that are currently reachable."""

    @abstractmethod
    def send_gossip(self, peer: str, gossip: bytes) -> None:
        """Send a message to one replica."""

    @abstractmethod
    def on_gossip(self, callback: Callable[[str, bytes], None]) -> None:
        """Add a callback that receives each sender's name and message."""


class GossipExchange:
    """Sends local changes to each peer and merges the changes of peers.

    ``tick`` is called regularly. Changes of members that entries must learn at
    once are sent by the next call, lease renewals every GOSSIP_INTERVAL_S.
    """

    def __init__(self, *, state: ControlState, transport: GossipTransport) -> None:
        self._state = state
        self._transport = transport
        self._sent_views: dict[str, int] = {}
        self._sent_at = float("-inf")
        self._sent_change_count = -1
        self._complete_sent_at = float("-inf")
        transport.on_gossip(self.handle_gossip)

    def tick(self, now: float) -> None:
        """Send every peer the changes that are due."""
        state = self._state
        is_due = now - self._sent_at >= GOSSIP_INTERVAL_S
        has_changed = state.local_change_count != self._sent_change_count
        if not is_due and not has_changed:
            return
        self._sent_at, self._sent_change_count = now, state.local_change_count
        if now - self._complete_sent_at >= COMPLETE_INTERVAL_S:
            self._complete_sent_at = now
            self._sent_views.clear()
        peers = self._transport.list_peers()
        self._sent_views = {
            peer: view for peer, view in self._sent_views.items() if peer in peers
        }
        entries = tuple(state.entries.list_local_gossip(now))
        for peer in peers:
            members = state.members.list_local_gossip(
                self._sent_views.get(peer, -1), now
            )
            self._sent_views[peer] = state.members.view
            if members or entries:
                message = GossipMessage(members=tuple(members), entries=entries)
                self._transport.send_gossip(peer, msgspec.msgpack.encode(message))

    def handle_gossip(self, peer: str, gossip: bytes) -> None:
        """Merge a message of another replica."""
        try:
            message = _decoder.decode(gossip)
        except msgspec.MsgspecError:
            # A replica of a later release may send what this one can't decode.
            self._state.unreadable_gossip_count += 1
            return
        now = self._state.clock.read_monotonic()
        for member in message.members:
            self._state.members.apply_gossip(member, now)
        for entry in message.entries:
            self._state.entries.apply_gossip(entry, now)
        self._state.notify_member_changes()
