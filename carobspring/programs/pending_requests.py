"""Pending commands, reads and membership changes of a replica."""

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
    """Futures of requests, by token and by the index that completes them."""

    def __init__(self) -> None:
        self._last_token = 0
        self._requests: dict[int, asyncio.Future[bytes]] = {}
        self._proposals: dict[int, tuple[int, asyncio.Future[bytes]]] = {}
        self._reads: list[tuple[int, asyncio.Future[bytes]]] = []

    def register(self) -> int:
        """Add a request and return the token by which to wait for it."""
        self._last_token += 1
        self._requests[self._last_token] = asyncio.get_running_loop().create_future()
        return self._last_token

    async def wait(self, token: int, timeout_s: float) -> bytes:
        """Wait until a request is complete and return its result."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._requests[token]
        except TimeoutError:
            raise QuorumLostError(waited_s=timeout_s) from None
        finally:
            self._requests.pop(token, None)

    def handle_outcome(
        self,
        outcome: Accepted | Refused | ReadConfirmed,
        *,
        applied_index: int,
        leader: str,
    ) -> None:
        """Process the consensus node's outcome of a request."""
        future = self._requests.get(outcome.token)
        if future is None or future.done():
            return
        if isinstance(outcome, Accepted):
            self._proposals[outcome.index] = (outcome.term, future)
        elif isinstance(outcome, ReadConfirmed):
            self._reads.append((outcome.index, future))
            self.release_reads(applied_index)
        elif outcome.reason:
            future.set_exception(MembershipChangeRefusedError(reason=outcome.reason))
        else:
            future.set_exception(NotLeaderError(leader=leader))

    def handle_applied(
        self, *, index: int, term: int, result: bytes, leader: str
    ) -> None:
        """Complete the request whose entry was expected at an index."""
        proposed_term, future = self._proposals.pop(index, (0, None))
        if future is None or future.done():
            return
        if proposed_term == term:
            future.set_result(result)
        else:
            future.set_exception(NotLeaderError(leader=leader))

    def release_reads(self, applied_index: int) -> None:
        """Complete the reads whose index has been applied."""
        for index, future in self._reads:
            if index <= applied_index and not future.done():
                future.set_result(b"")
        self._reads = [read for read in self._reads if read[0] > applied_index]

    def fail_all(self) -> None:
        """Fail all requests, because their outcome is unknown."""
        futures: list[asyncio.Future[Any]] = list(self._requests.values())
        futures.extend(future for _, future in self._proposals.values())
        futures.extend(future for _, future in self._reads)
        self._proposals.clear()
        self._reads.clear()
        for future in futures:
            if not future.done():
                future.set_exception(QuorumLostError(waited_s=0.0))
