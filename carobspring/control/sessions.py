"""What one stream has been told, and what to tell it next."""

from dataclasses import dataclass

from carobspring.control.state import ControlState
from carobspring.domain import Settings
from carobspring.protocol import (
    AgentOrder,
    AgentReport,
    EntryReport,
    Strike,
    ViewUpdate,
)


@dataclass(frozen=True, kw_only=True)
class SharedNews:
    """Settings and strikes that a stream has not been told yet."""

    settings: Settings | None
    strikes: tuple[Strike, ...]
    released: tuple[Strike, ...]


class SharedCursor:
    """Finds what is new in settings and strikes for one stream."""

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._revision = -1
        self._strikes: tuple[Strike, ...] = ()

    def take_news(self) -> SharedNews:
        """Return what is new since the last call."""
        settings = self._state.machine.settings.settings
        strikes = self._state.machine.strikes.list_all()
        news = SharedNews(
            settings=settings if settings.revision > self._revision else None,
            strikes=(),
            released=(),
        )
        if strikes != self._strikes:
            before, after = set(self._strikes), set(strikes)
            news = SharedNews(
                settings=news.settings,
                strikes=tuple(s for s in strikes if s not in before),
                released=tuple(s for s in self._strikes if s not in after),
            )
        self._revision = max(self._revision, settings.revision)
        self._strikes = strikes
        return news


class AgentSession:
    """One agent's stream: its reports in, orders out."""

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._cursor = SharedCursor(state=state)
        self._minimum_boot = 0
        self._server_id = ""
        self._boot = 0

    def note_report(self, report: AgentReport) -> None:
        """Take a report over into the table."""
        state = self._state
        if report.server is None:
            return
        self._server_id = report.server.server_id
        self._boot = report.server.boot
        view = state.members.view
        answer = state.members.note_report(report, state.clock.read_monotonic())
        if answer.minimum_boot != self._minimum_boot:
            self._minimum_boot = answer.minimum_boot
            state.wakeups.wake_all()
        if state.members.view != view:
            state.wakeups.wake_all()

    def write_order(self) -> AgentOrder:
        """Return the next order; an empty one is a heartbeat."""
        news = self._cursor.take_news()
        return AgentOrder(
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
            self._state.members.note_broken_stream(self._server_id, self._boot, now)


class EntrySession:
    """One entry's stream: its reports in, the view and its deltas out."""

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._cursor = SharedCursor(state=state)
        self._view: int | None = None

    def note_report(self, report: EntryReport) -> None:
        """Take a report over into the table of entries."""
        self._state.entries.note_report(report, self._state.clock.read_monotonic())

    def write_update(self) -> ViewUpdate:
        """Return what changed; an empty update is a heartbeat."""
        delta = self._state.members.find_delta(self._view)
        news = self._cursor.take_news()
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
        )
