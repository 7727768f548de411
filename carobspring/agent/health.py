"""Health probes of the backend server."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from carobspring.adapters.tasks import start_service_task
from carobspring.ports import Backend, Clock

PROBE_TIMEOUT_S = 2.0
PROBE_INTERVAL_S = 2.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0

logger = logging.getLogger(__name__)


class HealthProbe:
    """Probes the backend server, with backoff while it fails.

    One failed probe makes a server that doesn't listen unhealthy. A server
    that listens but doesn't respond to the probe stays healthy if running
    calls received bytes since the probe was sent.
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
        self._backoff_s = INITIAL_BACKOFF_S
        self._probe_now = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.healthy = True
        #: When the server became unhealthy; None while it is healthy.
        self.failing_since: float | None = None

    async def start(self) -> None:
        """Probe once, then continue in the background."""
        await self._probe()
        self._task = start_service_task(self._run, name="probe backend server")

    def mark_failed(self) -> None:
        """Mark the server unhealthy after it accepted no connection.

        It is probed again immediately, then with the shortest backoff.
        """
        self._set_healthy(healthy=False)
        self._backoff_s = INITIAL_BACKOFF_S
        self._probe_now.set()

    async def close(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        while True:
            self._probe_now.clear()
            delay_s = PROBE_INTERVAL_S if self.healthy else self._backoff_s
            if not self.healthy:
                self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_s):
                    await self._probe_now.wait()
            await self._probe()

    async def _probe(self) -> None:
        sent_at = self._clock.read_monotonic()
        responded = await self._backend.probe(PROBE_TIMEOUT_S)
        if not responded and self._read_last_byte_at() >= sent_at:
            responded = await self._backend.is_listening()
        if responded:
            self._backoff_s = INITIAL_BACKOFF_S
        self._set_healthy(healthy=responded)

    def _set_healthy(self, *, healthy: bool) -> None:
        if healthy == self.healthy:
            return
        self.healthy = healthy
        self.failing_since = None if healthy else self._clock.read_monotonic()
        logger.warning("the backend server is %s", "well" if healthy else "failing")
        self._on_change()
