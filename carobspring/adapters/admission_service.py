"""The gRPC service of gates: entries' streams, and the ticks of their time."""

import asyncio
import contextlib
import logging
from collections.abc import Iterable
from typing import Any, Final

from grpclib.server import Stream

from carobspring.adapters.metrics import Metrics
from carobspring.adapters.paths import ADMIT
from carobspring.adapters.rpc import (
    STREAM_ERRORS,
    RpcService,
    make_bidirectional_method,
)
from carobspring.admission import AdmissionController, AdmissionLimits, EntryDecision
from carobspring.ports import Clock
from carobspring.protocol import (
    ADMISSION_HEARTBEAT_INTERVAL_S,
    ADMISSION_SILENCE_TIMEOUT_S,
    AdmissionDecision,
    AdmissionReport,
    AdmissionUpdate,
    EngineLoad,
)

#: Seconds between two looks at what has become hopeless.
TICK_INTERVAL_S: Final = 0.1
#: Seconds between two words of loads to an entry that asks nothing, and
#: tokens by which one has to change: 0.1 s of reading.
LOAD_UPDATE_INTERVAL_S: Final = 0.25
MIN_LOAD_CHANGE_TOKENS: Final = 6000
#: Seconds after which an entry whose requests wait is told something in any
#: case.
WAITING_HEARTBEAT_INTERVAL_S: Final = 0.25
#: Seconds without a request after which a gate is forgotten.
IDLE_CONTROLLER_TIMEOUT_S: Final = 30.0

logger = logging.getLogger(__name__)


class _Outbox:
    """What an entry has to be told."""

    def __init__(self) -> None:
        self.decisions: list[AdmissionDecision] = []
        self.wake = asyncio.Event()
        #: Engine to the tokens before it, as this entry was told.
        self.told_tokens: dict[str, int] = {}
        self.told_at = 0.0


