"""Which engines are reserved for requests that mostly generate.

A chunk of a prompt that an engine reads between two steps delays the tokens
of every stream on that engine. Entries therefore separate long prompts from
streams, as far as the observed traffic requires, and choose the same engines
without coordination.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.queries import DispatchQuery
from carobspring.dispatch.servers import ServerRecord
from carobspring.routing import score_server

#: Prompt tokens that count as much as one token of output, in engine time as
#: well as to the users.
PREFILL_TOKENS_PER_OUTPUT_TOKEN: Final = 10


@dataclass(frozen=True, kw_only=True)
class EngineDemand:
    """Engine time per second that requests of each kind need, in seconds."""

    generating_s: float = 0.0
    #: Zero if it is not known.
    reading_s: float = 0.0


class WorkMix:
    """Measures the engine time that reading and generating take."""

    def __init__(self, *, limits: DispatchLimits) -> None:
        self._limits = limits
        self._reading_s = 0.0
        self._generating_s = 0.0
        self._updated_at = 0.0
        self._started_at: float | None = None

    def add(self, query: DispatchQuery, unread_tokens: float, now: float) -> None:
        """Count a request that is sent to an engine."""
        self._decay(now)
        self._started_at = now if self._started_at is None else self._started_at
        limits = self._limits
        read_s = unread_tokens / limits.prefill_tokens_per_s
        if is_prefill_heavy(query):
            self._reading_s += read_s
        else:
            self._generating_s += read_s
            self._generating_s += query.output_tokens * limits.output_token_s

    def compute_demand(self, now: float) -> EngineDemand:
        """Return the engine time per second that both need."""
        self._decay(now)
        elapsed_s = now - self._started_at if self._started_at is not None else 0.0
        span_s = max(1.0, min(self._limits.mix_decay_s, elapsed_s))
        return EngineDemand(
            generating_s=self._generating_s / span_s, reading_s=self._reading_s / span_s
        )

    def compute_generating_share(self, now: float) -> float | None:
        """Return the share of generating; None with too few observations."""
        self._decay(now)
        total_s = self._reading_s + self._generating_s
        if total_s < self._limits.min_mix_s:
            return None
        return self._generating_s / total_s

    def _decay(self, now: float) -> None:
        kept_share = math.exp(
            -max(0.0, now - self._updated_at) / self._limits.mix_decay_s
        )
        self._reading_s *= kept_share
        self._generating_s *= kept_share
        self._updated_at = max(self._updated_at, now)


class Specialization:
    """Selects the engines of one service that mostly generate.

    Their number follows the demand of all entries together, or this entry's
    own mix of work while no demand has been reported. Hysteresis keeps it
    from oscillating. The engines are the first of an order by rendezvous
    hashing that alternates between the availability zones, so that an engine
    that leaves changes little of the selection.

    Example:
        ``specialization.add(query, unread, now)`` for each request sent, and
        ``specialization.select_generating(records, now)`` before placing one.
    """

    def __init__(self, *, limits: DispatchLimits) -> None:
        self._limits = limits
        self._mix = WorkMix(limits=limits)
        self._count = 0
        #: Rank of the last request that mostly generated.
        self.generating_rank = 0
        self._records: Sequence[ServerRecord] = ()
        self._order: tuple[str, ...] = ()
        self._selected: frozenset[str] = frozenset()
        #: Engines that hold a burst of streams in every zone.
        self._burst_engines = 0
        self._demand: EngineDemand | None = None
        self._demand_at = float("-inf")

    def add(self, query: DispatchQuery, unread_tokens: float, now: float) -> None:
        """Count a request that is sent to an engine of the service."""
        self._mix.add(query, unread_tokens, now)
        if not is_prefill_heavy(query):
            self.generating_rank = query.priority

    def compute_demand(self, now: float) -> EngineDemand:
        """Return the engine time that this entry's requests need."""
        return self._mix.compute_demand(now)

    def update_demand(self, demand: EngineDemand, now: float) -> None:
        """Record the reported demand of all entries together."""
        self._demand = demand
        self._demand_at = now

    def select_generating(
        self, records: Sequence[ServerRecord], now: float
    ) -> frozenset[str]:
        """Return the names of the engines reserved for generating.

        The same sequence must be passed until its servers change.
        """
        total = len(records)
        is_new_order = self._order_engines(records)
        target = self._compute_target_count(total, now)
        limits = self._limits
        if target is None or total < limits.min_engines:
            return frozenset()
        hysteresis = max(
            limits.count_hysteresis, limits.count_hysteresis_share * self._count
        )
        if abs(target - self._count) > hysteresis:
            self._count = round(target)
        count = max(0, min(self._count, total - 1))
        if is_new_order or len(self._selected) != count:
            self._selected = frozenset(self._order[:count])
        return self._selected

    def _compute_target_count(self, total: int, now: float) -> float | None:
        """Return how many engines generating needs, or gets if all have room.

        In overload the streams get what they need. Otherwise both kinds of
        requests get engines in proportion to their demand, but the streams no
        more in each zone than hold a burst of them, since every engine kept
        for them is one less that caches long prompts.
        """
        limits = self._limits
        demand = self._demand
        if demand is None or now - self._demand_at > limits.max_demand_age_s:
            share = self._mix.compute_generating_share(now)
            return None if share is None else share * total
        needed = demand.generating_s / limits.generating_utilization
        if not demand.reading_s:
            return needed
        both_s = demand.generating_s + demand.reading_s
        share = total * demand.generating_s / both_s
        return max(needed, min(share, self._burst_engines))

    def _order_engines(self, records: Sequence[ServerRecord]) -> bool:
        """Order the engines; return whether they have changed."""
        if records is self._records:
            return False
        by_zone: dict[str, list[str]] = {}
        for record in records:
            zone = by_zone.setdefault(record.server.zone, [])
            zone.append(record.server.server_id)
        for zone in by_zone.values():
            zone.sort(key=lambda name: score_server(0, name))
        zones = sorted(by_zone, key=lambda zone: score_server(0, zone))
        largest_zone = max(map(len, by_zone.values()), default=0)
        self._order = tuple(
            by_zone[zone][position]
            for position in range(largest_zone)
            for zone in zones
            if position < len(by_zone[zone])
        )
        self._records = records
        slots = max(1, min((r.server.slots for r in records), default=1))
        engines_in_zone = math.ceil(self._limits.burst_streams / slots)
        self._burst_engines = len(zones) * engines_in_zone
        return True


def is_prefill_heavy(query: DispatchQuery) -> bool:
    """Return whether the prompt takes more engine time than the output."""
    return query.prompt_tokens > PREFILL_TOKENS_PER_OUTPUT_TOKEN * query.output_tokens
