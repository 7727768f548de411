"""The backend servers of one service, indexed for placement.

With hundreds of servers, a request is placed among a few of them: all of its
availability zone or a sample, a sample of the others, and the home of its
prompt. Indices change only when a server appears, leaves or drains, or when
other engines are reserved for generating.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence, Set
from dataclasses import dataclass
from heapq import nlargest
from typing import Final

from carobspring.dispatch.homes import hash_part
from carobspring.dispatch.servers import ServerRecord
from carobspring.dispatch.trials import TrialPace
from carobspring.ports import RandomSource
from carobspring.routing import score_server

#: Servers up to which a request is placed among all of them.
MAX_SCANNED_SERVERS: Final = 24
#: Servers of each group that a request is placed among, if there are more.
NEAR_SAMPLE: Final = 8
FAR_SAMPLE: Final = 4
OTHER_KIND_SAMPLE: Final = 2
#: Servers ranked as home of a prompt: the first, and those for its failures.
RANKED_HOMES: Final = 3
#: Homes that are remembered.
MAX_CACHED_HOMES: Final = 4096


@dataclass(frozen=True, kw_only=True)
class ServerGroups:
    """Active servers, by whether they suit a kind of request, and by zone."""

    #: Suitable servers in this entry's availability zone, and elsewhere.
    near: tuple[ServerRecord, ...]
    far: tuple[ServerRecord, ...]
    #: Servers reserved for other requests, in this zone if there are any.
    unsuitable: tuple[ServerRecord, ...]


class ServerPool:
    """Holds the servers of one service, as one entry knows them.

    Example:
        ``groups = pool.group(generating, suits_generating=False)``, then
        ``pool.list_candidates(groups, homes, random)``.
    """

    def __init__(self, *, zone: str) -> None:
        self._zone = zone
        self.trials = TrialPace()
        self._records: dict[str, ServerRecord] = {}
        self._active: tuple[ServerRecord, ...] | None = None
        self._groups: dict[tuple[frozenset[str], bool], ServerGroups] = {}
        self._homes: OrderedDict[
            tuple[str, bool, frozenset[str], bool], tuple[ServerRecord, ...]
        ] = OrderedDict()

    @property
    def records(self) -> Sequence[ServerRecord]:
        """Every server, also those that are about to go."""
        return tuple(self._records.values())

    @property
    def active(self) -> tuple[ServerRecord, ...]:
        """Every server that neither drains nor says that it leaves."""
        if self._active is None:
            self._active = tuple(r for r in self._records.values() if not r.is_closing)
        return self._active

    def add(self, record: ServerRecord) -> None:
        """Add a server."""
        self._records[record.server.server_id] = record
        self.clear_indices()

    def remove(self, server_id: str) -> None:
        """Remove a server."""
        del self._records[server_id]
        self.clear_indices()

    def clear_indices(self) -> None:
        """Build the indices anew, after a server began to drain or leave."""
        self._active = None
        self._groups.clear()
        self._homes.clear()

    def group(
        self, generating: frozenset[str], *, suits_generating: bool
    ) -> ServerGroups:
        """Return the active servers by their use for one kind of request.

        ``generating`` names the engines reserved for requests that mostly
        generate; without any, every server suits every request.
        """
        key = (generating, suits_generating)
        groups = self._groups.get(key)
        if groups is None:
            if len(self._groups) > 2:
                # The reserved engines have changed.
                self._groups.clear()
                self._homes.clear()
            groups = self._groups[key] = self._build_groups(*key)
        return groups

    def rank_homes(
        self,
        part: str,
        generating: frozenset[str],
        *,
        suits_generating: bool,
        near_only: bool,
    ) -> tuple[ServerRecord, ...]:
        """Return the servers that may be a part's home, best first.

        By rendezvous hashing every entry finds the same ones without
        coordination, and only the parts of a server that leaves get another
        home.
        """
        cache_key = (part, near_only, generating, suits_generating)
        homes = self._homes.get(cache_key)
        if homes is None:
            groups = self.group(generating, suits_generating=suits_generating)
            records = groups.near if near_only else groups.near + groups.far
            key = hash_part(part)
            homes = tuple(
                nlargest(
                    RANKED_HOMES,
                    records,
                    key=lambda record: score_server(key, record.server.server_id),
                )
            )
            self._homes[cache_key] = homes
            if len(self._homes) > MAX_CACHED_HOMES:
                self._homes.popitem(last=False)
        return homes

    def list_candidates(
        self,
        groups: ServerGroups,
        homes: Sequence[ServerRecord],
        random: RandomSource,
    ) -> Sequence[ServerRecord]:
        """Return the servers among which a request is placed."""
        if len(self.active) <= MAX_SCANNED_SERVERS:
            return self.active
        candidates = dict.fromkeys(homes)
        for records, count in (
            (groups.near, NEAR_SAMPLE),
            (groups.far, FAR_SAMPLE),
            (groups.unsuitable, OTHER_KIND_SAMPLE),
        ):
            candidates.update(dict.fromkeys(draw_sample(records, count, random)))
        return tuple(candidates)

    def _build_groups(
        self, generating: Set[str], suits_generating: bool
    ) -> ServerGroups:
        def is_suitable(record: ServerRecord) -> bool:
            is_reserved = record.server.server_id in generating
            return not generating or is_reserved is suits_generating

        suitable = [record for record in self.active if is_suitable(record)]
        unsuitable = [record for record in self.active if not is_suitable(record)]
        is_near: Callable[[ServerRecord], bool] = (
            lambda record: record.server.zone == self._zone
        )
        return ServerGroups(
            near=tuple(record for record in suitable if is_near(record)),
            far=tuple(record for record in suitable if not is_near(record)),
            unsuitable=tuple(filter(is_near, unsuitable)) or tuple(unsuitable),
        )


def draw_sample(
    records: Sequence[ServerRecord], count: int, random: RandomSource
) -> Sequence[ServerRecord]:
    """Return a number of records, or all if there are no more than that.

    They are drawn with replacement, so fewer may be returned.
    """
    if len(records) <= count:
        return records
    return [records[random.draw_index(len(records))] for _ in range(count)]
