"""Last known state of a control daemon, stored for its next start.

When all daemons were killed at once, an election takes longer than callers
wait. Committed routes are valid until a newer version is committed, and most
backend servers are still running, so entries can start with both before the
quorum has confirmed them. None of this state is shown to operators or counts
as confirmed, and a lost or truncated file only makes the start slower.
"""

import logging
from dataclasses import dataclass, field
from typing import Final

from carobspring.consensus import frame_record, split_records
from carobspring.consensus.errors import CorruptRecordError
from carobspring.control.state import ControlState
from carobspring.domain import BackendServer, LoadReport
from carobspring.membership import MemberGossip, WithdrawalGossip
from carobspring.ports import Storage, StorageError
from carobspring.protocol import (
    DECODE_ERRORS,
    RoutingConfiguration,
    VersionSighting,
    decode_soft_state,
    encode_soft_state,
)

FILE_NAME: Final = "last-known"
#: Seconds between two writes.
WRITE_INTERVAL_S: Final = 0.5
#: Seconds until the next write after one that failed or was slow.
BACKOFF_INTERVAL_S: Final = 10.0
#: Seconds that a write may take before the disk counts as slow.
SLOW_WRITE_S: Final = 0.05
#: Lease in seconds of a server restored from the file: two check-in
#: intervals, so that a running server renews it in time.
RESTORED_LEASE_S: Final = 2.5

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class KnownServer:
    """A backend server with its last state."""

    server: BackendServer
    load: LoadReport


@dataclass(frozen=True, kw_only=True)
class KnownVersion:
    """A software version, and when the last server of it was listed."""

    service: str
    version: str
    seen_at_ms: int


@dataclass(frozen=True, kw_only=True)
class KnownWithdrawal:
    """A server that left or drains, and when that was recorded."""

    server_id: str
    boot: int
    sequence: int
    at_ms: int
    is_listed: bool


@dataclass(frozen=True, kw_only=True)
class LastKnownState:
    """The content of the file: routes, servers with a lease, and versions.

    What was withdrawn belongs to it: all replicas may restart before a late
    report of a server that has left arrives.

    Times are of the wall clock, in ms.
    """

    routing: RoutingConfiguration = field(default_factory=RoutingConfiguration)
    servers: tuple[KnownServer, ...] = ()
    versions: tuple[KnownVersion, ...] = ()
    #: Since when no version was missed; None in the file of an older release.
    versions_since_ms: int | None = None
    withdrawals: tuple[KnownWithdrawal, ...] = ()


