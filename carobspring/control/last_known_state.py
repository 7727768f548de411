"""What a control daemon last knew, kept for its next start.

After all daemons were killed at once, an election takes longer than callers
wait. Routes that were committed once stay true until a newer version, and
backend servers mostly still run, so entries may start with both before the
quorum has confirmed them. Nothing here is ever shown to an operator or counts
as confirmed, and a lost or torn file only means a slower start.
"""

import logging
from dataclasses import dataclass, field
from typing import Final

import msgspec

from carobspring.consensus import frame_record, split_records
from carobspring.consensus.errors import CorruptRecordError
from carobspring.control.state import ControlState
from carobspring.domain import BackendServer, DomainError, LoadReport
from carobspring.membership import MemberGossip
from carobspring.ports import Storage, StorageError
from carobspring.protocol import RoutingConfiguration

FILE_NAME: Final = "last-known"
#: Seconds between two writes, and after one that the disk was slow with.
WRITE_INTERVAL_S: Final = 0.5
SLOW_INTERVAL_S: Final = 10.0
#: Seconds that a write may take before the disk counts as slow.
SLOW_WRITE_S: Final = 0.05
#: Seconds for which a server counts as present that was read back: two
#: check-ins, so that one that still runs renews it.
READ_BACK_LEASE_S: Final = 2.5

logger = logging.getLogger(__name__)


@dataclass(frozen=True, kw_only=True)
class KnownServer:
    """A backend server with its last state."""

    server: BackendServer
    load: LoadReport


@dataclass(frozen=True, kw_only=True)
class LastKnownState:
    """The content of the file."""

    routing: RoutingConfiguration = field(default_factory=RoutingConfiguration)
    servers: tuple[KnownServer, ...] = ()


class LastKnownStateFile:
    """Writes what a control daemon knows, and reads it back at its start."""

    def __init__(self, *, storage: Storage, state: ControlState) -> None:
        self._storage = storage
        self._state = state
        self._written = LastKnownState()
        self._due = float("-inf")

    def load(self, *, lease_s: float) -> None:
        """Take over what the file holds, if it can be read."""
        try:
            if FILE_NAME not in self._storage.list_names():
                return
            records = list(split_records(FILE_NAME, self._storage.read(FILE_NAME)))
            known = msgspec.msgpack.decode(records[0].content, type=LastKnownState)
        except (
            StorageError,
            CorruptRecordError,
            DomainError,
            IndexError,
            msgspec.MsgspecError,
        ) as error:
            extra = {"file": FILE_NAME, "reason": str(error)}
            logger.warning("last known state unreadable", extra=extra)
            return
        self._written = known
        state = self._state
        state.last_known_routing = known.routing
        now = state.clock.read_monotonic()
        age_ms = max(0, int((lease_s - READ_BACK_LEASE_S) * 1000))
        for each in known.servers:
            news = MemberGossip(
                server_id=each.server.server_id,
                boot=each.server.boot,
                sequence=each.load.sequence,
                age_ms=age_ms,
                server=each.server,
                load=each.load,
            )
            state.members.apply_gossip(news, now)
        logger.info(
            "last known state read back",
            extra={"version": known.routing.version, "servers": len(known.servers)},
        )

    def write_if_due(self) -> None:
        """Write what is known now, if it changed and the disk is quick."""
        clock = self._state.clock
        now = clock.read_monotonic()
        if now < self._due:
            return
        known = self._collect()
        if known == self._written:
            return
        record = frame_record(msgspec.msgpack.encode(known))
        try:
            self._storage.write_new(FILE_NAME, record)
            self._written = known
        except StorageError as error:
            extra = {"file": FILE_NAME, "reason": str(error)}
            logger.warning("last known state not written", extra=extra)
            self._due = now + SLOW_INTERVAL_S
            return
        took_s = clock.read_monotonic() - now
        slow = took_s > SLOW_WRITE_S
        self._due = now + (SLOW_INTERVAL_S if slow else WRITE_INTERVAL_S)

    def _collect(self) -> LastKnownState:
        servers = tuple(
            KnownServer(
                server=member.server,
                load=LoadReport(
                    # Every check-in of the same start is newer than zero.
                    sequence=0,
                    limit=member.load.limit,
                    draining=member.load.draining,
                ),
            )
            for member in self._state.members.list_present()
        )
        return LastKnownState(routing=self._state.find_routing(), servers=servers)
