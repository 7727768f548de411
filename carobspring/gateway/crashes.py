"""Detection of crashed backend servers and of the requests that ran there."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from carobspring.adapters.tasks import start_task
from carobspring.dispatch import (
    CrashAttribution,
    Explanation,
    Hold,
    OpenRun,
    RequestQuarantine,
)
from carobspring.domain import BackendServer
from carobspring.gateway.backends import BackendConnections
from carobspring.gateway.directory import ListedServer
from carobspring.gateway.metrics import CrashMetrics
from carobspring.membership import (
    CauseKey,
    ServerRun,
    build_cause_key,
    is_part_key,
)
from carobspring.protocol import Strike, ViewUpdate

#: Seconds that a connection attempt may take which shows whether a server has
#: crashed. The request that its end interrupted waits for that long.
PROBE_TIMEOUT_S: Final = 0.3
#: Seconds for which a strike is repeated in reports, since a report may be
#: lost with its stream.
REPORT_S: Final = 5.0
#: Own strikes that are repeated.
MAX_OWN_STRIKES: Final = 2_000
#: Causes that a log line names.
MAX_LOGGED_CAUSES: Final = 8

#: Returns the keys of a request and of its prompt's parts, the request first.
CauseLister = Callable[[], tuple[CauseKey, ...]]
#: What is held back while no request has a strike.
NO_HOLD: Final = Hold()

logger = logging.getLogger(__name__)


class CrashDetector:
    """Tells which requests were running on servers that have crashed.

    It proves crashes by connection attempts and by what control replicas
    list, reports strikes to the replicas, and holds requests back by the
    strikes of all entries.
    """

    def __init__(
        self,
        *,
        connections: BackendConnections,
        find_listing: Callable[[str], ListedServer | None],
        read_clock: Callable[[], float],
        read_wall_ms: Callable[[], int],
        request_report: Callable[[], None],
        count_entries: Callable[[], int],
        is_contested: Callable[[BackendServer], bool],
        handle_crash: Callable[[str], None],
        trial_turn: float,
        evidence_s: float,
        metrics: CrashMetrics,
    ) -> None:
        self._connections = connections
        self._find_listing = find_listing
        self._read_clock = read_clock
        self._read_wall_ms = read_wall_ms
        self._request_report = request_report
        self._count_entries = count_entries
        self._is_contested = is_contested
        self._handle_crash = handle_crash
        #: Listed servers whose address another one names too, so that their
        #: start does not prove that other one's end.
        self._unproven: dict[str, ListedServer] = {}
        self._metrics = metrics
        self._attribution = CrashAttribution(evidence_s=evidence_s)
        self._quarantine = RequestQuarantine(trial_turn=trial_turn)
        #: What was last logged of the parts that are blamed.
        self._logged_blame = ""
        self._probes: dict[ServerRun, asyncio.Task[bool]] = {}
        self._own_strikes: deque[tuple[float, Strike]] = deque(maxlen=MAX_OWN_STRIKES)
        self._released: deque[tuple[float, Strike]] = deque(maxlen=MAX_OWN_STRIKES)
        #: Until when all strikes are reported, not only the new ones.
        self._complete_until = float("-inf")

    def compute_hold(self, list_causes: CauseLister) -> Hold:
        """Return how long a request is held back."""
        if self._quarantine.is_empty:
            return NO_HOLD
        return self._quarantine.compute_hold(
            list_causes(), self._read_clock(), self._count_entries()
        )

    def list_avoided_servers(self, list_causes: CauseLister) -> frozenset[str]:
        """Return the servers that a request with a strike stays away from."""
        if not self._is_suspect(list_causes):
            return frozenset()
        return self._attribution.list_suspect_servers()

    def begin(
        self,
        server: BackendServer,
        list_causes: CauseLister,
        stop: Callable[[], None] = lambda: None,
    ) -> OpenRun:
        """Record that a request is sent to a server.

        A trial counts as a strike at once, so that other entries hear of it
        and begin no trial of their own. ``stop`` is called if the request
        must be held back while it runs.
        """
        if self._quarantine.is_empty:
            return self._attribution.begin(server, list_causes, stop=stop)
        held = self._quarantine.list_held(list_causes(), self._read_clock())
        run = self._attribution.begin(
            server,
            list_causes,
            is_suspect=self._is_suspect(list_causes),
            is_trial=bool(held),
            stop=stop,
        )
        self._add_strikes(run.server_run, held)
        return run

    def end_answered(self, run: OpenRun, *, answered_since: float) -> None:
        """Record that a request got a complete answer.

        It crashed no server, nor did a part of its prompt, by the time at
        which the answer began.
        """
        now = self._read_clock()
        self._attribution.end(run, is_broken=False, now=now)
        causes = run.list_causes()
        self._quarantine.record_answer(causes, now)
        if not self._quarantine.is_empty:
            released = self._quarantine.release(causes, answered_since)
            self._report_released(released)

    def end_failed(self, run: OpenRun) -> None:
        """Record that a server answered with a failure.

        That tells nothing of what the request does where it runs on.
        """
        self._attribution.end(run, is_broken=False, now=self._read_clock())

    def end_unsent(self, run: OpenRun) -> None:
        """Record that the server has not run the request."""
        self._attribution.end(run, is_broken=False, now=self._read_clock())
        if run.is_trial:
            self._report_released(
                self._quarantine.release_run(run.list_causes(), run.server_run)
            )

    def end_broken(self, run: OpenRun) -> None:
        """Record that a request ended without a response.

        That is no proof of a crash: a server that leaves as planned ends its
        connections at last. The proof decides, whenever it comes.
        """
        causes = self._attribution.end(run, is_broken=True, now=self._read_clock())
        self._add_strikes(run.server_run, causes)

    async def investigate(self, server: BackendServer) -> None:
        """Find out whether a server that ended a connection has crashed."""
        listing = self._find_listing(server.server_id)
        if listing is None or listing.draining or listing.server != server:
            return
        if self._attribution.is_leaving(server):
            return
        server_run = (server.server_id, server.boot)
        probe = self._probes.get(server_run)
        if probe is None:
            probe = start_task(self._probe(server), name="probe ended server")
            self._probes[server_run] = probe
        # Several requests wait for one probe, and each of them may be
        # cancelled.
        await asyncio.shield(probe)

    def handle_listed(self, listed: ListedServer) -> None:
        """Handle a server that a control replica lists anew or changed.

        While another one names its address, it proves by an answer that it
        has taken that one's place.
        """
        server_id = listed.server.server_id
        if self._is_contested(listed.server):
            self._unproven[server_id] = listed
            return
        self._unproven.pop(server_id, None)
        self._record_listed(listed)

    def handle_answer(self, server: BackendServer) -> None:
        """Handle an answer of a server, which has its address."""
        listed = self._unproven.get(server.server_id)
        if listed is not None and listed.server == server:
            del self._unproven[server.server_id]
            self._record_listed(listed)

    def _record_listed(self, listed: ListedServer) -> None:
        crashed = self._attribution.record_listed(
            listed.server, draining=listed.draining
        )
        if crashed is not None:
            self._record_crash(crashed, "a later start is listed")

    def handle_leaving(self, server: BackendServer) -> None:
        """Handle a server that announced that it leaves: no crash ends it."""
        self._attribution.record_leaving(server)

    def apply_update(self, update: ViewUpdate) -> None:
        """Apply the strikes that a control replica knows of all entries."""
        now = self._read_clock()
        for listed in tuple(self._unproven.values()):
            if self._find_listing(listed.server.server_id) != listed:
                del self._unproven[listed.server.server_id]
            elif not self._is_contested(listed.server):
                self.handle_listed(listed)
        if update.complete:
            # The replica may have lost what was reported to it before.
            self._complete_until = now + REPORT_S
        added = self._quarantine.add(update.strikes, now)
        self._log_strikes("strike received", added)
        self._quarantine.remove(update.released)
        self._log_blame()
        if added:
            self._stop_held_runs()

    def list_strikes(self) -> tuple[Strike, ...]:
        """Return the strikes to include in a report.

        While replicas may have lost them, these are all that are known.
        """
        if self._read_clock() < self._complete_until:
            return self._quarantine.list_strikes()
        return self._list_recent(self._own_strikes)

    def list_released(self) -> tuple[Strike, ...]:
        """Return the released strikes to include in a report."""
        return self._list_recent(self._released)

    def _list_recent(
        self, strikes: Iterable[tuple[float, Strike]]
    ) -> tuple[Strike, ...]:
        now = self._read_clock()
        since = float("-inf") if now < self._complete_until else now - REPORT_S
        return tuple(strike for at, strike in strikes if at >= since)

    def _is_suspect(self, list_causes: CauseLister) -> bool:
        if self._quarantine.is_empty:
            return False
        return self._quarantine.count(list_causes()[0]) > 0

    async def _probe(self, server: BackendServer) -> bool:
        server_run = (server.server_id, server.boot)
        client = self._connections.find(server.server_id)
        try:
            is_refusing = client is not None and await client.is_refusing(
                PROBE_TIMEOUT_S
            )
            if is_refusing:
                self._record_crash(server_run, "it refuses connections")
            return is_refusing
        finally:
            del self._probes[server_run]

    def _record_crash(self, server_run: ServerRun, proof: str) -> None:
        causes = self._attribution.record_crash(server_run, self._read_clock())
        self._metrics.record_crash()
        self._handle_crash(server_run[0])
        logger.info(
            "backend server crashed",
            extra={
                "server": server_run[0],
                "boot": server_run[1],
                "proof": proof,
                "running": sum(not is_part_key(key) for key in causes),
            },
        )
        self._add_strikes(server_run, causes)

    def _add_strikes(self, server_run: ServerRun, causes: Iterable[CauseKey]) -> None:
        now, at_ms = self._read_clock(), self._read_wall_ms()
        strikes = tuple(
            Strike(
                workspace=workspace,
                request_hash=request_hash,
                server_id=server_run[0],
                boot=server_run[1],
                at_ms=at_ms,
            )
            for workspace, request_hash in causes
        )
        added = self._quarantine.add(strikes, now)
        if not added:
            return
        self._own_strikes.extend((now, strike) for strike in added)
        self._metrics.record_strikes(len(added))
        self._log_strikes("request struck", added)
        self._log_blame()
        self._stop_held_runs()
        self._request_report()

    def _stop_held_runs(self) -> None:
        """Stop what would crash more servers as it begins to answer."""
        now = self._read_clock()
        for run in self._attribution.list_open():
            if not run.is_trial and self._quarantine.must_stop(run.list_causes(), now):
                run.stop()

    def _report_released(self, released: Sequence[Strike]) -> None:
        if not released:
            return
        now = self._read_clock()
        self._released.extend((now, strike) for strike in released)
        keys = dict.fromkeys(each.request_hash for each in released)
        logger.info(
            "strikes released",
            extra={
                "workspace": released[0].workspace,
                "digests": ",".join(list(keys)[:MAX_LOGGED_CAUSES]),
                "strikes": len(released),
            },
        )
        self._log_blame()
        self._request_report()

    def _log_strikes(self, message: str, strikes: Iterable[Strike]) -> None:
        """Log strikes of requests; those of parts are soon cleared."""
        for strike in strikes:
            key = build_cause_key(strike)
            if is_part_key(key):
                continue
            logger.info(
                message,
                extra={
                    "workspace": strike.workspace,
                    "digest": strike.request_hash,
                    "server": strike.server_id,
                    "boot": strike.boot,
                    "strikes": self._quarantine.count(key),
                },
            )

    def _log_blame(self) -> None:
        """Log when the parts that are blamed for crashes change."""
        explanations = self._quarantine.explanations
        blame = "; ".join(
            _describe_explanation(each) for each in explanations[:MAX_LOGGED_CAUSES]
        )
        if blame == self._logged_blame:
            return
        self._logged_blame = blame
        self._metrics.set_blamed_parts(sum(len(each.parts) for each in explanations))
        logger.info("parts blamed for crashes", extra={"parts_crashes": blame})


def _describe_explanation(explanation: Explanation) -> str:
    """Return the parts of an explanation and their number of crashes."""
    parts = sorted(key[1] for key in explanation.parts)[:MAX_LOGGED_CAUSES]
    return f"{'+'.join(parts)}: {len(explanation.crashes)}"
