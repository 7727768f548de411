"""Runs circuits components on the asyncio event loop, in one thread.

Circuits polls with an epoll descriptor of its own, which can itself be
polled: asyncio watches the descriptor and ticks the root component when it is
readable and after each event that was fired.
"""

import asyncio
from threading import current_thread
from typing import Any

from circuits import BaseComponent
from circuits.core.events import started
from circuits.core.pollers import EPoll


class EventLoopRoot(BaseComponent):
    """The root of the circuits components, ticked by the asyncio loop.

    Example:
        ``root = EventLoopRoot(loop=asyncio.get_running_loop())`` and then
        ``component.register(root)``. Call ``root.close()`` at the end.
    """

    channel = "eventloop"

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self._loop = loop
        self._ticking = False
        self._tick_scheduled = False
        self._poller = EPoll().register(self)
        self._running = True
        self._executing_thread = current_thread()
        self._descriptor = self._poller._poller.fileno()
        loop.add_reader(self._descriptor, self._run_tick)
        self.fire(started(self))

    @property
    def has_pending_events(self) -> bool:
        """Whether events, such as bytes read, are not handled yet."""
        return len(self._queue) > 0

    def close(self) -> None:
        """Stop ticking; the components must have closed their sockets."""
        self._loop.remove_reader(self._descriptor)
        self._running = False
        self._poller._poller.close()

    def _fire(self, event: Any, channel: Any, priority: int = 0) -> None:
        super()._fire(event, channel, priority)
        if not self._ticking:
            self._schedule_tick()

    def _schedule_tick(self) -> None:
        if not self._tick_scheduled:
            self._tick_scheduled = True
            self._loop.call_soon(self._run_tick)

    def _run_tick(self) -> None:
        self._tick_scheduled = False
        if not self._running:
            return
        self._ticking = True
        try:
            self.tick(0)
        finally:
            self._ticking = False
        if len(self._queue) or self._tasks:
            self._schedule_tick()
