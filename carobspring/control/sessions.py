"""What one stream has been told, and what to tell it next."""

from collections.abc import Callable
from dataclasses import dataclass

from carobspring.control.state import ControlState
from carobspring.domain import Settings
from carobspring.protocol import (
    AgentReport,
    AgentUpdate,
    EntryReport,
    RoutingConfiguration,
    Strike,
    ViewUpdate,
)


@dataclass(frozen=True, kw_only=True)
class SharedStateDelta:
    """Settings and strikes that a stream has not been told yet."""

    settings: Settings | None
    strikes: tuple[Strike, ...]
    released: tuple[Strike, ...]


class SharedStateCursor:
    """Finds what is new in settings and strikes for one stream."""

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._revision = -1
        self._strikes: tuple[Strike, ...] = ()
        self._changes = -1

    def take_delta(self) -> SharedStateDelta:
        """Return what is new since the last call."""
        settings = self._state.machine.settings.settings
        strike_table = self._state.machine.strikes
        newer = settings.revision > self._revision
        self._revision = max(self._revision, settings.revision)
        added: tuple[Strike, ...] = ()
        released: tuple[Strike, ...] = ()
        if strike_table.change_count != self._changes:
            strikes = strike_table.list_strikes()
            before, after = set(self._strikes), set(strikes)
            added = tuple(strike for strike in strikes if strike not in before)
            released = tuple(s for s in self._strikes if s not in after)
            self._strikes, self._changes = strikes, strike_table.change_count
        return SharedStateDelta(
            settings=settings if newer else None, strikes=added, released=released
        )


class AgentSession:
    """One agent's stream: its reports in, orders out."""

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._cursor = SharedStateCursor(state=state)
        self._minimum_boot = 0
        self._server_id = ""
        self._boot = 0

    def handle_report(self, report: AgentReport) -> None:
        """Take a report over into the table."""
        state = self._state
        if report.server is None:
            return
        self._server_id = report.server.server_id
        self._boot = report.server.boot
        was_own = state.members.is_local(self._server_id)
        answer = state.members.apply_report(report, state.clock.read_monotonic())
        if answer.minimum_boot != self._minimum_boot:
            self._minimum_boot = answer.minimum_boot
            state.agent_notifier.notify_all()
        # Peers must also hear that an agent came over, before they, who lost
        # its stream, take it for gone.
        came_over = not was_own and answer.accepted
        if state.notify_member_changes() or came_over:
            state.local_change_count += 1

    def build_order(self) -> AgentUpdate:
        """Return the next order; an empty one is a heartbeat."""
        news = self._cursor.take_delta()
        return AgentUpdate(
            settings=news.settings,
            minimum_boot=self._minimum_boot,
            strikes=news.strikes,
            released=news.released,
            drain=self._server_id in self._state.machine.drained,
        )

    def close(self) -> None:
        """Note that the stream ended, planned or not."""
        if self._server_id:
            now = self._state.clock.read_monotonic()
            self._state.members.shorten_lease(self._server_id, self._boot, now)


class EntrySession:
    """One entry's stream: its reports in, the view and its deltas out."""

    def __init__(
        self, *, state: ControlState, is_confirmed: Callable[[], bool] = lambda: True
    ) -> None:
        self._state = state
        self._is_confirmed = is_confirmed
        self._cursor = SharedStateCursor(state=state)
        self._view: int | None = None
        self._routing = 0
        self._replicas: tuple[str, ...] = ()

    def handle_report(self, report: EntryReport) -> None:
        """Take a report over into the table of entries."""
        self._state.entries.apply_report(report, self._state.clock.read_monotonic())

    def build_update(self) -> ViewUpdate:
        """Return what changed; an empty update is a heartbeat."""
        delta = self._state.members.compute_delta(self._view)
        news = self._cursor.take_delta()
        self._view = delta.view
        return ViewUpdate(
            view=delta.view,
            complete=delta.complete,
            settings=news.settings,
            servers=delta.servers,
            loads=delta.loads or None,
            removed=delta.removed,
            strikes=news.strikes,
            released=news.released,
            routing=self._take_routing(),
            replicas=self._take_replicas(),
            confirmed=self._is_confirmed(),
            entry_count=len(self._state.entries.entries),
            generating=self._state.entries.sum_generating_demand() or None,
        )

    def _take_routing(self) -> RoutingConfiguration | None:
        content = self._state.find_routing()
        if content.version <= self._routing:
            return None
        self._routing = content.version
        return content

    def _take_replicas(self) -> tuple[str, ...]:
        replicas = self._state.replicas
        if replicas == self._replicas:
            return ()
        self._replicas = replicas
        return replicas
