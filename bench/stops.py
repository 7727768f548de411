"""Signals of planned stops, in series as platforms and operators send them."""

import asyncio
import signal
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from standins.deployment import RunningProgram

HANGUP: Final = signal.SIGHUP
INTERRUPT: Final = signal.SIGINT
TERMINATE: Final = signal.SIGTERM

#: Signals that follow one another, by the name of the series.
STOP_SERIES: Final[Mapping[str, Sequence[signal.Signals]]] = {
    "once": (TERMINATE,),
    "repeated": (TERMINATE, TERMINATE, TERMINATE, TERMINATE),
    "terminal and supervisor": (INTERRUPT, TERMINATE, INTERRUPT),
    "reload before": (HANGUP, HANGUP, TERMINATE),
    "reloads between": (HANGUP, TERMINATE, HANGUP, TERMINATE, HANGUP),
    "reload behind": (TERMINATE, HANGUP, HANGUP),
    "suspended": (signal.SIGSTOP, TERMINATE, TERMINATE, signal.SIGCONT, TERMINATE),
}
STOP_SIGNALS: Final = (INTERRUPT, TERMINATE)


async def send_stop_series(
    programs: Sequence[RunningProgram],
    numbers: Sequence[signal.Signals],
    draw_delay: Callable[[], float],
) -> float:
    """Send each signal to all programs, with a delay behind each.

    Returns the monotonic time of the first stop signal.
    """
    stopped_at: float | None = None
    for number in numbers:
        if number in STOP_SIGNALS and stopped_at is None:
            stopped_at = time.monotonic()
        for program in programs:
            program.send_signal(number)
        await asyncio.sleep(draw_delay())
    if stopped_at is None:
        raise ValueError("the series has no stop signal")
    return stopped_at
