"""The gRPC service that decides which requests are sent to engines."""

import asyncio
import contextlib
import logging
from collections.abc import Iterable, Mapping
from typing import Any, Final

from grpclib.server import Stream

from carobspring.adapters.metrics import Metrics
from carobspring.adapters.paths import ADMIT
from carobspring.adapters.rpc import (
    STREAM_ERRORS,
    RpcService,
    make_bidirectional_method,
)
from carobspring.adapters.tasks import start_task
from carobspring.admission import (
    AdmissionController,
    AdmissionLimits,
    EntryDecision,
    RequestPacer,
)
from carobspring.ports import Clock
from carobspring.protocol import (
    ADMISSION_HEARTBEAT_INTERVAL_S,
    ADMISSION_SILENCE_TIMEOUT_S,
    AdmissionDecision,
    AdmissionReport,
    AdmissionUpdate,
    EngineLoad,
)

#: Seconds between two checks for requests that can't be served in time.
TICK_INTERVAL_S: Final = 0.1
#: Minimum seconds between two load updates to an entry with no requests.
LOAD_UPDATE_INTERVAL_S: Final = 0.25
#: Reading time by which an engine's load must change to be sent, in seconds.
MIN_LOAD_CHANGE_S: Final = 0.1
#: Seconds after its last request for an engine during which an entry is sent
#: the engine's load.
LOAD_INTEREST_S: Final = 10.0
#: Seconds after which an update is sent to an entry with waiting requests,
#: even if nothing changed.
WAITING_HEARTBEAT_INTERVAL_S: Final = 0.25
#: Seconds without a request after which an engine's controller is removed.
IDLE_CONTROLLER_TIMEOUT_S: Final = 30.0

logger = logging.getLogger(__name__)


class Outbox:
    """The pending decisions and the last sent loads of one entry."""

    def __init__(self) -> None:
        self.decisions: list[AdmissionDecision] = []
        self.wakeup = asyncio.Event()
        #: Token count of each engine's load as last sent to this entry.
        self.sent_tokens: dict[str, int] = {}
        #: When this entry last asked for each engine.
        self.asked_at: dict[str, float] = {}
        self.last_sent_at = 0.0

    def record_request(self, server_id: str, now: float) -> None:
        """Record that the entry asked for an engine."""
        if now - self.asked_at.get(server_id, float("-inf")) > LOAD_INTEREST_S:
            # The entry no longer has the load that was sent before.
            self.sent_tokens.pop(server_id, None)
        self.asked_at[server_id] = now

    def find_changed_loads(
        self, loads: Mapping[str, EngineLoad], now: float
    ) -> dict[str, EngineLoad]:
        """Return the loads to send: of engines asked for, if they changed."""
        changed = {}
        for server_id, asked_at in list(self.asked_at.items()):
            load = loads.get(server_id)
            if load is None or now - asked_at > LOAD_INTEREST_S:
                del self.asked_at[server_id]
                continue
            change = abs(load.total_tokens - self.sent_tokens.get(server_id, 0))
            if change >= MIN_LOAD_CHANGE_S * load.tokens_per_s:
                changed[server_id] = load
        return changed


