"""Confirmation by control replicas that an entry's list is up to date."""

import asyncio
from collections.abc import Callable
from typing import Final

#: Seconds between two questions of an entry for each other entry, so that
#: hundreds of entries don't ask replicas for more than they can answer.
INTERVAL_PER_ENTRY_S: Final = 0.0005


class ListConfirmations:
    """Asks the followed replicas, with one question for all who wait.

    What an entry has heard may be seconds old although it has contact: it, a
    replica or a link stood still. An update that a replica sends after it was
    asked holds all that the replica listed before the question.

    Example:
        ``await confirmations.wait(since=now, until=now + 0.1)`` by whoever
        needs a confirmation, ``confirmations.take_question()`` for a report
        and ``confirmations.handle_answer(asked_at)`` for its answer.
    """

    def __init__(
        self,
        *,
        request_report: Callable[[], None],
        read_clock: Callable[[], float],
        count_entries: Callable[[], int],
    ) -> None:
        self._request_report = request_report
        self._read_clock = read_clock
        self._count_entries = count_entries
        self._waiting_count = 0
        self._asked_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._has_answer = asyncio.Event()

    def take_question(self) -> float:
        """Return the time at which a report asks, or zero if it doesn't."""
        return self._read_clock() if self._waiting_count else 0.0

    def handle_answer(self, asked_at: float) -> None:
        """Handle an answer to the question of a time."""
        if asked_at > self._confirmed_at:
            self._confirmed_at = asked_at
            self._has_answer.set()

    async def wait(self, *, since: float, until: float) -> None:
        """Wait for the answer to a question asked ``since``, or ``until``."""
        self._waiting_count += 1
        try:
            while self._confirmed_at < since:
                now = self._read_clock()
                if now >= until:
                    return
                ends_at = until
                if self._asked_at < since:
                    ends_at = min(until, self._ask_if_due(now))
                await self._await_answer(ends_at - now)
        finally:
            self._waiting_count -= 1

    def _ask_if_due(self, now: float) -> float:
        """Ask unless it is too early; return until when to wait."""
        due_at = self._asked_at + INTERVAL_PER_ENTRY_S * self._count_entries()
        if now < due_at:
            return due_at
        self._asked_at = now
        self._request_report()
        return float("inf")

    async def _await_answer(self, timeout_s: float) -> None:
        self._has_answer.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._has_answer.wait()
        except TimeoutError:
            return
