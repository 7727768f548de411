"""Pools of backend servers that serve the same model or plain service."""

from collections.abc import Iterator, Set

from carobspring.ports import RandomSource
from carobspring.routing.affinity import AffinityTable
from carobspring.routing.limits import RoutingLimits
from carobspring.routing.samples import SampledSet
from carobspring.routing.servers import DEFAULT_SERVICE_MS, ServerRecord
from carobspring.routing.smoothing import SmoothedValue


class ServerPool:
    """The servers of one pool, indexed for sampling, and their averages."""

    def __init__(self, *, zone: str, limits: RoutingLimits) -> None:
        self._zone = zone
        self._limits = limits
        self.names: set[str] = set()
        self.available = SampledSet()
        self.same_zone = SampledSet()
        self.affinity = AffinityTable()
        self._names_by_lowest_priority: dict[int, SampledSet] = {}
        self._lowest_priorities: dict[str, int] = {}
        self._service_ms = SmoothedValue(limits.smoothing)
        self._first_token_ms = SmoothedValue(limits.smoothing)
        self._mean_durations_ms: dict[str, SmoothedValue] = {}

    @property
    def service_ms(self) -> float:
        """Average time that a call holds a slot in this pool."""
        return self._service_ms.value or DEFAULT_SERVICE_MS

    @property
    def first_token_ms(self) -> float:
        """Average time to first token in this pool."""
        return self._first_token_ms.value

    def find_mean_duration_ms(self, service_class: str) -> float:
        """Return a class's average duration; zero before the first call."""
        mean = self._mean_durations_ms.get(service_class)
        return mean.value if mean else 0.0

    def record_duration(self, service_class: str, duration_ms: float) -> None:
        """Record the duration of a call of this class."""
        if service_class not in self._mean_durations_ms:
            self._mean_durations_ms[service_class] = SmoothedValue(
                self._limits.smoothing / 4
            )
        self._mean_durations_ms[service_class].observe(duration_ms)

    def add(self, record: ServerRecord) -> None:
        """Make a server available for sampling."""
        name = record.server.server_id
        self.available.add(name)
        self.affinity.add(name)
        if record.server.zone == self._zone:
            self.same_zone.add(name)
        self.index_lowest_priority(record)

    def discard(self, name: str) -> None:
        """Remove a server from sampling."""
        self.available.discard(name)
        self.same_zone.discard(name)
        self.affinity.discard(name)
        self._remove_lowest_priority(name)

    def record_load(self, record: ServerRecord) -> None:
        """Update the averages and the priority index from a load report."""
        load = record.load
        if load.service_ms > 0:
            self._service_ms.observe(load.service_ms)
        if load.first_token_ms > 0:
            self._first_token_ms.observe(load.first_token_ms)
        self.index_lowest_priority(record)

    def index_lowest_priority(self, record: ServerRecord) -> None:
        """Index a server by the lowest priority in its load report."""
        name = record.server.server_id
        lowest = record.find_lowest_priority()
        if self._lowest_priorities.get(name) == lowest:
            return
        self._remove_lowest_priority(name)
        if lowest is not None and name in self.available:
            self._lowest_priorities[name] = lowest
            self._names_by_lowest_priority.setdefault(lowest, SampledSet()).add(name)

    def draw_candidates(
        self, affinity: int, random: RandomSource, excluded: Set[str]
    ) -> list[str]:
        """Return a few servers to compare, without the excluded ones.

        Sampling the same server twice yields fewer candidates. If every
        sampled server is excluded, a bounded scan looks for another one.
        """
        candidates: list[str] = []
        preferred = self.affinity.find(affinity) if affinity else ""
        if preferred and preferred not in excluded:
            candidates.append(preferred)
        sources = [(self.same_zone, self._limits.near_samples)]
        if len(self.available) > len(self.same_zone):
            sources.append((self.available, self._limits.far_samples))
        for source, count in sources:
            for _ in range(count if len(source) else 0):
                name = source.draw(random)
                if name not in candidates and name not in excluded:
                    candidates.append(name)
        if not candidates and len(self.available):
            start = random.draw_index(len(self.available))
            steps = len(excluded) + 1
            others = self.available.iterate_from(start, steps)
            candidates = [name for name in others if name not in excluded][:1]
        return candidates

    def iterate_lower_priority(
        self, priority: int, random: RandomSource, excluded: Set[str]
    ) -> Iterator[str]:
        """Yield servers with lower-priority work, lowest priority first.

        For each priority at most one server more than the number of excluded
        servers is examined.
        """
        for lowest in sorted(self._names_by_lowest_priority):
            if lowest >= priority:
                return
            members = self._names_by_lowest_priority[lowest]
            if len(members):
                start = random.draw_index(len(members))
                for name in members.iterate_from(start, len(excluded) + 1):
                    if name not in excluded:
                        yield name

    def _remove_lowest_priority(self, name: str) -> None:
        lowest = self._lowest_priorities.pop(name, None)
        if lowest is not None:
            self._names_by_lowest_priority[lowest].discard(name)
            if not len(self._names_by_lowest_priority[lowest]):
                del self._names_by_lowest_priority[lowest]
