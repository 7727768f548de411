"""Shows what the bench's journal says of rounds: worth by day, and losses.

Example:
    ``python -m bench.rounds journal/20261204T0035*.json``
"""

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

#: Losses below this part of what was owed are left out.
MIN_REPORTED_LOSS = 0.003


@dataclass(frozen=True, kw_only=True)
class DayResult:
    """One day as the journal tells it."""

    site: str
    name: str
    score: float
    #: Rules that were broken, by how often, and what else made it void.
    violations: str
    #: What was lost, the largest first, as parts of what was owed.
    losses: tuple[tuple[str, float], ...]


def read_days(entry: Mapping[str, Any]) -> list[DayResult]:
    """Return the days of a journal entry; one that was ended has none."""
    return [_read_day(str(entry["site"]), day) for day in entry.get("days", [])]


def format_table(days: Iterable[DayResult]) -> str:
    """Return a table in Markdown."""
    lines = ["| site | day | worth | broken | lost most by |", "|---|---|---|---|---|"]
    for day in days:
        losses = ", ".join(f"{name} {lost:.3f}" for name, lost in day.losses[:4])
        violations = day.violations or "none"
        lines.append(
            f"| {day.site} | {day.name} | {day.score:.3f} | {violations} | {losses} |"
        )
    return "\n".join(lines)


def main(paths: Sequence[str]) -> None:
    """Print the table of the journal entries that are named."""
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