class LastKnownStateFile:
    """Stores the last known state, and restores it at the next start."""

    def __init__(self, *, storage: Storage, state: ControlState) -> None:
        self._storage = storage
        self._state = state
        self._written = LastKnownState()
        self._next_write_at = float("-inf")
        #: The change of the version log that ``_versions`` and ``_since_ms``
        #: were computed from: their times must not vary between two writes.
        self._version_change = -1
        self._versions: tuple[KnownVersion, ...] = ()
        self._versions_since_ms: int | None = None
        #: The same for what was withdrawn.
        self._withdrawal_change = -1
        self._withdrawals: tuple[KnownWithdrawal, ...] = ()

    def load(self, *, lease_s: float) -> None:
        """Restore the state from the file, if it can be read."""
        try:
            if FILE_NAME not in self._storage.list_names():
                return
            records = list(split_records(FILE_NAME, self._storage.read(FILE_NAME)))
            last_known = decode_soft_state(records[0].content, LastKnownState)
        except (
            StorageError,
            CorruptRecordError,
            IndexError,
            *DECODE_ERRORS,
        ) as error:
            extra = {"file": FILE_NAME, "reason": str(error)}
            logger.warning("last known state unreadable", extra=extra)
            return
        self._written = last_known
        state = self._state
        state.restore_routing(last_known.routing)
        now = state.clock.read_monotonic()
        age_ms = max(0, int((lease_s - RESTORED_LEASE_S) * 1000))
        for known_server in last_known.servers:
            gossip = MemberGossip(
                server_id=known_server.server.server_id,
                boot=known_server.server.boot,
                sequence=known_server.load.sequence,
                age_ms=age_ms,
                server=known_server.server,
                load=known_server.load,
            )
            state.members.apply_gossip(gossip, now)
        self._restore_versions(last_known, now)
        self._restore_withdrawals(last_known, now)
        logger.info(
            "last known state restored",
            extra={
                "version": last_known.routing.version,
                "servers": len(last_known.servers),
            },
        )

    def write_if_due(self) -> None:
        """Write the state if it changed and the next write is due."""
        clock = self._state.clock
        now = clock.read_monotonic()
        if now < self._next_write_at:
            return
        last_known = self._collect()
        if last_known == self._written:
            return
        record = frame_record(encode_soft_state(last_known))
        try:
            self._storage.write_atomically(FILE_NAME, record)
            self._written = last_known
        except StorageError as error:
            extra = {"file": FILE_NAME, "reason": str(error)}
            logger.warning("last known state not written", extra=extra)
            self._next_write_at = now + BACKOFF_INTERVAL_S
            return
        took_s = clock.read_monotonic() - now
        is_slow = took_s > SLOW_WRITE_S
        self._next_write_at = now + (
            BACKOFF_INTERVAL_S if is_slow else WRITE_INTERVAL_S
        )

    def _restore_versions(self, last_known: LastKnownState, now: float) -> None:
        """Continue the log of versions that the last run kept.

        Servers that left while no replica ran are still among those restored,
        and no entry was told of others.
        """
        if last_known.versions_since_ms is None:
            return
        wall_ms = self._state.clock.read_wall_ms()
        log = self._state.members.versions
        log.merge(
            (
                VersionSighting(
                    service=each.service,
                    version=each.version,
                    age_ms=max(0, wall_ms - each.seen_at_ms),
                )
                for each in last_known.versions
            ),
            now,
        )
        since_s = (wall_ms - last_known.versions_since_ms) / 1000
        log.known_since = min(log.known_since, now - max(0.0, since_s))

    def _restore_withdrawals(self, last_known: LastKnownState, now: float) -> None:
        wall_ms = self._state.clock.read_wall_ms()
        for each in last_known.withdrawals:
            gossip = WithdrawalGossip(
                server_id=each.server_id,
                boot=each.boot,
                sequence=each.sequence,
                age_ms=max(0, wall_ms - each.at_ms),
                is_listed=each.is_listed,
            )
            self._state.members.apply_withdrawal(gossip, now)

    def _collect_withdrawals(self) -> None:
        """Compute the times of the wall clock, once after each change."""
        members = self._state.members
        if members.withdrawal_change_count == self._withdrawal_change:
            return
        self._withdrawal_change = members.withdrawal_change_count
        clock = self._state.clock
        now, wall_ms = clock.read_monotonic(), clock.read_wall_ms()
        self._withdrawals = tuple(
            KnownWithdrawal(
                server_id=each.server_id,
                boot=each.boot,
                sequence=each.sequence,
                at_ms=wall_ms - each.age_ms,
                is_listed=each.is_listed,
            )
            for each in members.list_withdrawals(-1, now)
        )

    def _collect_versions(self) -> None:
        """Compute the times of the wall clock, once after each change."""
        log = self._state.members.versions
        if log.change_count == self._version_change:
            return
        self._version_change = log.change_count
        clock = self._state.clock
        now, wall_ms = clock.read_monotonic(), clock.read_wall_ms()
        self._versions = tuple(
            KnownVersion(
                service=each.service,
                version=each.version,
                seen_at_ms=wall_ms - each.age_ms,
            )
            for each in log.list_sightings(now)
        )
        self._versions_since_ms = wall_ms - log.compute_cover_ms(now)

    def _collect(self) -> LastKnownState:
        servers = tuple(
            KnownServer(
                server=member.server,
                load=LoadReport(
                    # Every check-in of the same boot has a higher sequence.
                    sequence=0,
                    limit=member.load.limit,
                    draining=member.load.draining,
                ),
            )
            for member in self._state.members.list_present()
        )
        self._collect_versions()
        self._collect_withdrawals()
        return LastKnownState(
            routing=self._state.find_routing(),
            servers=servers,
            versions=self._versions,
            versions_since_ms=self._versions_since_ms,
            withdrawals=self._withdrawals,
        )
