"""Gossip between replicas on the agents and entries connected to each."""

import asyncio
from abc import abstractmethod
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from typing import Final, Protocol

from carobspring.control.state import ControlState
from carobspring.membership import GossipMessage
from carobspring.protocol import DECODE_ERRORS, decode_soft_state, encode_soft_state

#: Seconds between two messages to a peer when nothing changed.
GOSSIP_INTERVAL_S: Final = 1.0
#: Seconds after which a peer is sent the complete state again.
COMPLETE_INTERVAL_S: Final = 10.0
#: The view of a replica of which nothing was received.
NO_VIEW: Final = -1


class GossipTransport(Protocol):
    """Carries soft state between replicas, over one stream to each.

    Messages arrive in order while a stream is open. When it ends, those on
    their way are lost.
    """

    @abstractmethod
    def list_peers(self) -> list[str]:
        """Return the names of the replicas that are currently reachable."""

    @abstractmethod
    def send_gossip(self, peer: str, gossip: bytes) -> None:
        """Send a message to one replica."""

    @abstractmethod
    def on_gossip(self, callback: Callable[[str, bytes], None]) -> None:
        """Add a callback that receives each sender's name and message."""

    @abstractmethod
    def on_open(self, callback: Callable[[str], None]) -> None:
        """Add a callback that receives the peer's name of each new stream."""


@dataclass(kw_only=True)
class _PeerState:
    """What was sent and received on the current stream to a peer."""

    sent_view: int = NO_VIEW
    acknowledged_view: int = NO_VIEW
    merged_view: int = NO_VIEW
    #: False for a peer of an earlier release, None until its first message.
    sends_views: bool | None = None


class GossipExchange:
    """Sends local changes to each peer and merges the changes of peers.

    ``tick`` is called regularly. Changes of members that entries must learn at
    once are sent by the next call, lease renewals every GOSSIP_INTERVAL_S. A
    peer acknowledges each view at once, so that a change can be confirmed
    when all peers have it.
    """

    def __init__(self, *, state: ControlState, transport: GossipTransport) -> None:
        self._state = state
        self._transport = transport
        self._peers: dict[str, _PeerState] = {}
        self._sent_at = float("-inf")
        self._sent_change_count = -1
        self._complete_sent_at = float("-inf")
        self._acknowledged = asyncio.Event()
        transport.on_gossip(self.handle_gossip)
        transport.on_open(self.handle_open)

    def tick(self, now: float) -> None:
        """Send every peer the changes that are due."""
        state = self._state
        is_due = now - self._sent_at >= GOSSIP_INTERVAL_S
        has_changed = state.local_change_count != self._sent_change_count
        if not is_due and not has_changed:
            return
        self._sent_at, self._sent_change_count = now, state.local_change_count
        names = self._transport.list_peers()
        self._peers = {name: self._peers.get(name, _PeerState()) for name in names}
        if now - self._complete_sent_at >= COMPLETE_INTERVAL_S:
            self._complete_sent_at = now
            for peer in self._peers.values():
                peer.sent_view = NO_VIEW
        entries = tuple(state.entries.list_local_gossip(now))
        for name, peer in self._peers.items():
            members = tuple(state.members.list_local_gossip(peer.sent_view, now))
            withdrawals = state.members.list_withdrawals(peer.sent_view, now)
            is_complete = peer.sent_view == NO_VIEW
            peer.sent_view = state.members.view
            message = GossipMessage(
                members=members,
                withdrawals=withdrawals,
                entries=entries,
                view=state.members.view,
            )
            if is_complete:
                message = replace(
                    message,
                    strikes=state.entry_strikes.list_strikes(),
                    released=state.entry_strikes.list_released(),
                    sightings=state.members.versions.list_sightings(now),
                )
            self._send(name, peer, message)

    def is_replicated(self, view: int) -> bool:
        """Return whether every reachable peer has merged a view."""
        for name in self._transport.list_peers():
            peer = self._peers.get(name, _PeerState())
            if peer.sends_views is None:
                return False
            merged = peer.acknowledged_view if peer.sends_views else peer.sent_view
            if merged < view:
                return False
        return True

    def is_in_step(self, members: Collection[str], heard: Collection[str]) -> bool:
        """Return whether this replica has what most of the members list.

        Args:
            members: The names of all replicas.
            heard: The names of the peers that were lately heard.
        """
        merged = {name for name in heard if self._has_merged(name)}
        known = merged | {self._state.replica_id}
        return 2 * len(known.intersection(members)) > len(members)

    async def wait_until_replicated(self, view: int) -> None:
        """Wait until every reachable peer has merged a view."""
        while not self.is_replicated(view):
            self._acknowledged.clear()
            await self._acknowledged.wait()

    def handle_open(self, peer: str) -> None:
        """Forget what was sent on an earlier stream, where it may be lost."""
        self._peers[peer] = _PeerState()
        # The next tick sends the complete state.
        self._sent_change_count = -1

    def handle_gossip(self, peer: str, gossip: bytes) -> None:
        """Merge a message of another replica."""
        try:
            message = decode_soft_state(gossip, GossipMessage)
        except DECODE_ERRORS:
            # A replica of a later release may send what this one can't decode.
            self._state.unreadable_gossip_count += 1
            return
        now = self._state.clock.read_monotonic()
        for member in message.members:
            self._state.members.apply_gossip(member, now)
        for withdrawal in message.withdrawals:
            self._state.members.apply_withdrawal(withdrawal, now)
        for entry in message.entries:
            self._state.entries.apply_gossip(entry, now)
            report = entry.report
            self._state.merge_strikes(report.strikes, report.released)
        self._state.merge_strikes(message.strikes, message.released)
        self._state.members.versions.merge(message.sightings, now)
        for usage in message.usage:
            self._state.usage.merge(usage)
        self._state.notify_member_changes()
        if not message.usage:
            # A message with usage has no views, of any release.
            self._handle_views(peer, message)

    def _has_merged(self, name: str) -> bool:
        """Return whether a peer's complete state came on its stream."""
        peer = self._peers.get(name, _PeerState())
        # A peer of an earlier release doesn't say which state it sends.
        return peer.merged_view > NO_VIEW or peer.sends_views is False

    def _handle_views(self, name: str, message: GossipMessage) -> None:
        peer = self._peers.setdefault(name, _PeerState())
        has_views = message.view is not None or message.acknowledged_view > NO_VIEW
        peer.sends_views = bool(peer.sends_views) or has_views
        if message.acknowledged_view > peer.acknowledged_view:
            peer.acknowledged_view = message.acknowledged_view
            self._acknowledged.set()
        if message.view is not None and message.view > peer.merged_view:
            peer.merged_view = message.view
            self._send(name, peer, GossipMessage())

    def _send(self, name: str, peer: _PeerState, message: GossipMessage) -> None:
        message = replace(message, acknowledged_view=peer.merged_view)
        self._transport.send_gossip(name, encode_soft_state(message))
