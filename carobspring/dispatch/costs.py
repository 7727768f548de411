"""Estimated cost of a request at a backend server, in seconds.

Long prompts and live streams compete for engines. Prompts with a long shared
prefix go to one home server that has read it, and elsewhere only when that
server is busy; live streams go where the gaps between events are short.
"""

from collections.abc import Set
from dataclasses import dataclass

from carobspring.dispatch.homes import find_shared_parts
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.queries import DispatchQuery
from carobspring.dispatch.servers import ServerRecord
from carobspring.dispatch.specialization import is_prefill_heavy


@dataclass(frozen=True, kw_only=True)
class CostEstimate:
    """The components of a cost, for the choice and for the log."""

    wait_s: float
    prefill_s: float
    cross_zone_s: float
    event_gap_s: float
    #: Cost of placing a long prompt among streams, or a stream among prompts.
    mixing_s: float
    #: Cost of exceeding the memory of an engine.
    memory_s: float
    unread_tokens: float

    @property
    def cost_s(self) -> float:
        """Sum of all components."""
        known_s = self.wait_s + self.prefill_s + self.cross_zone_s
        return known_s + self.event_gap_s + self.mixing_s + self.memory_s


def estimate_prefill(
    record: ServerRecord,
    query: DispatchQuery,
    *,
    home: ServerRecord | None,
    near_home: ServerRecord | None,
    limits: DispatchLimits,
    now: float,
) -> tuple[float, float]:
    """Return the prompt tokens that a server has to read, and the cost.

    A server other than the home copies a long shared prefix if the home is
    known to have it. Otherwise it reads the prefix, and the home will read it
    too, so that the missing tokens count twice. Copies in one availability
    zone go to one server if possible, since each takes memory from others.

    The slowdown of a server scales the time that it needs to read, not that
    of copying, nor that of the home.
    """
    unread = float(record.count_unread_tokens(query, now))
    rate = limits.prefill_tokens_per_s
    slowdown = record.slowdown.estimate(now)
    if home is None:
        return unread, unread * slowdown / rate
    shared = sum(tokens for _, tokens in find_shared_parts(query))
    if record is home:
        cached = shared * limits.home_cached_share
        unread = min(unread, max(0.0, query.prompt_tokens - cached))
        return unread, unread * slowdown / rate
    missing = unread - (query.prompt_tokens - shared)
    if shared < limits.global_home_tokens or missing <= 0:
        return unread, unread * slowdown / rate
    if home.has_cached_shared_parts(query, now):
        unread -= missing
        copy_s = limits.copy_cost_s
        if record is not near_home:
            copy_s += limits.further_copy_cost_s
        return unread, unread * slowdown / rate + copy_s
    return unread, (unread * slowdown + missing) / rate


