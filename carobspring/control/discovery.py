"""Discovery of control daemons, and choice of a cluster's initial members.

Each daemon is configured with a few seed addresses, which may be out of date,
and asks these and every address that it learns for the daemons they know. No
daemon is configured with the number of daemons: the one whose address is the
lowest of the seeds waits until no new daemon appears, then chooses the initial
members. All others wait for its choice, so that two groups can't bootstrap a
cluster each.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

#: Seconds without a new daemon after which the initial members are chosen.
QUIET_PERIOD_S: Final = 2.0
#: Each further replica costs more than the additional fault tolerance is
#: worth.
MAX_INITIAL_MEMBERS: Final = 7


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

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seed addresses."""
        self._seeds = tuple(seeds)

    def list_addresses(self) -> list[str]:
        """Return every address but this daemon's, likely live ones first."""
        names = dict.fromkeys((*self.members, *self._daemons, *self._seeds))
        names.pop(self.own_info.name, None)
        return list(names)

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

    def build_message(self) -> DiscoveryMessage:
        """Return the message to send to another daemon."""
        return DiscoveryMessage(
            card=self.own_info,
            known=tuple(self._daemons.values()),
            members=self.members,
            founders=self.initial_members,
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
        if message.members and not self.members:
            self.members = message.members
        if message.founders and not self.initial_members:
            self.initial_members = message.founders

    def update_members(self, members: tuple[str, ...]) -> None:
        """Replace the replicas by those of the local log, if there are any."""
        if members:
            self.members = members

    def choose_initial_members(self, now: float) -> None:
        """Choose the initial members if this daemon is responsible and due."""
        if self.initial_members or self.members or not self.own_info.founding:
            return
        if not self._seeds or self.own_info.name != min(self._seeds):
            return
        if now - self._changed_at < QUIET_PERIOD_S:
            return
        self.initial_members = self._select_initial_members()

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
