"""The backend servers that can take one kind of call, ready for sampling."""

from collections.abc import Iterator, Set

from carobspring.ports import RandomSource
from carobspring.routing.affinity import AffinityTable
from carobspring.routing.limits import RoutingLimits
from carobspring.routing.samples import SampledSet
from carobspring.routing.servers import DEFAULT_SERVICE_MS, ServerRecord
from carobspring.routing.smoothing import SmoothedValue


class ServerPool:
    """Servers of one pool that take new work, and what is usual there."""

    def __init__(self, *, zone: str, limits: RoutingLimits) -> None:
        self._zone = zone
        self._limits = limits
        self.names: set[str] = set()
        self.available = SampledSet()
        self.same_zone = SampledSet()
        self.affinity = AffinityTable()
        self._by_lowest: dict[int, SampledSet] = {}
        self._lowest: dict[str, int] = {}
        self._service_ms = SmoothedValue(limits.smoothing)
        self._first_token_ms = SmoothedValue(limits.smoothing)
        self._usual_ms: dict[str, SmoothedValue] = {}

    @property
    def service_ms(self) -> float:
        """The time of one call in a slot, as is usual in the pool."""
        return self._service_ms.value or DEFAULT_SERVICE_MS

    @property
    def first_token_ms(self) -> float:
        """The time to a first token, as is usual in the pool."""
        return self._first_token_ms.value

    def find_mean_duration_ms(self, service_class: str) -> float:
        """Return a class's usual duration; zero before any was seen."""
        usual = self._usual_ms.get(service_class)
        return usual.value if usual else 0.0

    def record_duration(self, service_class: str, duration_ms: float) -> None:
        """Note how long a call of this class took."""
        if service_class not in self._usual_ms:
            self._usual_ms[service_class] = SmoothedValue(self._limits.smoothing / 4)
        self._usual_ms[service_class].observe(duration_ms)

    def add(self, record: ServerRecord) -> None:
        """Let a server be drawn."""
        name = record.server.server_id
        self.available.add(name)
        self.affinity.add(name)
        if record.server.zone == self._zone:
            self.same_zone.add(name)
        self.index_lowest_priority(record)

    def discard(self, name: str) -> None:
        """Let a server be drawn no more."""
        self.available.discard(name)
        self.same_zone.discard(name)
        self.affinity.discard(name)
        self._forget_lowest(name)

    def record_load(self, record: ServerRecord) -> None:
        """Learn from a report what is usual, and which tiers are there."""
        load = record.load
        if load.service_ms > 0:
            self._service_ms.observe(load.service_ms)
        if load.first_token_ms > 0:
            self._first_token_ms.observe(load.first_token_ms)
        self.index_lowest_priority(record)

    def index_lowest_priority(self, record: ServerRecord) -> None:
        """Keep the server under the lowest tier that its report shows."""
        name = record.server.server_id
        lowest = record.find_lowest_priority()
        if self._lowest.get(name) == lowest:
            return
        self._forget_lowest(name)
        if lowest is not None and name in self.available:
            self._lowest[name] = lowest
            self._by_lowest.setdefault(lowest, SampledSet()).add(name)

    def draw_candidates(
        self, affinity: int, random: RandomSource, excluded: Set[str]
    ) -> list[str]:
        """Return a few servers to compare, without those excluded.

        Two draws with the same outcome leave fewer; when exclusions leave
        none, a bounded walk looks for any other.
        """
        drawn: list[str] = []
        favourite = self.affinity.find(affinity) if affinity else ""
        if favourite and favourite not in excluded:
            drawn.append(favourite)
        sources = [(self.same_zone, self._limits.near_samples)]
        if len(self.available) > len(self.same_zone):
            sources.append((self.available, self._limits.far_samples))
        for source, count in sources:
            for _ in range(count if len(source) else 0):
                name = source.draw(random)
                if name not in drawn and name not in excluded:
                    drawn.append(name)
        if not drawn and len(self.available):
            start = random.draw_index(len(self.available))
            steps = len(excluded) + 1
            walked = self.available.iterate_from(start, steps)
            drawn = [name for name in walked if name not in excluded][:1]
        return drawn

    def iterate_lower_priority(
        self, priority: int, random: RandomSource, excluded: Set[str]
    ) -> Iterator[str]:
        """Return servers that hold work of a lower tier, lowest tier first.

        At most as many are looked at as are excluded, and one more a tier.
        """
        for tier in sorted(self._by_lowest):
            if tier >= priority:
                return
            members = self._by_lowest[tier]
            if len(members):
                start = random.draw_index(len(members))
                for name in members.iterate_from(start, len(excluded) + 1):
                    if name not in excluded:
                        yield name

    def _forget_lowest(self, name: str) -> None:
        lowest = self._lowest.pop(name, None)
        if lowest is not None:
            self._by_lowest[lowest].discard(name)
            if not len(self._by_lowest[lowest]):
                del self._by_lowest[lowest]
