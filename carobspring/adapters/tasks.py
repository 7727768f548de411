"""Background tasks, none of which ends unseen.

asyncio reports a task's exception only to whoever awaits the task. A task
that nobody awaits would end silently, and its work would stop for good while
the process goes on.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

#: Seconds before a service task that ended is started again. The delay
#: doubles with each end that follows within the longest delay.
FIRST_RESTART_DELAY_S: Final = 0.2
MAX_RESTART_DELAY_S: Final = 5.0

T = TypeVar("T")

logger = logging.getLogger(__name__)

#: asyncio itself keeps only weak references to tasks.
_tasks: set[asyncio.Task[Any]] = set()


def start_task(coroutine: Coroutine[Any, Any, T], *, name: str) -> asyncio.Task[T]:
    """Start a task that ends by itself, and log the error that ends it.

    Example:
        ``start_task(self._cancel(server, call_id), name="cancel call")``
    """
    task = asyncio.get_running_loop().create_task(coroutine, name=name)
    _tasks.add(task)
    task.add_done_callback(_handle_end)
    return task


def start_service_task(
    run: Callable[[], Coroutine[Any, Any, None]], *, name: str
) -> asyncio.Task[None]:
    """Start a task that must run until it is cancelled.

    ``run`` is called again, after a delay, whenever it returns or raises.

    Example:
        ``start_service_task(self._control_stream.run, name="control stream")``
    """
    return start_task(_run_repeatedly(run, name), name=name)


async def _run_repeatedly(
    run: Callable[[], Coroutine[Any, Any, None]], name: str
) -> None:
    loop = asyncio.get_running_loop()
    delay_s = FIRST_RESTART_DELAY_S
    while True:
        started_at = loop.time()
        try:
            await run()
            logger.error("service task ended", extra={"task": name})
        except Exception as error:
            extra = {"task": name, "reason": repr(error)}
            logger.exception("service task failed", extra=extra)
        if loop.time() - started_at > MAX_RESTART_DELAY_S:
            delay_s = FIRST_RESTART_DELAY_S
        await asyncio.sleep(delay_s)
        delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)


def _handle_end(task: asyncio.Task[Any]) -> None:
    _tasks.discard(task)
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        extra = {"task": task.get_name(), "reason": repr(error)}
        logger.error("background task failed", extra=extra, exc_info=error)
