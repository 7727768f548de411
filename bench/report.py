"""Turns the records of a run into the figures that the targets name."""

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
    """What one class got."""

    name: str
    priority: int
    sent: int
    attainment: float
    answered: int
    refused: int
    refused_with_retry_after: int
    #: Of those that came back at the time named: taken, and refused again.
    returned_taken: int
    returned_refused: int
    failed: int
    unanswered: int
    wrong: int
    #: Times to the first piece of whole answers, in milliseconds.
    first_p50_ms: float
    first_p99_ms: float
    longest_wait_s: float
    #: Fewest answers in a minute in which the class had calls waiting.
    least_in_a_minute: int
    reasons: dict[str, int]


@dataclass(frozen=True, kw_only=True)
class RunResult:
    """What one run of one system gave."""

    profile: str
    system: str
    factor: float
    fault: str
    seed: int
    duration_s: float
    load_average: float
    #: Useful tokens delivered during the load, of what the runners can do.
    goodput: float
    #: Tokens for whole answers received by the end, and generated in all.
    useful_tokens: int
    generated_tokens: int
    wasted_share: float
    classes: tuple[ClassResult, ...]


@dataclass(frozen=True, kw_only=True)
class RunParameters:
    """What was run."""

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
    """Return the figures of a run.

    ``generated_during`` counts tokens made while calls arrived; its useful
    part is taken to be that of the whole run.
    """
    useful = sum(record.call.tokens for record in records if record.is_complete)
    wasted = max(1 - useful / max(generated_tokens, 1), 0.0)
    profile = parameters.profile
    able = profile.capacity * healthy_runners / profile.runners * parameters.duration_s
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
        goodput=generated_during * (1 - wasted) / min(able, offered),
        useful_tokens=useful,
        generated_tokens=generated_tokens,
        wasted_share=wasted,
        classes=classes,
    )


def summarize_class(
    name: str,
    priority: int,
    calls: Sequence[PlannedCall],
    records: Sequence[CallRecord],
) -> ClassResult:
    """Return the figures of one class."""
    sent = sum(call.load.name == name for call in calls)
    mine = [record for record in records if record.call.load.name == name]
    first = [record for record in mine if not record.is_retry]
    again = [record for record in mine if record.is_retry]
    refused = [record for record in first if is_refused(record)]
    firsts = [record.first_chunk_ms for record in first if record.is_complete]
    verdicts = collections.Counter(record.verdict for record in mine)
    return ClassResult(
        name=name,
        priority=priority,
        sent=sent,
        attainment=sum(record.meets_target for record in first) / max(sent, 1),
        answered=sum(record.is_complete for record in mine),
        refused=len(refused),
        refused_with_retry_after=sum(
            bool(record.answer and record.answer.retry_after_s) for record in refused
        ),
        returned_taken=sum(not is_refused(record) for record in again),
        returned_refused=sum(is_refused(record) for record in again),
        failed=verdicts[Verdict.FAILED] + verdicts[Verdict.TRUNCATED],
        unanswered=verdicts[None],
        wrong=verdicts[Verdict.INCORRECT],
        first_p50_ms=compute_quantile(firsts, 0.5),
        first_p99_ms=compute_quantile(firsts, 0.99),
        longest_wait_s=max((record.response_time_s for record in mine), default=0.0),
        least_in_a_minute=find_fewest_per_minute(mine),
        reasons=dict(collections.Counter(r.reason for r in mine if r.reason)),
    )


def compute_quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which this part of the values lies."""
    ordered = sorted(values)
    return ordered[int(fraction * (len(ordered) - 1))] if ordered else 0.0


def is_refused(record: CallRecord) -> bool:
    """Say whether a call was given up with a final answer."""
    return record.verdict is Verdict.REFUSED


def find_fewest_per_minute(records: Sequence[CallRecord]) -> int:
    """Return the fewest answers in a whole minute of demand."""
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
   goodput {run.goodput:.1%} of what the runners can do, wasted \
{run.wasted_share:.1%}, load average {run.load_average:.1f}
"""
CLASS_LINE = """\
   {item.name:<15} met {item.attainment:.1%} of {item.sent}, answered \
{item.answered}, refused {item.refused} ({item.refused_with_retry_after} told \
when; back then: taken {item.returned_taken}, refused {item.returned_refused}), \
failed {item.failed}, unanswered {item.unanswered}, wrong {item.wrong}, first \
piece p50 {item.first_p50_ms:.0f} p99 {item.first_p99_ms:.0f} ms, longest \
wait {item.longest_wait_s:.1f} s, least a minute {item.least_in_a_minute} \
{item.reasons}
"""


def format_run(result: RunResult) -> str:
    """Return a run's figures as text."""
    lines = [RUN_LINES.format(run=result)]
    lines += [CLASS_LINE.format(item=item) for item in result.classes]
    return "".join(lines)