class AdmissionService:
    """Keeps the gates of the engines that entries ask for here."""

    def __init__(
        self, *, clock: Clock, metrics: Metrics, limits: AdmissionLimits | None = None
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._gates: dict[str, AdmissionController] = {}
        self._used_at: dict[str, float] = {}
        self._outboxes: dict[str, _Outbox] = {}
        self._streams = 0
        self._decided = metrics.add_counter(
            "carob_gate_decisions_total", "Requests admitted and turned away."
        )
        self._reading = metrics.add_gauge(
            "carob_gate_reading_tokens", "Prompt tokens admitted and unread."
        )
        self._waiting = metrics.add_gauge(
            "carob_gate_waiting_requests", "Requests that wait for room."
        )

    @property
    def waiting_count(self) -> int:
        """How many requests wait at all gates."""
        return sum(gate.waiting_count for gate in self._gates.values())

    def build_service(self) -> RpcService:
        """Return the service with its method."""
        return RpcService(
            [
                make_bidirectional_method(
                    ADMIT, self.serve, AdmissionReport, AdmissionUpdate
                )
            ]
        )

    async def run(self) -> None:
        """Let time pass at the gates until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock.read_monotonic()
            for server_id, gate in list(self._gates.items()):
                self._deliver(server_id, gate.tick(now))
                if now - self._used_at[server_id] > IDLE_CONTROLLER_TIMEOUT_S:
                    del self._gates[server_id], self._used_at[server_id]
            self._wake_untold(now)
            reading = sum(gate.reading_tokens for gate in self._gates.values())
            self._reading.set({}, reading)
            self._waiting.set({}, self.waiting_count)

    async def serve(self, stream: Stream[Any, Any]) -> None:
        """Serve one entry's stream."""
        self._streams += 1
        entry = f"entry-{self._streams}"
        outbox = self._outboxes[entry] = _Outbox()
        outbox.wake.set()
        writer = asyncio.create_task(self._write(stream, outbox))
        logger.info("entry joined gates", extra={"entry": entry})
        reason = "the stream ended"
        try:
            while True:
                async with asyncio.timeout(ADMISSION_SILENCE_TIMEOUT_S):
                    news = await stream.recv_message()
                if news is None:
                    break
                self._take(entry, news)
        except STREAM_ERRORS as error:
            reason = f"{type(error).__name__} {error}"
        finally:
            del self._outboxes[entry]
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await writer
            now = self._clock.read_monotonic()
            for server_id, gate in self._gates.items():
                self._deliver(server_id, gate.remove_entry(entry, now))
            extra = {"entry": entry, "reason": reason}
            logger.info("entry left gates", extra=extra)

    def _find_gate(self, server_id: str, now: float) -> AdmissionController:
        self._used_at[server_id] = now
        if server_id not in self._gates:
            self._gates[server_id] = AdmissionController(limits=self._limits)
        return self._gates[server_id]

    def _take(self, entry: str, news: AdmissionReport) -> None:
        now = self._clock.read_monotonic()
        for left in news.left:
            gate = self._find_gate(left.server_id, now)
            self._deliver(left.server_id, gate.release(entry, left.request_id, now))
        for ask in news.asks:
            gate = self._find_gate(ask.server_id, now)
            self._deliver(ask.server_id, gate.submit(entry, ask, now))

    def _deliver(self, server_id: str, decisions: Iterable[EntryDecision]) -> None:
        for each in decisions:
            decision, gate = each.decision, self._gates[server_id]
            self._decided.inc({"admitted": str(decision.admitted).lower()})
            logger.info(
                "admitted" if decision.admitted else "turned away",
                extra={
                    "request": decision.request_id,
                    "server": server_id,
                    "rank": each.rank,
                    "tokens": each.tokens,
                    "wait_ms": decision.wait_ms,
                    "reading": gate.reading_tokens,
                    "waiting": gate.waiting_count,
                    "tokens_per_s": round(gate.tokens_per_s),
                },
            )
            outbox = self._outboxes.get(each.entry)
            if outbox is not None:
                outbox.decisions.append(decision)
                outbox.wake.set()

    def _wake_untold(self, now: float) -> None:
        """Have entries told that have not heard what they should."""
        loads = self._build_loads()
        waiting: set[str] = set()
        for gate in self._gates.values():
            waiting |= gate.find_waiting_entries()
        for entry, outbox in self._outboxes.items():
            told_s = now - outbox.told_at
            heartbeat_s = ADMISSION_HEARTBEAT_INTERVAL_S
            if entry in waiting:
                heartbeat_s = WAITING_HEARTBEAT_INTERVAL_S
            if told_s >= heartbeat_s or (
                told_s >= LOAD_UPDATE_INTERVAL_S
                and find_changed_loads(loads, outbox.told_tokens)
            ):
                outbox.wake.set()

    def _build_loads(self) -> dict[str, EngineLoad]:
        return {name: gate.build_load() for name, gate in self._gates.items()}

    async def _write(self, stream: Stream[Any, Any], outbox: _Outbox) -> None:
        """Send decisions and the loads that changed whenever woken."""
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                await outbox.wake.wait()
                outbox.wake.clear()
                changed = find_changed_loads(self._build_loads(), outbox.told_tokens)
                for name, load in changed.items():
                    outbox.told_tokens[name] = load.total_tokens
                outbox.told_at = self._clock.read_monotonic()
                decisions = tuple(outbox.decisions)
                outbox.decisions.clear()
                update = AdmissionUpdate(decisions=decisions, loads=changed or None)
                await stream.send_message(update)


def find_changed_loads(
    loads: dict[str, EngineLoad], told_tokens: dict[str, int]
) -> dict[str, EngineLoad]:
    """Return the loads that differ much from what was told."""
    return {
        name: load
        for name, load in loads.items()
        if abs(load.total_tokens - told_tokens.get(name, 0)) >= MIN_LOAD_CHANGE_TOKENS
    }
