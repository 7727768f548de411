"""The other entries, and which of them keep the record of a stream."""

from collections.abc import Iterable
from heapq import nlargest
from typing import Final

from carobspring.protocol import ViewUpdate
from carobspring.routing import score_server

#: Bytes of a stream's key that seed its rendezvous hash.
SEED_BYTES: Final = 8


class PeerDirectory:
    """Merges the addresses of entries that followed control replicas list.

    Addresses are ``host:port``. An entry is known while any replica lists it;
    while none is followed, the last list is kept.
    """

    def __init__(self, *, own_address: str) -> None:
        self._own_address = own_address
        self._by_replica: dict[str, set[str]] = {}
        self.addresses: tuple[str, ...] = ()

    def apply_update(self, replica: str, update: ViewUpdate) -> bool:
        """Apply a replica's update; return whether the list has changed."""
        known = self._by_replica.get(replica)
        if known is None or update.complete:
            known = self._by_replica[replica] = set()
        known |= set(update.entries_added)
        known -= set(update.entries_removed)
        return self._merge()

    def remove_replica(self, replica: str) -> None:
        """Drop the list of a replica that is no longer followed."""
        if len(self._by_replica) > 1:
            self._by_replica.pop(replica, None)
            self._merge()

    def choose(self, stream: bytes, count: int) -> tuple[str, ...]:
        """Return the entries that come first for a stream, best first.

        Entries that know different lists choose almost the same ones.
        """
        seed = int.from_bytes(stream[:SEED_BYTES])
        return tuple(
            nlargest(
                count, self.addresses, key=lambda address: score_server(seed, address)
            )
        )

    def _merge(self) -> bool:
        merged: Iterable[str] = set().union(*self._by_replica.values())
        addresses = tuple(sorted(set(merged) - {self._own_address, ""}))
        has_changed = addresses != self.addresses
        self.addresses = addresses
        return has_changed
