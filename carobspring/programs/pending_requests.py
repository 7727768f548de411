"""Callers that wait for a command, a read or a change of the members."""

import asyncio
from typing import Any

from carobspring.consensus import (
    Accepted,
    MembershipChangeRefusedError,
    ReadConfirmed,
    Refused,
)
from carobspring.ports import NotLeaderError, QuorumLostError


class PendingRequests:
    """Futures by token, then by the index that settles them."""

    def __init__(self) -> None:
        self._token = 0
        self._asked: dict[int, asyncio.Future[bytes]] = {}
        self._proposed: dict[int, tuple[int, asyncio.Future[bytes]]] = {}
        self._reads: list[tuple[int, asyncio.Future[bytes]]] = []

    def register(self) -> int:
        """Return a token whose future ``wait`` gives."""
        self._token += 1
        self._asked[self._token] = asyncio.get_running_loop().create_future()
        return self._token

    async def wait(self, token: int, seconds: float) -> bytes:
        """Wait until the token is settled; return what applying it gave."""
        try:
            async with asyncio.timeout(seconds):
                return await self._asked[token]
        except TimeoutError:
            raise QuorumLostError(waited_s=seconds) from None
        finally:
            self._asked.pop(token, None)

    def handle_outcome(
        self, outcome: Accepted | Refused | ReadConfirmed, *, applied: int, leader: str
    ) -> None:
        """Take the core's answer to a token."""
        future = self._asked.get(outcome.token)
        if future is None or future.done():
            return
        if isinstance(outcome, Accepted):
            self._proposed[outcome.index] = (outcome.term, future)
        elif isinstance(outcome, ReadConfirmed):
            self._reads.append((outcome.index, future))
            self.release_reads(applied)
        elif outcome.reason:
            future.set_exception(MembershipChangeRefusedError(reason=outcome.reason))
        else:
            future.set_exception(NotLeaderError(leader=leader))

    def handle_applied(
        self, *, index: int, term: int, result: bytes, leader: str
    ) -> None:
        """Give the result of the entry that was committed at an index."""
        proposed_term, future = self._proposed.pop(index, (0, None))
        if future is None or future.done():
            return
        if proposed_term == term:
            future.set_result(result)
        else:
            future.set_exception(NotLeaderError(leader=leader))

    def release_reads(self, applied: int) -> None:
        """Let the reads go on whose index is applied."""
        for index, future in self._reads:
            if index <= applied and not future.done():
                future.set_result(b"")
        self._reads = [read for read in self._reads if read[0] > applied]

    def fail_all(self) -> None:
        """Tell all callers that the outcome is not known."""
        futures: list[asyncio.Future[Any]] = list(self._asked.values())
        futures.extend(future for _, future in self._proposed.values())
        futures.extend(future for _, future in self._reads)
        self._proposed.clear()
        self._reads.clear()
        for future in futures:
            if not future.done():
                future.set_exception(QuorumLostError(waited_s=0.0))
