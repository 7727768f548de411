"""State of an agent: identity, settings, and whether it is draining."""

import asyncio
from collections.abc import Callable

from carobspring.domain import LatencyTarget, ServiceKind, Settings

LOWEST_PRIORITY = 0


class AgentState:
    """The identity of an agent and the settings in force.

    Settings are only ever replaced by a newer revision. ``request_report`` is
    called when the agent should report to control before the next regular
    report.
    """

    def __init__(
        self,
        *,
        server_id: str,
        boot: int,
        kind: ServiceKind,
        request_report: Callable[[], None],
    ) -> None:
        self.server_id = server_id
        self.boot = boot
        self.kind = kind
        self.request_report = request_report
        #: True once the agent has been told to stop.
        self.leaving = False
        #: True while the backend server is drained by order of an operator.
        self.drained = False
        self.settings = Settings()
        #: The highest settings revision known to exist.
        self.highest_known_revision = 0
        self._changed = asyncio.Event()

    @property
    def draining(self) -> bool:
        """Whether the agent refuses new calls."""
        return self.leaving or self.drained

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings if the given ones are newer."""
        self.record_revision(settings.revision)
        if settings.revision > self.settings.revision:
            self.settings = settings
            self._changed.set()
            self._changed = asyncio.Event()

    def record_revision(self, revision: int) -> None:
        """Record that a settings revision exists."""
        self.highest_known_revision = max(self.highest_known_revision, revision)

    async def wait_for_settings(self, revision: int, wait_s: float) -> bool:
        """Wait for a settings revision or a newer one.

        Return whether it arrived in time.
        """
        try:
            async with asyncio.timeout(wait_s):
                while self.settings.revision < revision:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def find_priority(self, service_class: str) -> int:
        """Return the priority of a class, the lowest for an unknown one."""
        known = self.settings.classes.get(service_class)
        return known.priority if known else LOWEST_PRIORITY

    def find_target(self, service_class: str) -> LatencyTarget:
        """Return the target of a class, or no target for an unknown one."""
        known = self.settings.classes.get(service_class)
        return known.target if known else LatencyTarget()
