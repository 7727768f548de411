"""What an agent is at present: its boot, settings, and whether it leaves."""

import asyncio
from collections.abc import Callable

from carobspring.domain import LatencyTarget, ServiceKind, Settings

LOWEST_PRIORITY = 0


class AgentState:
    """The identity of an agent and the settings that it goes by.

    Settings are only ever replaced by a newer revision. ``request_report`` is
    called when control should hear from the agent before the next regular
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
        #: True once the agent was told to stop.
        self.leaving = False
        #: True while an operator has the backend server drained.
        self.drained = False
        self.settings = Settings()
        #: The highest revision that was heard of.
        self.revision = 0
        self._changed = asyncio.Event()

    @property
    def draining(self) -> bool:
        """Whether the agent takes no new work."""
        return self.leaving or self.drained

    def update_settings(self, settings: Settings) -> None:
        """Take over newer settings; older ones are passed over."""
        self.observe_revision(settings.revision)
        if settings.revision > self.settings.revision:
            self.settings = settings
            self._changed.set()
            self._changed = asyncio.Event()

    def observe_revision(self, revision: int) -> None:
        """Take in that a revision exists."""
        self.revision = max(self.revision, revision)

    async def wait_for_settings(self, revision: int, wait_s: float) -> bool:
        """Wait for settings of at least a revision; say whether they came."""
        try:
            async with asyncio.timeout(wait_s):
                while self.settings.revision < revision:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def find_priority(self, service_class: str) -> int:
        """Return the priority of a class; an unknown one is in the lowest."""
        known = self.settings.classes.get(service_class)
        return known.priority if known else LOWEST_PRIORITY

    def find_target(self, service_class: str) -> LatencyTarget:
        """Return the target of a class; an unknown one has none."""
        known = self.settings.classes.get(service_class)
        return known.target if known else LatencyTarget()
