"""Runs the steps of a planned stop, one after the other."""

import asyncio
import inspect
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

#: Seconds that a cancelled task has to end.
TASK_END_TIMEOUT_S: Final = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class StopStep:
    """One step of a planned stop.

    Example:
        ``StopStep(name="drain", run=self._drain)``
    """

    name: str
    #: May be a coroutine function or a plain function.
    run: Callable[[], Awaitable[Any] | None]


async def run_steps(steps: Iterable[StopStep]) -> None:
    """Run every step in order, whatever fails before it.

    A step that fails is logged. Those behind it may wait for open requests,
    which would be cut if the stop ended there.
    """
    for step in steps:
        try:
            result = step.run()
            if inspect.isawaitable(result):
                await result
        except Exception as error:
            extra = {"step": step.name, "reason": repr(error)}
            logger.exception("step of the stop failed", extra=extra)


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until they end, whatever they raise."""
    cancelled = set(tasks)
    for task in cancelled:
        task.cancel()
    if not cancelled:
        return
    _, running = await asyncio.wait(cancelled, timeout=TASK_END_TIMEOUT_S)
    for task in running:
        logger.error("task did not end", extra={"task": task.get_name()})
