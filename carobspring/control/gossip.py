"""Tells the other replicas of the agents and entries on own streams."""

from abc import abstractmethod
from collections.abc import Callable
from typing import Protocol

import msgspec

from carobspring.control.state import ControlState
from carobspring.membership import GossipMessage

#: Seconds between two messages to a peer when nothing changed.
GOSSIP_INTERVAL_S = 1.0
#: Seconds after which a peer is told everything anew, so that a lost message
#: is made good.
COMPLETE_INTERVAL_S = 10.0

_decoder = msgspec.msgpack.Decoder(GossipMessage)


class GossipTransport(Protocol):
    """Carries soft state between replicas; it may lose messages."""

    @abstractmethod
    def list_peers(self) -> list[str]:
        """Return the replicas that can be reached at present."""

    @abstractmethod
    def send_gossip(self, peer: str, gossip: bytes) -> None:
        """Send to one replica."""

    @abstractmethod
    def on_gossip(self, callback: Callable[[str, bytes], None]) -> None:
        """Have a callback get what others send: their name, the bytes."""


class GossipExchange:
    """Sends news to each peer and takes theirs over.

    ``tick`` is called at each tick of the program. News of members that
    changed go at the next tick, leases each GOSSIP_INTERVAL_S.
    """

    def __init__(self, *, state: ControlState, transport: GossipTransport) -> None:
        self._state = state
        self._transport = transport
        self._views: dict[str, int] = {}
        self._sent_at = float("-inf")
        self._sent_view = -1
        self._complete_at = float("-inf")
        transport.on_gossip(self.handle_gossip)

    def tick(self, now: float) -> None:
        """Send to every peer what is due."""
        state = self._state
        due = now - self._sent_at >= GOSSIP_INTERVAL_S
        changed = state.local_change_count != self._sent_view
        if not due and not changed:
            return
        self._sent_at, self._sent_view = now, state.local_change_count
        if now - self._complete_at >= COMPLETE_INTERVAL_S:
            self._complete_at = now
            self._views.clear()
        peers = self._transport.list_peers()
        self._views = {p: v for p, v in self._views.items() if p in peers}
        entries = tuple(state.entries.list_local_gossip(now))
        for peer in peers:
            members = state.members.list_local_gossip(self._views.get(peer, -1), now)
            self._views[peer] = state.members.view
            if members or entries:
                news = GossipMessage(members=tuple(members), entries=entries)
                self._transport.send_gossip(peer, msgspec.msgpack.encode(news))

    def handle_gossip(self, peer: str, gossip: bytes) -> None:
        """Take over what another replica heard."""
        try:
            news = _decoder.decode(gossip)
        except msgspec.MsgspecError:
            # A replica of a later version may say what this one can't read.
            self._state.unreadable_gossip_count += 1
            return
        now = self._state.clock.read_monotonic()
        for member in news.members:
            self._state.members.apply_gossip(member, now)
        for entry in news.entries:
            self._state.entries.apply_gossip(entry, now)
        self._state.notify_member_changes()
