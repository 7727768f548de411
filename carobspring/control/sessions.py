"""Sessions: what one stream has been sent, and what to send next."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from carobspring.control.state import ControlState
from carobspring.domain import Settings
from carobspring.protocol import (
    AgentReport,
    AgentUpdate,
    EntryReport,
    RoutingConfiguration,
    Strike,
    VersionSighting,
    ViewUpdate,
)


@dataclass(frozen=True, kw_only=True)
class SharedStateDelta:
    """Changes of settings and strikes that a stream has not been sent yet."""

    settings: Settings | None
    strikes: tuple[Strike, ...]
    released: tuple[Strike, ...]


class SharedStateCursor:
    """Tracks the settings and strikes that one stream has been sent."""

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._revision = -1
        self._strikes: tuple[Strike, ...] = ()
        self._change_count = -1
        #: Number of the last change of entries' strikes that was sent.
        self._strike_change = 0

    def take_delta(self) -> SharedStateDelta:
        """Return the changes since the last call."""
        settings = self._state.machine.settings.settings
        strike_table = self._state.machine.strikes
        is_newer = settings.revision > self._revision
        self._revision = max(self._revision, settings.revision)
        added: tuple[Strike, ...] = ()
        released: tuple[Strike, ...] = ()
        if strike_table.change_count != self._change_count:
            strikes = strike_table.list_strikes()
            before, after = set(self._strikes), set(strikes)
            added = tuple(strike for strike in strikes if strike not in before)
            released = tuple(s for s in self._strikes if s not in after)
            self._strikes, self._change_count = strikes, strike_table.change_count
        for change in self._state.entry_strikes.list_changes(self._strike_change):
            added += change.strikes
            released += change.released
            self._strike_change = change.number
        return SharedStateDelta(
            settings=settings if is_newer else None, strikes=added, released=released
        )


class AgentSession:
    """The session of one agent's stream: receives reports, builds updates."""

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._cursor = SharedStateCursor(state=state)
        self._minimum_boot = 0
        self._server_id = ""
        self._boot = 0

    def handle_report(self, report: AgentReport) -> None:
        """Apply a report to the membership table."""
        state = self._state
        if report.server is None:
            return
        self._server_id = report.server.server_id
        self._boot = report.server.boot
        was_local = state.members.is_local(self._server_id)
        result = state.members.apply_report(report, state.clock.read_monotonic())
        if result.minimum_boot != self._minimum_boot:
            self._minimum_boot = result.minimum_boot
            state.agent_notifier.notify_all()
        # Peers must also learn that an agent has connected to this replica,
        # before the one that lost its stream considers it gone.
        has_moved_here = not was_local and result.accepted
        if state.notify_member_changes() or has_moved_here:
            state.local_change_count += 1

    def build_update(self) -> AgentUpdate:
        """Return the next update; without changes it serves as a heartbeat."""
        delta = self._cursor.take_delta()
        return AgentUpdate(
            settings=delta.settings,
            minimum_boot=self._minimum_boot,
            strikes=delta.strikes,
            released=delta.released,
            drain=self._server_id in self._state.machine.drained,
        )

    def close(self) -> None:
        """Report the end of the stream, planned or not, to the table."""
        if self._server_id:
            now = self._state.clock.read_monotonic()
            self._state.members.shorten_lease(self._server_id, self._boot, now)


class EntrySession:
    """The session of one entry's stream: receives reports, builds updates."""

    def __init__(
        self,
        *,
        state: ControlState,
        is_confirmed: Callable[[], bool] = lambda: True,
        is_in_step: Callable[[], bool] = lambda: True,
    ) -> None:
        self._state = state
        self._is_confirmed = is_confirmed
        self._is_in_step = is_in_step
        self._cursor = SharedStateCursor(state=state)
        self._view: int | None = None
        self._routing_version = 0
        self._replicas: tuple[str, ...] = ()
        self._replica_zones: dict[str, str] = {}
        self._peer_addresses: frozenset[str] = frozenset()
        #: The change of the version log up to which the entry was told, and
        #: whether the last update was confirmed.
        self._sighting_change = -1
        self._was_confirmed = False
        #: When the entry asked for an update, by its clock, or zero.
        self._asked_at = 0.0

    def handle_report(self, report: EntryReport) -> bool:
        """Store a report in the table of entries.

        Returns whether the entry asks for an update at once.
        """
        state = self._state
        if report.usage is not None:
            state.usage.merge(report.usage)
            report = replace(report, usage=None)
        state.entries.apply_report(report, state.clock.read_monotonic())
        if state.merge_strikes(report.strikes, report.released):
            # Peers must learn of strikes at once.
            state.local_change_count += 1
        self._asked_at = report.asked_at or self._asked_at
        return bool(report.asked_at)

    def build_update(self) -> ViewUpdate:
        """Return the changes; an empty update serves as a heartbeat."""
        members = self._state.members.compute_delta(self._view)
        shared = self._cursor.take_delta()
        self._view = members.view
        confirmed = self._is_confirmed()
        is_new = members.complete or confirmed is not self._was_confirmed
        self._was_confirmed = confirmed
        sightings, cover_ms = self._take_new_sightings(is_new=is_new)
        asked_at = 0.0
        if self._asked_at and self._is_in_step():
            asked_at, self._asked_at = self._asked_at, 0.0
            # The entry was told of all sightings that it doesn't get now.
            now = self._state.clock.read_monotonic()
            cover_ms = self._state.members.versions.compute_cover_ms(now)
        replicas = self._take_new_replicas()
        peers_before = frozenset() if members.complete else self._peer_addresses
        peers = self._peer_addresses = self._state.entries.peer_addresses
        return ViewUpdate(
            view=members.view,
            complete=members.complete,
            settings=shared.settings,
            servers=members.servers,
            loads=members.loads or None,
            removed=members.removed,
            strikes=shared.strikes,
            released=shared.released,
            routing=self._take_new_routing(),
            replicas=replicas,
            replica_zones=self._state.replica_zones if replicas else None,
            confirmed=confirmed,
            entry_count=len(self._state.entries.entries),
            generating=self._state.entries.sum_generating_demand() or None,
            reading=self._state.entries.sum_reading_demand() or None,
            entries_added=tuple(sorted(peers - peers_before)),
            entries_removed=tuple(sorted(peers_before - peers)),
            sightings=sightings,
            sightings_cover_ms=cover_ms,
            asked_at=asked_at,
        )

    def _take_new_sightings(
        self, *, is_new: bool
    ) -> tuple[tuple[VersionSighting, ...], int]:
        """Return the versions to tell of, and for how long none was missed."""
        versions = self._state.members.versions
        if not is_new and versions.change_count == self._sighting_change:
            return (), 0
        self._sighting_change = versions.change_count
        now = self._state.clock.read_monotonic()
        return versions.list_sightings(now), versions.compute_cover_ms(now)

    def _take_new_routing(self) -> RoutingConfiguration | None:
        content = self._state.find_routing()
        if content.version <= self._routing_version:
            return None
        self._routing_version = content.version
        return content

    def _take_new_replicas(self) -> tuple[str, ...]:
        state = self._state
        if (state.replicas, state.replica_zones) == (
            self._replicas,
            self._replica_zones,
        ):
            return ()
        self._replicas, self._replica_zones = state.replicas, state.replica_zones
        return state.replicas