def estimate_cost(
    record: ServerRecord,
    query: DispatchQuery,
    *,
    zone: str,
    home: ServerRecord | None,
    near_home: ServerRecord | None,
    generating: Set[str],
    generating_rank: int,
    kv_capacity_tokens: int,
    limits: DispatchLimits,
    now: float,
) -> CostEstimate:
    """Return the cost of a request at a server.

    ``generating`` names the engines reserved for requests that mostly
    generate, and ``generating_rank`` is the rank of those requests.
    ``kv_capacity_tokens`` is the memory of an engine, or zero if that isn't
    known.

    The slowdown of a server scales what is predicted from counts and usual
    rates. A measured silence or wait already contains it.
    """
    running = record.estimate_running(now)
    slowdown = record.slowdown.estimate(now)
    cross_zone_s = 0.0
    if record.server.zone != zone:
        cross_zone_s = _estimate_cross_zone_s(query, limits)
    if not record.is_engine:
        slots = max(1, record.server.slots)
        service_time_s = record.service_time_s.value or limits.initial_plain_service_s
        service_time_s *= slowdown
        wait_s = max(0, running - slots + 1) * service_time_s / slots
        wait_s += running * service_time_s * 0.05 / slots
        wait_s += record.estimate_silence_s(now)
        return CostEstimate(
            wait_s=wait_s,
            prefill_s=0.0,
            cross_zone_s=cross_zone_s,
            event_gap_s=0.0,
            mixing_s=0.0,
            memory_s=0.0,
            unread_tokens=0.0,
        )
    unread, prefill_s = estimate_prefill(
        record, query, home=home, near_home=near_home, limits=limits, now=now
    )
    queue_s = record.estimate_backlog_s(query.priority, now)
    if queue_s is None or not is_prefill_heavy(query):
        own_s = record.count_backlog_tokens() / limits.prefill_tokens_per_s
        queue_s = max(own_s * slowdown, record.estimate_observed_wait_s(now))
    else:
        queue_s *= slowdown
    wait_s = queue_s
    wait_s += record.estimate_silence_s(now)
    wait_s += running * limits.running_request_cost_s * slowdown
    wait_s += _estimate_slot_wait_s(record, running) * slowdown
    return CostEstimate(
        wait_s=wait_s,
        prefill_s=prefill_s,
        cross_zone_s=cross_zone_s,
        event_gap_s=_estimate_event_gap_cost_s(record, query, limits),
        mixing_s=_estimate_mixing_cost_s(
            record, query, generating, generating_rank, limits
        ),
        memory_s=_estimate_memory_cost_s(
            record,
            query,
            running=running,
            slowdown=slowdown,
            kv_capacity_tokens=kv_capacity_tokens,
            limits=limits,
        ),
        unread_tokens=unread,
    )


def _estimate_cross_zone_s(query: DispatchQuery, limits: DispatchLimits) -> float:
    """Return the cost of sending a request to another availability zone.

    A prompt with a home of all zones goes there although it is far: staying
    near would have its long prefix read once more in each zone.
    """
    if sum(tokens for _, tokens in find_shared_parts(query)) >= (
        limits.global_home_tokens
    ):
        return limits.cross_zone_delay_s + limits.far_home_cost_s
    return limits.cross_zone_delay_s + limits.cross_zone_target_share * query.target_s


def _estimate_slot_wait_s(record: ServerRecord, running: int) -> float:
    """Return the wait for a slot of an engine whose slots are all taken."""
    slots = record.server.slots
    if not slots or running < slots:
        return 0.0
    return (running - slots + 1) * record.service_time_s.value / slots


def _estimate_event_gap_cost_s(
    record: ServerRecord, query: DispatchQuery, limits: DispatchLimits
) -> float:
    """Return the cost of long gaps between a stream's events."""
    if not query.event_gap_target_s:
        return 0.0
    excess = (
        record.event_gaps.value_s / query.event_gap_target_s
        - limits.tolerated_event_gap_share
    )
    return max(0.0, excess) * limits.event_gap_cost_s


def _estimate_memory_cost_s(
    record: ServerRecord,
    query: DispatchQuery,
    *,
    running: int,
    slowdown: float,
    kv_capacity_tokens: int,
    limits: DispatchLimits,
) -> float:
    """Return the cost of a request that may not fit in an engine's memory.

    The engine preempts requests that don't fit, and prefills their prompts
    again.
    """
    if kv_capacity_tokens <= 0:
        return 0.0
    held = record.memory.estimate_held(running)
    if held + record.memory.count_new_tokens(query) <= kv_capacity_tokens:
        return 0.0
    return query.prompt_tokens * slowdown / limits.prefill_tokens_per_s


def _estimate_mixing_cost_s(
    record: ServerRecord,
    query: DispatchQuery,
    generating: Set[str],
    generating_rank: int,
    limits: DispatchLimits,
) -> float:
    """Return the cost of a long prompt among streams, or the reverse."""
    is_long_prompt = is_prefill_heavy(query)
    if not generating or is_long_prompt is not (record.server.server_id in generating):
        return 0.0
    if not is_long_prompt:
        return limits.stream_on_prefill_engine_s
    if query.priority > generating_rank:
        return limits.lower_rank_prompt_on_generating_engine_s
    return limits.prompt_on_generating_engine_s
