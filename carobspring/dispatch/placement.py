"""What a request would cost at a backend server, in seconds.

Answers long prompts beside live streams: prompts with a long shared start go
to one home server that has read it, away from there only when it is busy, and
live streams go where events come without long pauses.
"""

from collections.abc import Set
from dataclasses import dataclass

from carobspring.dispatch.homes import find_shared_parts
from carobspring.dispatch.limits import DispatchLimits
from carobspring.dispatch.queries import DispatchQuery
from carobspring.dispatch.servers import ServerRecord
from carobspring.dispatch.specialization import mostly_reads


@dataclass(frozen=True, kw_only=True)
class Estimate:
    """The parts of a cost, for the choice and for the log."""

    wait_s: float
    read_s: float
    far_s: float
    pause_s: float
    #: What the wrong kind of engine weighs.
    mixing_s: float
    unread_tokens: float

    @property
    def cost_s(self) -> float:
        """All parts together."""
        known_s = self.wait_s + self.read_s + self.far_s
        return known_s + self.pause_s + self.mixing_s


def estimate_reading(
    record: ServerRecord,
    query: DispatchQuery,
    *,
    home: ServerRecord | None,
    limits: DispatchLimits,
    now: float,
) -> tuple[float, float]:
    """Return the prompt tokens that a server has to read, and what it costs.

    Away from its home a long start is copied, if the home is known to keep
    it. If not, reading it elsewhere means that the home will read it too, so
    it weighs twice.
    """
    unread = float(record.count_unread_tokens(query, now))
    rate = limits.prefill_tokens_per_s
    if home is None:
        return unread, unread / rate
    shared = sum(tokens for _, tokens in find_shared_parts(query))
    if record is home:
        kept = shared * limits.home_kept_share
        unread = min(unread, max(0.0, query.prompt_tokens - kept))
        return unread, unread / rate
    missing = unread - (query.prompt_tokens - shared)
    if shared < limits.global_home_tokens or missing <= 0:
        return unread, unread / rate
    if home.keeps_shared(query, now):
        unread -= missing
        return unread, unread / rate + limits.copy_cost_s
    return unread, (unread + missing) / rate


def estimate_cost(
    record: ServerRecord,
    query: DispatchQuery,
    *,
    zone: str,
    home: ServerRecord | None,
    generating: Set[str],
    generating_rank: int,
    limits: DispatchLimits,
    now: float,
) -> Estimate:
    """Return what a request would cost at a server.

    ``generating`` names the engines kept for requests that mostly generate,
    and ``generating_rank`` is the rank of those.
    """
    running = record.estimate_running(now)
    far_s = 0.0
    if record.server.zone != zone:
        far_s = limits.far_delay_s + limits.far_kilobyte_s * query.body_bytes / 1000
    if not record.is_engine:
        slots = max(1, record.server.slots)
        work_s = record.work_s.value or limits.plain_work_s
        wait_s = max(0, running - slots + 1) * work_s / slots
        wait_s += running * work_s * 0.05 / slots
        wait_s += record.estimate_silence_s(now)
        return Estimate(
            wait_s=wait_s,
            read_s=0.0,
            far_s=far_s,
            pause_s=0.0,
            mixing_s=0.0,
            unread_tokens=0.0,
        )
    unread, read_s = estimate_reading(record, query, home=home, limits=limits, now=now)
    told_s = record.estimate_backlog_s(query.priority, now)
    if told_s is None or not mostly_reads(query):
        own_s = record.count_backlog_tokens() / limits.prefill_tokens_per_s
        told_s = max(own_s, record.estimate_told_wait_s(now))
    wait_s = told_s
    wait_s += record.estimate_silence_s(now)
    wait_s += running * limits.sharing_cost_s
    return Estimate(
        wait_s=wait_s,
        read_s=read_s,
        far_s=far_s,
        pause_s=_weigh_pauses(record, query, limits),
        mixing_s=_weigh_mixing(record, query, generating, generating_rank, limits),
        unread_tokens=unread,
    )


def _weigh_pauses(
    record: ServerRecord, query: DispatchQuery, limits: DispatchLimits
) -> float:
    """Return the cost of a stream whose events would come with long pauses."""
    if not query.pause_target_s:
        return 0.0
    strain = record.pauses.value_s / query.pause_target_s - limits.pause_share
    return max(0.0, strain) * limits.pause_cost_s


def _weigh_mixing(
    record: ServerRecord,
    query: DispatchQuery,
    generating: Set[str],
    generating_rank: int,
    limits: DispatchLimits,
) -> float:
    """Return the cost of a long prompt among streams, or the reverse."""
    reads = mostly_reads(query)
    if not generating or reads is not (record.server.server_id in generating):
        return 0.0
    if not reads:
        return limits.stream_among_prompts_s
    if query.priority > generating_rank:
        return limits.lower_among_streams_s
    return limits.prompt_among_streams_s
