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
SETTLING_S: Final = 2.0
#: More replicas would cost more than they protect.
MAX_FOUNDERS: Final = 7


@dataclass(frozen=True, kw_only=True)
class DaemonCard:
    """What one control daemon says of itself."""

    #: Its gRPC address.
    name: str
    zone: str = ""
    #: True when it has a disk that counts, so that it may hold the log.
    durable: bool = False
    #: True when it was started to found a cluster and its disk was empty.
    founding: bool = False


@dataclass(frozen=True, kw_only=True)
class Greeting:
    """Exchanged between control daemons, both ways alike."""

    card: DaemonCard
    #: Every card that the sender holds.
    known: tuple[DaemonCard, ...] = ()
    #: Names of the replicas by the sender's log; empty while it has none.
    members: tuple[str, ...] = ()
    #: Names that shall found the cluster, once that is settled.
    founders: tuple[str, ...] = ()


class DaemonDirectory:
    """Knows the control daemons; takes greetings and the time alone."""

    def __init__(self, *, card: DaemonCard, seeds: Iterable[str], now: float) -> None:
        self.card = card
        self._seeds = tuple(seeds)
        self._cards = {card.name: card}
        self._changed_at = now
        self.founders: tuple[str, ...] = ()
        #: Replicas by the log of this daemon or of another one.
        self.members: tuple[str, ...] = ()

    def take_seeds(self, seeds: Iterable[str]) -> None:
        """Take over other first addresses."""
        self._seeds = tuple(seeds)

    def list_addresses(self) -> list[str]:
        """Return every address but the own, those most likely up first."""
        names = dict.fromkeys((*self.members, *self._cards, *self._seeds))
        names.pop(self.card.name, None)
        return list(names)

    def list_replicas(self) -> tuple[str, ...]:
        """Return the names of the replicas, as far as they are known."""
        return self.members or self.founders

    def list_spares(self) -> tuple[str, ...]:
        """Return the durable daemons that hold no replica of the log yet."""
        replicas = self.list_replicas()
        return tuple(
            sorted(
                card.name
                for card in self._cards.values()
                if card.durable and card.name not in replicas
            )
        )

    def make_greeting(self) -> Greeting:
        """Return what to tell another daemon."""
        return Greeting(
            card=self.card,
            known=tuple(self._cards.values()),
            members=self.members,
            founders=self.founders,
        )

    def take_greeting(self, greeting: Greeting, now: float) -> None:
        """Learn what another daemon knows."""
        for card in (greeting.card, *greeting.known):
            if card.name == self.card.name:
                continue
            known = self._cards.get(card.name)
            if known is None:
                self._changed_at = now
            if known is None or card is greeting.card:
                self._cards[card.name] = card
        if greeting.members and not self.members:
            self.members = greeting.members
        if greeting.founders and not self.founders:
            self.founders = greeting.founders

    def note_members(self, members: tuple[str, ...]) -> None:
        """Take over the replicas that the own log lists."""
        if members:
            self.members = members

    def settle_founders(self, now: float) -> None:
        """Name the founders when it is this daemon's part and time."""
        if self.founders or self.members or not self.card.founding:
            return
        if not self._seeds or self.card.name != min(self._seeds):
            return
        if now - self._changed_at < SETTLING_S:
            return
        self.founders = self._choose_founders()

    def _choose_founders(self) -> tuple[str, ...]:
        """Return the durable daemons, taken from each zone in turn."""
        by_zone: dict[str, list[str]] = {}
        for card in sorted(self._cards.values(), key=lambda card: card.name):
            if card.durable and card.founding:
                by_zone.setdefault(card.zone, []).append(card.name)
        chosen: list[str] = []
        while by_zone and len(chosen) < MAX_FOUNDERS:
            for zone in sorted(by_zone):
                if len(chosen) < MAX_FOUNDERS:
                    chosen.append(by_zone[zone].pop(0))
                if not by_zone[zone]:
                    del by_zone[zone]
        return tuple(sorted(chosen))
