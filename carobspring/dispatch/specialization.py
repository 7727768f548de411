"""Which engines are kept for requests that mostly generate.

Answers live streams beside long prompts: a chunk of a prompt that is read
between two steps delays the tokens of every stream on its engine. Entries
keep the two apart, as far as the traffic that they see asks for, and agree on
the engines without a word to each other.
"""

import math
from collections.abc import Sequence
from typing import Final

from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.queries import DispatchQuery
from carobspring.dispatch.servers import ServerRecord
from carobspring.routing import score_server

#: Prompt tokens that take the engine time of one token of output, as the
#: users weigh them too.
PREFILL_TOKENS_PER_OUTPUT_TOKEN: Final = 10


class WorkMix:
    """Follows how much engine time reading and generating take."""

    def __init__(self, *, limits: DispatchLimits) -> None:
        self._limits = limits
        self._reading_s = 0.0
        self._generating_s = 0.0
        self._at = 0.0
        self._began: float | None = None

    def note(self, query: DispatchQuery, unread_tokens: float, now: float) -> None:
        """Count a request that is sent to an engine."""
        self._fade(now)
        self._began = now if self._began is None else self._began
        limits = self._limits
        read_s = unread_tokens / limits.prefill_tokens_per_s
        if is_prefill_heavy(query):
            self._reading_s += read_s
        else:
            self._generating_s += read_s
            self._generating_s += query.output_tokens * limits.output_token_s

    def compute_generating_demand(self, now: float) -> float:
        """Return the engine time a second that generating asks for."""
        self._fade(now)
        since_s = now - self._began if self._began is not None else 0.0
        span_s = max(1.0, min(self._limits.mix_decay_s, since_s))
        return self._generating_s / span_s

    def compute_generating_share(self, now: float) -> float | None:
        """Return the part of generating; None while little was seen."""
        self._fade(now)
        total_s = self._reading_s + self._generating_s
        if total_s < self._limits.min_mix_s:
            return None
        return self._generating_s / total_s

    def _fade(self, now: float) -> None:
        kept = math.exp(-max(0.0, now - self._at) / self._limits.mix_decay_s)
        self._reading_s *= kept
        self._generating_s *= kept
        self._at = max(self._at, now)


class Specialization:
    """Names the engines of one service that mostly generate.

    The number follows what all entries together ask for, or, while that is not
    told, the own mix of work; with some play, so that it doesn't go back and
    forth. The engines are the first of an order by rendezvous
    hashing that goes round the availability zones; an engine that leaves
    changes little of it.

    Example:
        ``specialization.note(query, unread, now)`` for each request sent, and
        ``specialization.select_generating(records, now)`` before a choice.
    """

    def __init__(self, *, limits: DispatchLimits) -> None:
        self._limits = limits
        self._mix = WorkMix(limits=limits)
        self._count = 0
        #: Rank of the last request that mostly generates.
        self.generating_rank = 0
        self._names: tuple[str, ...] = ()
        self._order: tuple[str, ...] = ()
        self._told_s = 0.0
        self._told_at = float("-inf")

    def note(self, query: DispatchQuery, unread_tokens: float, now: float) -> None:
        """Count a request that is sent to an engine of the service."""
        self._mix.note(query, unread_tokens, now)
        if not is_prefill_heavy(query):
            self.generating_rank = query.priority

    def compute_generating_demand(self, now: float) -> float:
        """Return the engine time a second that generating asks for here."""
        return self._mix.compute_generating_demand(now)

    def update_demand(self, seconds: float, now: float) -> None:
        """Take over what all entries together ask for."""
        self._told_s = seconds
        self._told_at = now

    def select_generating(
        self, records: Sequence[ServerRecord], now: float
    ) -> frozenset[str]:
        """Return the names of the engines kept for generating."""
        total = len(records)
        wanted = self._find_wanted(total, now)
        if wanted is None or total < self._limits.min_engines:
            return frozenset()
        if abs(wanted - self._count) > self._limits.count_hysteresis:
            self._count = round(wanted)
        count = max(0, min(self._count, total - 1))
        return frozenset(self._sort(records)[:count])

    def _find_wanted(self, total: int, now: float) -> float | None:
        limits = self._limits
        if now - self._told_at <= limits.max_demand_age_s:
            return self._told_s / limits.generating_utilization
        share = self._mix.compute_generating_share(now)
        return None if share is None else share * total

    def _sort(self, records: Sequence[ServerRecord]) -> tuple[str, ...]:
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
        depth = max(map(len, by_zone.values()), default=0)
        self._order = tuple(
            by_zone[zone][place]
            for place in range(depth)
            for zone in zones
            if place < len(by_zone[zone])
        )
        self._names = names
        return self._order


def is_prefill_heavy(query: DispatchQuery) -> bool:
    """Say whether the prompt takes more engine time than the output."""
    return query.prompt_tokens > PREFILL_TOKENS_PER_OUTPUT_TOKEN * query.output_tokens
