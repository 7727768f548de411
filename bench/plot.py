"""Draws charts of load benchmark results; needs the extra ``plot``."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

from bench.report import RunResult

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402


def draw_attainment(results: Sequence[RunResult], path: Path) -> None:
    """Draw the attainment of each class, grouped by run."""
    figure, axes = pyplot.subplots(figsize=(10, 1 + 0.4 * len(results)))
    labels, values = [], []
    for run in results:
        for class_result in run.classes:
            title = f"{run.profile} x{run.factor} {run.system} {run.fault}"
            labels.append(f"{title}: {class_result.name}")
            values.append(100 * class_result.attainment)
    axes.barh(labels, values)
    axes.set_xlabel("calls within target, percent")
    axes.set_xlim(0, 100)
    figure.tight_layout()
    figure.savefig(path)
