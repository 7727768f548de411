"""Computes the metrics of a run from the records of its calls."""

import collections
import os
from collections.abc import Sequence
from dataclasses import dataclass

from bench.profiles import PlannedCall, Profile
from bench.replay import CallRecord
from standins.caller import Verdict

SECONDS_PER_MINUTE = 60.0


@dataclass(frozen=True, kw_only=True)
class ClassResult:
    """The results of one service class."""

    name: str
    priority: int
    sent: int
    #: Fraction of the calls sent that met the latency target.
    attainment: float
    answered: int
    refused: int
    refused_with_retry_after: int
    #: Retries after the Retry-After time: accepted, and refused again.
    returned_taken: int
    returned_refused: int
    failed: int
    unanswered: int
    wrong: int
    #: Time to the first chunk of complete responses.
    first_p50_ms: float
    first_p99_ms: float
    longest_wait_s: float
    #: Fewest complete responses in any full minute of the load.
    least_in_a_minute: int
    reasons: dict[str, int]


@dataclass(frozen=True, kw_only=True)
class RunResult:
    """The results of one run of one system."""

    profile: str
    system: str
    factor: float
    fault: str
    seed: int
    duration_s: float
    load_average: float
    #: Useful tokens generated while calls arrived, as a fraction of the
    #: capacity or of the offered tokens, whichever is smaller.
    goodput: float
    #: Tokens of complete responses, and all tokens that were generated.
    useful_tokens: int
    generated_tokens: int
    wasted_share: float
    classes: tuple[ClassResult, ...]


@dataclass(frozen=True, kw_only=True)
class RunParameters:
    """The parameters of one run."""

    profile: Profile
    system: str
    factor: float
    fault: str
    seed: int
    duration_s: float


def summarize_run(
    parameters: RunParameters,
    calls: Sequence[PlannedCall],
    records: Sequence[CallRecord],
    *,
    generated_during: int,
    generated_tokens: int,
    healthy_runners: float,
) -> RunResult:
    """Return the results of a run.

    ``generated_during`` counts the tokens generated while calls arrived. The
    share of them that is useful is assumed to be that of the whole run.
    """
    useful_tokens = sum(record.call.tokens for record in records if record.is_complete)
    wasted_share = max(1 - useful_tokens / max(generated_tokens, 1), 0.0)
    profile = parameters.profile
    capacity_tokens = (
        profile.capacity * healthy_runners / profile.runners * parameters.duration_s
    )
    offered = sum(call.tokens for call in calls)
    classes = tuple(
        summarize_class(load.name, load.service_class.priority, calls, records)
        for load in profile.classes
    )
    return RunResult(
        profile=profile.name,
        system=parameters.system,
        factor=parameters.factor,
        fault=parameters.fault,
        seed=parameters.seed,
        duration_s=parameters.duration_s,
        load_average=os.getloadavg()[0],
        goodput=generated_during * (1 - wasted_share) / min(capacity_tokens, offered),
        useful_tokens=useful_tokens,
        generated_tokens=generated_tokens,
        wasted_share=wasted_share,
        classes=classes,
    )


def summarize_class(
    name: str,
    priority: int,
    calls: Sequence[PlannedCall],
    records: Sequence[CallRecord],
) -> ClassResult:
    """Return the results of one class."""
    sent = sum(call.load.name == name for call in calls)
    class_records = [record for record in records if record.call.load.name == name]
    first_attempts = [record for record in class_records if not record.is_retry]
    retries = [record for record in class_records if record.is_retry]
    refused = [record for record in first_attempts if is_refused(record)]
    first_chunk_times_ms = [
        record.first_chunk_ms for record in first_attempts if record.is_complete
    ]
    verdicts = collections.Counter(record.verdict for record in class_records)
    return ClassResult(
        name=name,
        priority=priority,
        sent=sent,
        attainment=sum(record.meets_target for record in first_attempts) / max(sent, 1),
        answered=sum(record.is_complete for record in class_records),
        refused=len(refused),
        refused_with_retry_after=sum(
            bool(record.result and record.result.retry_after_s) for record in refused
        ),
        returned_taken=sum(not is_refused(record) for record in retries),
        returned_refused=sum(is_refused(record) for record in retries),
        failed=verdicts[Verdict.FAILED] + verdicts[Verdict.TRUNCATED],
        unanswered=verdicts[None],
        wrong=verdicts[Verdict.INCORRECT],
        first_p50_ms=compute_quantile(first_chunk_times_ms, 0.5),
        first_p99_ms=compute_quantile(first_chunk_times_ms, 0.99),
        longest_wait_s=max(
            (record.response_time_s for record in class_records), default=0.0
        ),
        least_in_a_minute=find_fewest_per_minute(class_records),
        reasons=dict(collections.Counter(r.reason for r in class_records if r.reason)),
    )


def compute_quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile of the values, or 0 without values."""
    ordered = sorted(values)
    return ordered[int(fraction * (len(ordered) - 1))] if ordered else 0.0


def is_refused(record: CallRecord) -> bool:
    """Return whether the system refused the call."""
    return record.verdict is Verdict.REFUSED


def find_fewest_per_minute(records: Sequence[CallRecord]) -> int:
    """Return the fewest complete responses in a full minute of the load."""
    completed = [record for record in records if record.is_complete]
    last_sent = max((record.sent_s for record in records), default=0.0)
    minutes = max(int(last_sent // SECONDS_PER_MINUTE), 1)
    counts = collections.Counter(
        int(record.ended_s // SECONDS_PER_MINUTE) for record in completed
    )
    return min(counts[minute] for minute in range(minutes))


RUN_LINES = """\
== {run.profile} x{run.factor} {run.system} fault={run.fault} \
seed={run.seed} {run.duration_s:.0f} s
   goodput {run.goodput:.1%} of the runners' capacity, wasted \
{run.wasted_share:.1%}, load average {run.load_average:.1f}
"""
CLASS_LINE = """\
   {item.name:<15} met {item.attainment:.1%} of {item.sent}, answered \
{item.answered}, refused {item.refused} ({item.refused_with_retry_after} with \
Retry-After; retried: accepted {item.returned_taken}, refused \
{item.returned_refused}), failed {item.failed}, unanswered {item.unanswered}, \
wrong {item.wrong}, first chunk p50 {item.first_p50_ms:.0f} p99 \
{item.first_p99_ms:.0f} ms, longest wait {item.longest_wait_s:.1f} s, fewest \
per minute {item.least_in_a_minute} \
{item.reasons}
"""


def format_run(result: RunResult) -> str:
    """Return the results of a run as text."""
    lines = [RUN_LINES.format(run=result)]
    lines += [CLASS_LINE.format(item=item) for item in result.classes]
    return "".join(lines)
