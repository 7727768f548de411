"""Sharing of the event loop among the parsers of responses.

A response of many tiny parts takes a step of Python for each part. A parser
that took all steps of a read at once would hold the loop, and with it every
other caller of the process, for as long as the server keeps sending.
"""

import asyncio
from collections import deque
from typing import Final
from weakref import WeakKeyDictionary

#: Steps that a parser takes after each wait for data without asking. Ordinary
#: responses need no more.
FREE_STEPS: Final = 16
#: Steps of one slice.
SLICE_STEPS: Final = 64


class LoopSlices:
    """Gives one waiting parser a slice in each turn of an event loop.

    The length of a turn doesn't grow with the number of parsers that wait.
    Parsers get their slices in the order in which they asked.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        #: Slices given so far.
        self.given_count = 0

    async def wait(self) -> None:
        """Wait for the next slice."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._waiting.append(future)
        if len(self._waiting) == 1:
            loop.call_soon(self._give)
        await future

    def _give(self) -> None:
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                self.given_count += 1
                future.set_result(None)
                break
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._give)


_slices: WeakKeyDictionary[asyncio.AbstractEventLoop, LoopSlices] = WeakKeyDictionary()


def get_slices() -> LoopSlices:
    """Return the slices of the running event loop."""
    return _slices.setdefault(asyncio.get_running_loop(), LoopSlices())


class PacedSteps:
    """Counts the steps of one parser and waits for slices in time.

    Example:
        ``await steps.take()`` before each step, and ``steps.rest()`` once the
        parser has waited for data.
    """

    def __init__(self) -> None:
        self._steps_left = FREE_STEPS

    def rest(self) -> None:
        """Allow the free steps again; the loop has run meanwhile."""
        self._steps_left = max(self._steps_left, FREE_STEPS)

    async def take(self) -> None:
        """Take one step, in a later turn of the loop if need be."""
        if self._steps_left <= 0:
            await get_slices().wait()
            self._steps_left = SLICE_STEPS
        self._steps_left -= 1
