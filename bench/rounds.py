"""Prints a table of journal entries: score, violations and losses by day.

Example:
    ``python -m bench.rounds journal/20261204T0035*.json``
"""

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

#: Losses below this fraction of the full score are left out.
MIN_REPORTED_LOSS = 0.003


@dataclass(frozen=True, kw_only=True)
class DayResult:
    """The result of one day of a journal entry."""

    site: str
    name: str
    score: float
    #: Violated rules with their counts, and a fault that made the day void.
    violations: str
    #: Causes of lost score, largest first, as fractions of the full score.
    losses: tuple[tuple[str, float], ...]


def read_days(entry: Mapping[str, Any]) -> list[DayResult]:
    """Return the days of a journal entry; an aborted run has none."""
    return [_read_day(str(entry["site"]), day) for day in entry.get("days", [])]


def format_table(days: Iterable[DayResult]) -> str:
    """Return the days as a Markdown table."""
    lines = ["| site | day | worth | broken | lost most by |", "|---|---|---|---|---|"]
    for day in days:
        losses = ", ".join(f"{name} {share:.3f}" for name, share in day.losses[:4])
        violations = day.violations or "none"
        lines.append(
            f"| {day.site} | {day.name} | {day.score:.3f} | {violations} | {losses} |"
        )
    return "\n".join(lines)


def main(paths: Sequence[str]) -> None:
    """Print the table of the given journal entries."""
    days = []
    for path in paths:
        days += read_days(json.loads(Path(path).read_text()))
    print(format_table(days))


def _read_day(site: str, day: Mapping[str, Any]) -> DayResult:
    losses = [
        (f"{name} not served in time", weight * (1.0 - served))
        for name, weight, served in day["parts"]
    ]
    losses += [(name, price) for name, _, price in day["prices"]]
    rules = [f"{rule} {count}" for rule, count in day["rules"].items()]
    if day.get("fault"):
        rules.append(str(day["fault"]))
    return DayResult(
        site=site,
        name=day["name"],
        score=day["G"],
        violations=", ".join(rules),
        losses=tuple(
            sorted(
                (loss for loss in losses if loss[1] >= MIN_REPORTED_LOSS),
                key=lambda loss: -loss[1],
            )
        ),
    )


if __name__ == "__main__":
    main(sys.argv[1:])
