"""The list of control replicas, and which of them an entry follows.

Every replica sends every change of servers and routes to each entry that
follows it. With hundreds of entries that traffic is the replicas' main load,
so an entry follows as few of them as must be lost before it hears of nothing.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from carobspring.protocol import ViewUpdate
from carobspring.routing import score_server

#: Seconds without routes after the start of an entry until it follows every
#: replica that it knows. A running replica sends them much sooner.
SEARCH_AFTER_S: Final = 0.4


class KnownReplicas:
    """The names of all control replicas, as the followed replicas report them.

    A replica that was removed from the cluster while it was unreachable keeps
    reporting an outdated list. It can't confirm its updates with the quorum,
    so an unconfirmed list is used only while no other is known.

    Example:
        ``if known.apply_update(name, update): follow(known.names)``
    """

    def __init__(self) -> None:
        self.names: tuple[str, ...] = ()
        #: Availability zones of the replicas, as far as they are known.
        self.zones: dict[str, str] = {}
        self._has_new_zones = False
        #: The last list of each followed replica, which sends it only when it
        #: changes.
        self._reported: dict[str, tuple[str, ...]] = {}

    def apply_update(self, replica: str, update: ViewUpdate) -> bool:
        """Apply a replica's update; return whether names or zones changed."""
        if update.replicas:
            self._reported[replica] = update.replicas
            known_zones = update.replica_zones or {}
            if not known_zones.items() <= self.zones.items():
                self.zones |= known_zones
                self._has_new_zones = True
        names = self._reported.get(replica, ())
        has_changed = bool(names) and names != self.names
        if has_changed and self.names and not update.confirmed:
            has_changed = False
        if has_changed:
            self.names = names
        has_changed |= self._has_new_zones
        self._has_new_zones = False
        return has_changed

    def remove_replica(self, replica: str) -> None:
        """Drop the list of a replica that is no longer followed."""
        self._reported.pop(replica, None)


def choose_replicas(
    names: Iterable[str],
    zones: Mapping[str, str],
    *,
    entry: str,
    own_host: str,
    own_zone: str,
    count: int | None,
) -> tuple[str, ...]:
    """Return the replicas that an entry follows, of those given by address.

    The one on the same instance comes first, then those of the same
    availability zone, but at least one is in another zone if there is any.
    Entries of one zone follow different replicas of the other zones. All are
    returned if ``count`` is None.
    """

    def rank(name: str) -> tuple[int, float]:
        if name.startswith(f"{own_host}:"):
            distance = 0
        else:
            distance = 1 if zones.get(name) == own_zone else 2
        return distance, -score_server(0, f"{entry} {name}")

    ranked = sorted(names, key=rank)
    if count is None:
        return tuple(ranked)
    chosen = ranked[:count]
    elsewhere = [name for name in ranked if zones.get(name, own_zone) != own_zone]
    if count > 1 and elsewhere and not set(chosen) & set(elsewhere):
        chosen[-1] = elsewhere[0]
    return tuple(chosen)


def count_replicas_to_follow(
    tolerated_failures: int, *, has_routes: bool, uptime_s: float
) -> int | None:
    """Return how many replicas an entry follows, or None for all.

    That is one more than may be lost at once. An entry that has just started
    and got no routes from these may have picked lost ones, as after a loss of
    all instances of which some do not return.
    """
    if not has_routes and uptime_s >= SEARCH_AFTER_S:
        return None
    return tolerated_failures + 1