class AdmissionService:
    """Runs an admission controller for each engine that entries ask for."""

    def __init__(
        self, *, clock: Clock, metrics: Metrics, limits: AdmissionLimits | None = None
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._controllers: dict[str, AdmissionController] = {}
        #: Pacers of servers that limit their requests.
        self._pacers: dict[str, RequestPacer] = {}
        self._last_used_at: dict[str, float] = {}
        self._outboxes: dict[str, Outbox] = {}
        self._stream_count = 0
        self._decision_counter = metrics.add_counter(
            "carob_gate_decisions_total", "Requests admitted and turned away."
        )
        self._permit_counter = metrics.add_counter(
            "carob_gate_permits_total", "Permits for limited servers, by decision."
        )
        self._reading_gauge = metrics.add_gauge(
            "carob_gate_reading_tokens", "Prompt tokens admitted and unread."
        )
        self._waiting_gauge = metrics.add_gauge(
            "carob_gate_waiting_requests", "Requests that wait for room."
        )

    @property
    def waiting_count(self) -> int:
        """The number of waiting requests of all engines."""
        long_prompts = sum(each.waiting_count for each in self._controllers.values())
        return long_prompts + sum(each.waiting_count for each in self._pacers.values())

    def build_service(self) -> RpcService:
        """Return the gRPC service."""
        return RpcService(
            [
                make_bidirectional_method(
                    ADMIT, self.serve, AdmissionReport, AdmissionUpdate
                )
            ]
        )

    async def run(self) -> None:
        """Tick the controllers until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock.read_monotonic()
            for server_id, controller in list(self._controllers.items()):
                self._add_decisions(server_id, controller.tick(now))
            for server_id, pacer in self._pacers.items():
                self._add_permits(server_id, pacer, pacer.tick(now))
            self._remove_idle(now)
            self._wake_due_writers(now)
            reading = sum(
                controller.reading_tokens for controller in self._controllers.values()
            )
            self._reading_gauge.set({}, reading)
            self._waiting_gauge.set({}, self.waiting_count)

    async def serve(self, stream: Stream[Any, Any]) -> None:
        """Serve one entry's stream."""
        self._stream_count += 1
        entry = f"entry-{self._stream_count}"
        outbox = self._outboxes[entry] = Outbox()
        outbox.wakeup.set()
        writer = start_task(
            self._send_updates(stream, outbox), name=f"admission updates {entry}"
        )
        logger.info("entry connected for admission", extra={"entry": entry})
        reason = "the stream ended"
        try:
            while True:
                async with asyncio.timeout(ADMISSION_SILENCE_TIMEOUT_S):
                    report = await stream.recv_message()
                if report is None:
                    break
                self._handle_report(entry, report)
        except STREAM_ERRORS as error:
            reason = f"{type(error).__name__} {error}"
        finally:
            del self._outboxes[entry]
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writer
            now = self._clock.read_monotonic()
            for server_id, controller in self._controllers.items():
                self._add_decisions(server_id, controller.remove_entry(entry, now))
            for pacer in self._pacers.values():
                pacer.remove_entry(entry)
            extra = {"entry": entry, "reason": reason}
            logger.info("entry disconnected from admission", extra=extra)

    def _remove_idle(self, now: float) -> None:
        for server_id, used_at in list(self._last_used_at.items()):
            if now - used_at > IDLE_CONTROLLER_TIMEOUT_S:
                del self._last_used_at[server_id]
                self._controllers.pop(server_id, None)
                self._pacers.pop(server_id, None)

    def _get_pacer(self, server_id: str, now: float) -> RequestPacer:
        self._last_used_at[server_id] = now
        if server_id not in self._pacers:
            self._pacers[server_id] = RequestPacer(limits=self._limits, now=now)
        return self._pacers[server_id]

    def _get_controller(self, server_id: str, now: float) -> AdmissionController:
        self._last_used_at[server_id] = now
        if server_id not in self._controllers:
            self._controllers[server_id] = AdmissionController(limits=self._limits)
        return self._controllers[server_id]

    def _handle_report(self, entry: str, report: AdmissionReport) -> None:
        now = self._clock.read_monotonic()
        for release in report.left:
            pacer = self._pacers.get(release.server_id)
            if pacer is not None:
                pacer.release(entry, release.request_id)
            controller = self._get_controller(release.server_id, now)
            self._add_decisions(
                release.server_id, controller.release(entry, release.request_id, now)
            )
        for request in report.asks:
            if request.rate_limit is not None:
                pacer = self._get_pacer(request.server_id, now)
                decisions = pacer.submit(entry, request, now)
                self._add_permits(request.server_id, pacer, decisions)
                continue
            controller = self._get_controller(request.server_id, now)
            self._outboxes[entry].record_request(request.server_id, now)
            self._add_decisions(
                request.server_id, controller.submit(entry, request, now)
            )

    def _add_decisions(
        self, server_id: str, decisions: Iterable[EntryDecision]
    ) -> None:
        for entry_decision in decisions:
            decision, controller = entry_decision.decision, self._controllers[server_id]
            self._decision_counter.inc({"admitted": str(decision.admitted).lower()})
            logger.info(
                "admitted" if decision.admitted else "rejected",
                extra={
                    "request": decision.request_id,
                    "server": server_id,
                    "rank": entry_decision.rank,
                    "tokens": entry_decision.tokens,
                    "wait_ms": decision.wait_ms,
                    "reading": controller.reading_tokens,
                    "waiting": controller.waiting_count,
                    "tokens_per_s": round(controller.tokens_per_s),
                },
            )
            self._queue_decision(entry_decision)

    def _add_permits(
        self, server_id: str, pacer: RequestPacer, decisions: Iterable[EntryDecision]
    ) -> None:
        for entry_decision in decisions:
            decision = entry_decision.decision
            self._permit_counter.inc({"granted": str(decision.admitted).lower()})
            logger.info(
                "permit granted" if decision.admitted else "permit refused",
                extra={
                    "request": decision.request_id,
                    "server": server_id,
                    "rank": entry_decision.rank,
                    "wait_ms": decision.wait_ms,
                    "waiting": pacer.waiting_count,
                    "rate_per_s": pacer.rate_per_s,
                },
            )
            self._queue_decision(entry_decision)

    def _queue_decision(self, entry_decision: EntryDecision) -> None:
        outbox = self._outboxes.get(entry_decision.entry)
        if outbox is not None:
            outbox.decisions.append(entry_decision.decision)
            outbox.wakeup.set()

    def _wake_due_writers(self, now: float) -> None:
        """Wake the writers of entries whose next update is due."""
        loads = self._build_loads()
        waiting: set[str] = set()
        for controller in self._controllers.values():
            waiting |= controller.find_waiting_entries()
        for pacer in self._pacers.values():
            waiting |= pacer.find_waiting_entries()
        for entry, outbox in self._outboxes.items():
            elapsed_s = now - outbox.last_sent_at
            heartbeat_s = ADMISSION_HEARTBEAT_INTERVAL_S
            if entry in waiting:
                heartbeat_s = WAITING_HEARTBEAT_INTERVAL_S
            if elapsed_s >= heartbeat_s or (
                elapsed_s >= LOAD_UPDATE_INTERVAL_S
                and outbox.find_changed_loads(loads, now)
            ):
                outbox.wakeup.set()

    def _build_loads(self) -> dict[str, EngineLoad]:
        return {
            name: controller.build_engine_load()
            for name, controller in self._controllers.items()
        }

    async def _send_updates(self, stream: Stream[Any, Any], outbox: Outbox) -> None:
        """Send the pending decisions and the changed loads at each wakeup."""
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                await outbox.wakeup.wait()
                outbox.wakeup.clear()
                now = outbox.last_sent_at = self._clock.read_monotonic()
                changed = outbox.find_changed_loads(self._build_loads(), now)
                for name, load in changed.items():
                    outbox.sent_tokens[name] = load.total_tokens
                decisions = tuple(outbox.decisions)
                outbox.decisions.clear()
                update = AdmissionUpdate(decisions=decisions, loads=changed or None)
                await stream.send_message(update)
