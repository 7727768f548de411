"""Probes of the backend server, by which an agent calls itself unhealthy."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from carobspring.ports import Backend, Clock

PROBE_TIMEOUT_S = 2.0
PROBE_INTERVAL_S = 2.0
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0

logger = logging.getLogger(__name__)


class HealthProbe:
    """Probes with backoff while the backend server fails.

    One failed probe is enough when it doesn't listen; when it listens and
    doesn't answer, bytes of running calls count as a sign of life.
    """

    def __init__(
        self,
        *,
        backend: Backend,
        clock: Clock,
        read_last_byte_at: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._backend = backend
        self._clock = clock
        self._read_last_byte_at = read_last_byte_at
        self._on_change = on_change
        self._backoff_s = FIRST_BACKOFF_S
        self._hurry = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.healthy = True
        #: When the failing began; None while healthy.
        self.failing_since: float | None = None

    async def start(self) -> None:
        """Probe once and go on probing."""
        await self._probe()
        self._task = asyncio.create_task(self._run())

    def mark_failed(self) -> None:
        """Take in that the backend server doesn't accept connections."""
        self._set(healthy=False)
        self._backoff_s = FIRST_BACKOFF_S
        self._hurry.set()

    async def close(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        while True:
            self._hurry.clear()
            delay = PROBE_INTERVAL_S if self.healthy else self._backoff_s
            if not self.healthy:
                self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay):
                    await self._hurry.wait()
            await self._probe()

    async def _probe(self) -> None:
        sent_at = self._clock.read_monotonic()
        answered = await self._backend.probe(PROBE_TIMEOUT_S)
        if not answered and self._read_last_byte_at() >= sent_at:
            answered = await self._backend.is_listening()
        if answered:
            self._backoff_s = FIRST_BACKOFF_S
        self._set(healthy=answered)

    def _set(self, *, healthy: bool) -> None:
        if healthy == self.healthy:
            return
        self.healthy = healthy
        self.failing_since = None if healthy else self._clock.read_monotonic()
        logger.warning("the backend server is %s", "well" if healthy else "failing")
        self._on_change()
