"""Draws the load bench's figures; needs the extra ``plot``."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

from bench.report import RunResult

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402


def draw_attainment(results: Sequence[RunResult], path: Path) -> None:
    """Draw attainment by class, one group of bars for each run."""
    figure, axes = pyplot.subplots(figsize=(10, 1 + 0.4 * len(results)))
    labels, values = [], []
    for run in results:
        for item in run.classes:
            title = f"{run.profile} x{run.factor} {run.system} {run.fault}"
            labels.append(f"{title}: {item.name}")
            values.append(100 * item.attainment)
    axes.barh(labels, values)
    axes.set_xlabel("calls within target, percent")
    axes.set_xlim(0, 100)
    figure.tight_layout()
    figure.savefig(path)
