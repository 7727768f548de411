"""Which engines are reserved for requests that mostly generate.

A chunk of a prompt that an engine reads between two steps delays the tokens
of every stream on that engine. Entries therefore separate long prompts from
streams, as far as the observed traffic requires, and choose the same engines
without coordination.
"""

import math
from collections.abc import Sequence
from typing import Final

from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.queries import DispatchQuery
from carobspring.dispatch.servers import ServerRecord
from carobspring.routing import score_server

#: Prompt tokens that count as much as one token of output, in engine time as
#: well as to the users.
PREFILL_TOKENS_PER_OUTPUT_TOKEN: Final = 10


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

    def compute_generating_demand(self, now: float) -> float:
        """Return the engine time per second that generating needs."""
        self._decay(now)
        elapsed_s = now - self._started_at if self._started_at is not None else 0.0
        span_s = max(1.0, min(self._limits.mix_decay_s, elapsed_s))
        return self._generating_s / span_s

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
        self._names: tuple[str, ...] = ()
        self._order: tuple[str, ...] = ()
        self._demand_s = 0.0
        self._demand_at = float("-inf")

    def add(self, query: DispatchQuery, unread_tokens: float, now: float) -> None:
        """Count a request that is sent to an engine of the service."""
        self._mix.add(query, unread_tokens, now)
        if not is_prefill_heavy(query):
            self.generating_rank = query.priority

    def compute_generating_demand(self, now: float) -> float:
        """Return the engine time per second that generating needs here."""
        return self._mix.compute_generating_demand(now)

    def update_demand(self, seconds: float, now: float) -> None:
        """Record the reported demand of all entries together."""
        self._demand_s = seconds
        self._demand_at = now

    def select_generating(
        self, records: Sequence[ServerRecord], now: float
    ) -> frozenset[str]:
        """Return the names of the engines reserved for generating."""
        total = len(records)
        target = self._compute_target_count(total, now)
        if target is None or total < self._limits.min_engines:
            return frozenset()
        if abs(target - self._count) > self._limits.count_hysteresis:
            self._count = round(target)
        count = max(0, min(self._count, total - 1))
        return frozenset(self._order_engines(records)[:count])

    def _compute_target_count(self, total: int, now: float) -> float | None:
        limits = self._limits
        if now - self._demand_at <= limits.max_demand_age_s:
            return self._demand_s / limits.generating_utilization
        share = self._mix.compute_generating_share(now)
        return None if share is None else share * total

    def _order_engines(self, records: Sequence[ServerRecord]) -> tuple[str, ...]:
        names = tuple(record.server.server_id for record in records)
        if names == self._names:
            return self._order
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
        self._names = names
        return self._order


def is_prefill_heavy(query: DispatchQuery) -> bool:
    """Return whether the prompt takes more engine time than the output."""
    return query.prompt_tokens > PREFILL_TOKENS_PER_OUTPUT_TOKEN * query.output_tokens
