"""Discovery of control daemons, and choice of a cluster's initial members.

Each daemon is configured with a few seed addresses, which may be out of date,
and asks these and every address that it learns for the daemons they know. No
daemon is configured with the number of daemons: the one whose address is the
lowest of the seeds waits until no new daemon appears, then chooses the initial
members. All others wait for its choice, so that two groups can't bootstrap a
cluster each.

Until the replicas are known, each daemon asks all others in each round. After
that it asks two, so that its traffic does not grow with the number of daemons,
and two daemons that know the same exchange only a digest.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

import msgspec

from carobspring.ports import RandomSource

#: Seconds without a new daemon after which the initial members are chosen.
QUIET_PERIOD_S: Final = 2.0
#: Each further replica costs more than the additional fault tolerance is
#: worth.
MAX_INITIAL_MEMBERS: Final = 7
DIGEST_BYTES: Final = 8


@dataclass(frozen=True, kw_only=True)
class DaemonInfo:
    """Describes a control daemon, as announced by itself."""

    #: Its gRPC address.
    name: str
    zone: str = ""
    #: True when it has durable storage, so that it may hold the log.
    durable: bool = False
    #: True when it was started to bootstrap a cluster and its disk was empty.
    founding: bool = False


@dataclass(frozen=True, kw_only=True)
class DiscoveryMessage:
    """Request and reply of the discovery exchange between control daemons."""

    card: DaemonInfo
    #: Every daemon that the sender knows, itself included.
    known: tuple[DaemonInfo, ...] = ()
    #: Names of the replicas as far as the sender knows them; empty before it
    #: has learned them from its own log or from another daemon.
    members: tuple[str, ...] = ()
    #: Names of the cluster's initial members; empty before they are chosen.
    founders: tuple[str, ...] = ()
    #: Index in the log up to which the sender of ``members`` had applied it.
    members_index: int = 0
    #: Digest of all that the sender knows. If the receiver's is the same, the
    #: message holds nothing else but the card.
    digest: str = ""


class DaemonDirectory:
    """Tracks the known control daemons.

    It does no input or output: its only inputs are discovery messages, the
    replicas of the local log, seeds and the time.
    """

    def __init__(
        self, *, own_info: DaemonInfo, seeds: Iterable[str], now: float
    ) -> None:
        self.own_info = own_info
        self._seeds = tuple(seeds)
        self._daemons = {own_info.name: own_info}
        self._changed_at = now
        self.initial_members: tuple[str, ...] = ()
        #: Names of the replicas, from the local log or from another daemon.
        self.members: tuple[str, ...] = ()
        self._members_index = 0
        #: The last digest of each daemon that sent one.
        self._digests: dict[str, str] = {}

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seed addresses."""
        self._seeds = tuple(seeds)

    def list_addresses(self) -> list[str]:
        """Return every address but this daemon's, likely live ones first."""
        names = dict.fromkeys((*self.members, *self._daemons, *self._seeds))
        names.pop(self.own_info.name, None)
        return list(names)

    def choose_contacts(self, random: RandomSource) -> list[str]:
        """Return the addresses to ask in this round.

        Once the replicas are known, these are one of them and one other
        daemon.
        """
        addresses = self.list_addresses()
        if not self.members:
            return addresses
        replicas = [name for name in addresses if name in self.members]
        contacts = _draw_one(replicas, random)
        others = [name for name in addresses if name not in self.members]
        if not others:
            others = [name for name in replicas if name not in contacts]
        return contacts + _draw_one(others, random)

    def list_replicas(self) -> tuple[str, ...]:
        """Return the known replicas, or before them the initial members."""
        return self.members or self.initial_members

    def find_zones(self, names: Iterable[str]) -> dict[str, str]:
        """Return the availability zone of each of these daemons, if known."""
        return {
            name: self._daemons[name].zone for name in names if name in self._daemons
        }

    def list_spare_daemons(self) -> tuple[str, ...]:
        """Return the durable daemons that do not hold a replica of the log."""
        replicas = self.list_replicas()
        return tuple(
            sorted(
                daemon.name
                for daemon in self._daemons.values()
                if daemon.durable and daemon.name not in replicas
            )
        )

    def build_message(self, receiver: str = "") -> DiscoveryMessage:
        """Return the message to send to another daemon."""
        digest = self._compute_digest()
        if receiver and self._digests.get(receiver) == digest:
            return DiscoveryMessage(card=self.own_info, digest=digest)
        return DiscoveryMessage(
            card=self.own_info,
            known=tuple(self._daemons.values()),
            members=self.members,
            founders=self.initial_members,
            members_index=self._members_index,
            digest=digest,
        )

    def handle_message(self, message: DiscoveryMessage, now: float) -> None:
        """Merge what another daemon knows."""
        for daemon in (message.card, *message.known):
            if daemon.name == self.own_info.name:
                continue
            known = self._daemons.get(daemon.name)
            if known is None:
                self._changed_at = now
            if known is None or daemon is message.card:
                self._daemons[daemon.name] = daemon
        if message.members and (
            not self.members or message.members_index > self._members_index
        ):
            self.members = message.members
            self._members_index = message.members_index
        if message.founders and not self.initial_members:
            self.initial_members = message.founders
        if message.digest:
            self._digests[message.card.name] = message.digest

    def update_members(self, members: tuple[str, ...], index: int) -> None:
        """Replace the replicas by those of the local log, if it is as new.

        ``index`` is the index in the log up to which it is applied. A replica
        that was replaced learns from the others that it is no member.
        """
        if members and index >= self._members_index:
            self.members = members
            self._members_index = index

    def choose_initial_members(self, now: float) -> None:
        """Choose the initial members if this daemon is responsible and due."""
        if self.initial_members or self.members or not self.own_info.founding:
            return
        if not self._seeds or self.own_info.name != min(self._seeds):
            return
        if now - self._changed_at < QUIET_PERIOD_S:
            return
        self.initial_members = self._select_initial_members()

    def _compute_digest(self) -> str:
        daemons = sorted(self._daemons.values(), key=lambda daemon: daemon.name)
        content = (daemons, self.members, self.initial_members)
        data = msgspec.msgpack.encode(content)
        return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()

    def _select_initial_members(self) -> tuple[str, ...]:
        """Return durable daemons with an empty disk, by zone in turn."""
        by_zone: dict[str, list[str]] = {}
        for daemon in sorted(self._daemons.values(), key=lambda daemon: daemon.name):
            if daemon.durable and daemon.founding:
                by_zone.setdefault(daemon.zone, []).append(daemon.name)
        chosen: list[str] = []
        while by_zone and len(chosen) < MAX_INITIAL_MEMBERS:
            for zone in sorted(by_zone):
                if len(chosen) < MAX_INITIAL_MEMBERS:
                    chosen.append(by_zone[zone].pop(0))
                if not by_zone[zone]:
                    del by_zone[zone]
        return tuple(sorted(chosen))


def _draw_one(names: Sequence[str], random: RandomSource) -> list[str]:
    return [names[random.draw_index(len(names))]] if names else []
