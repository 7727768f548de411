"""How control daemons find each other, and who founds the cluster.

Each daemon is told a few addresses, which may be out of date, and asks those
and all that it learns for the ones that they know. Nobody is told how many
there are: the daemon whose address is the lowest of the first addresses waits
until no new one shows up, and names the founders. All others wait for that
word, so that two groups can't found a cluster each.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

#: Seconds without a new daemon after which the founders are named.
QUIET_PERIOD_S: Final = 2.0
#: More replicas would cost more than they protect.
MAX_INITIAL_MEMBERS: Final = 7


@dataclass(frozen=True, kw_only=True)
class DaemonInfo:
    """What one control daemon says of itself."""

    #: Its gRPC address.
    name: str
    zone: str = ""
    #: True when it has a disk that counts, so that it may hold the log.
    durable: bool = False
    #: True when it was started to found a cluster and its disk was empty.
    founding: bool = False


@dataclass(frozen=True, kw_only=True)
class DiscoveryMessage:
    """Exchanged between control daemons, both ways alike."""

    card: DaemonInfo
    #: Every card that the sender holds.
    known: tuple[DaemonInfo, ...] = ()
    #: Names of the replicas by the sender's log; empty while it has none.
    members: tuple[str, ...] = ()
    #: Names that shall found the cluster, once that is settled.
    founders: tuple[str, ...] = ()


class DaemonDirectory:
    """Knows the control daemons; takes greetings and the time alone."""

    def __init__(
        self, *, own_info: DaemonInfo, seeds: Iterable[str], now: float
    ) -> None:
        self.own_info = own_info
        self._seeds = tuple(seeds)
        self._daemons = {own_info.name: own_info}
        self._changed_at = now
        self.initial_members: tuple[str, ...] = ()
        #: Replicas by the log of this daemon or of another one.
        self.members: tuple[str, ...] = ()

    def update_seeds(self, seeds: Iterable[str]) -> None:
        """Take over other first addresses."""
        self._seeds = tuple(seeds)

    def list_addresses(self) -> list[str]:
        """Return every address but the own, those most likely up first."""
        names = dict.fromkeys((*self.members, *self._daemons, *self._seeds))
        names.pop(self.own_info.name, None)
        return list(names)

    def list_replicas(self) -> tuple[str, ...]:
        """Return the names of the replicas, as far as they are known."""
        return self.members or self.initial_members

    def list_spare_daemons(self) -> tuple[str, ...]:
        """Return the durable daemons that hold no replica of the log yet."""
        replicas = self.list_replicas()
        return tuple(
            sorted(
                card.name
                for card in self._daemons.values()
                if card.durable and card.name not in replicas
            )
        )

    def build_message(self) -> DiscoveryMessage:
        """Return what to tell another daemon."""
        return DiscoveryMessage(
            card=self.own_info,
            known=tuple(self._daemons.values()),
            members=self.members,
            founders=self.initial_members,
        )

    def handle_message(self, greeting: DiscoveryMessage, now: float) -> None:
        """Learn what another daemon knows."""
        for card in (greeting.card, *greeting.known):
            if card.name == self.own_info.name:
                continue
            known = self._daemons.get(card.name)
            if known is None:
                self._changed_at = now
            if known is None or card is greeting.card:
                self._daemons[card.name] = card
        if greeting.members and not self.members:
            self.members = greeting.members
        if greeting.founders and not self.initial_members:
            self.initial_members = greeting.founders

    def update_members(self, members: tuple[str, ...]) -> None:
        """Take over the replicas that the own log lists."""
        if members:
            self.members = members

    def choose_initial_members(self, now: float) -> None:
        """Name the founders when it is this daemon's part and time."""
        if self.initial_members or self.members or not self.own_info.founding:
            return
        if not self._seeds or self.own_info.name != min(self._seeds):
            return
        if now - self._changed_at < QUIET_PERIOD_S:
            return
        self.initial_members = self._select_initial_members()

    def _select_initial_members(self) -> tuple[str, ...]:
        """Return the durable daemons, taken from each zone in turn."""
        by_zone: dict[str, list[str]] = {}
        for card in sorted(self._daemons.values(), key=lambda card: card.name):
            if card.durable and card.founding:
                by_zone.setdefault(card.zone, []).append(card.name)
        chosen: list[str] = []
        while by_zone and len(chosen) < MAX_INITIAL_MEMBERS:
            for zone in sorted(by_zone):
                if len(chosen) < MAX_INITIAL_MEMBERS:
                    chosen.append(by_zone[zone].pop(0))
                if not by_zone[zone]:
                    del by_zone[zone]
        return tuple(sorted(chosen))
