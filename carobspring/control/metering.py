"""Collects usage at a control replica, and reports it while it leads."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Protocol

from carobspring import platform
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.provider_http import ProviderClient, ProviderError
from carobspring.adapters.tasks import start_task
from carobspring.control.commands import Command
from carobspring.control.errors import ControlError
from carobspring.control.gossip import GossipTransport
from carobspring.control.proposals import CommandProposer
from carobspring.control.state import ControlState
from carobspring.duties import CallPacing, Leadership, Tenure, TenureTiming
from carobspring.membership import GossipMessage
from carobspring.metering import DueWindow, UsageReporter
from carobspring.platform import ProviderSettings
from carobspring.ports import RandomSource
from carobspring.protocol import WindowUsage, encode_soft_state

#: Statuses below 500 by which the provider asks for a later call.
LATER_STATUSES: Final = frozenset({408, 425, 429})
#: Seconds between two decisions. Usage is passed on to the leader as often.
TICK_INTERVAL_S: Final = 0.25
CALL_TIMEOUT_S: Final = 1.0

logger = logging.getLogger(__name__)


class LeadershipSource(Protocol):
    """Tells who leads the control replicas."""

    def find_leader(self) -> str:
        """Return the name of the leader, or empty if it is unknown."""

    def find_leading_term(self) -> int | None:
        """Return the term that this replica leads now, or None."""


class MeteringService:
    """Passes usage on to the leader, or reports it as the leader.

    The counts of a window are committed before they are sent, so that every
    later holder sends the same ones.
    """

    def __init__(
        self,
        *,
        settings: ProviderSettings,
        holder: str,
        leader_lease_s: float,
        state: ControlState,
        proposer: CommandProposer,
        leadership: LeadershipSource,
        transport: GossipTransport,
        client: ProviderClient,
        read_boot_time: Callable[[], float],
        random: RandomSource,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._state = state
        self._proposer = proposer
        self._leadership = leadership
        self._transport = transport
        self._client = client
        self._read_boot_time = read_boot_time
        self._tenure = Tenure(
            timing=TenureTiming(
                lease_s=settings.lease_s,
                leader_lease_s=leader_lease_s,
                call_timeout_s=CALL_TIMEOUT_S,
                thaw_s=settings.thaw_s,
            )
        )
        self._pacing = CallPacing(calls_per_s=settings.calls_per_s, random=random)
        self._reporter = UsageReporter(
            window_s=settings.usage_window_s, delay_s=settings.usage_delay_s
        )
        #: The replica that was told all usage, but what has changed since.
        self._informed_leader = ""
        self._closing: asyncio.Task[None] | None = None
        self._call: asyncio.Task[None] | None = None
        #: Fencing token of that call.
        self._call_token: int | None = None
        self._logged_token: int | None = None
        transport.on_open(self._handle_open)
        self._holds = metrics.add_gauge(
            "carob_duty_holds", "1 while this daemon holds the duties."
        )
        self._token = metrics.add_gauge(
            "carob_duty_token", "Fencing token of the duties held here, or 0."
        )
        self._windows = metrics.add_counter(
            "carob_usage_windows_total", "Windows of usage here, by outcome."
        )
        self._calls = metrics.add_counter(
            "carob_provider_calls_total", "Calls to the provider, by result."
        )

    async def run(self) -> None:
        """Decide at intervals until cancelled."""
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            for task in (self._closing, self._call):
                if task is not None:
                    task.cancel()

    def tick(self) -> None:
        """Do what is due."""
        now_ms = self._state.clock.read_wall_ms()
        self._update_tenure()
        if self._call is not None and self._tenure.token != self._call_token:
            # Its bytes must not arrive behind a call of the next holder.
            self._call.cancel()
        if self._tenure.term is None:
            self._inform_leader()
            return
        self._informed_leader = ""
        ledger = self._state.machine.usage
        # The first closing is final. Until the quiet period ends, the other
        # replicas pass on what only they know, and nothing could be sent.
        is_closing = self._closing is not None and not self._closing.done()
        if self._tenure.token is not None and not is_closing:
            entries = self._state.entries.entries.keys()
            due = self._reporter.find_due(self._state.usage, ledger, entries, now_ms)
            if due is not None:
                self._closing = start_task(self._close(due), name="close usage")
        for window in self._reporter.take_abandoned(self._state.usage, ledger, now_ms):
            self._windows.inc({"outcome": "missed"})
            logger.error("usage not reported", extra={"window": window})
        self._call_if_due(now_ms)

    def _update_tenure(self) -> None:
        leadership = Leadership(
            term=self._leadership.find_leading_term(),
            now=self._state.clock.read_monotonic(),
            boot_time=self._read_boot_time(),
        )
        self._tenure.update(leadership)
        token = self._tenure.token
        if token == self._logged_token:
            return
        message = "duties held" if token is not None else "duties no longer held"
        logger.info(message, extra={"token": token, "before": self._logged_token})
        self._logged_token = token
        self._holds.set({}, int(token is not None))
        self._token.set({}, token or 0)

    def _inform_leader(self) -> None:
        """Pass on what the leader was not told yet."""
        leader = self._leadership.find_leader()
        if not leader or leader not in self._transport.list_peers():
            return
        if leader != self._informed_leader:
            self._state.usage.forget_forwarded()
            self._informed_leader = leader
        changes = self._state.usage.take_changes()
        if changes:
            message = GossipMessage(usage=changes)
            self._transport.send_gossip(leader, encode_soft_state(message))

    def _handle_open(self, peer: str) -> None:
        if peer == self._informed_leader:
            # What was on its way on the earlier stream may be lost.
            self._informed_leader = ""

    async def _close(self, due: DueWindow) -> None:
        usage = due.closing.usage
        window = usage.window if usage is not None else None
        try:
            result = await self._proposer.propose(Command(usage=due.closing))
        except ControlError as error:
            extra = {"window": window, "reason": error.message}
            logger.info("usage window not closed", extra=extra)
            return
        if result.usage is None:
            extra = {"window": window, "reason": result.error}
            logger.error("usage window not closed", extra=extra)
            return
        if usage is None:
            return
        if result.usage.usage is None:
            self._windows.inc({"outcome": "too_old"})
            logger.error("usage window is too old", extra={"window": window})
            return
        final = result.usage.usage
        self._windows.inc({"outcome": "closed"})
        logger.info(
            "usage window closed",
            extra={
                "window": final.window,
                "requests": sum(final.counts.values()),
                "workspaces": len(final.counts),
                "incomplete": due.incomplete,
                "is_own": final == usage,
            },
        )

    def _call_if_due(self, now_ms: int) -> None:
        token = self._tenure.token
        now = self._state.clock.read_monotonic()
        is_calling = self._call is not None and not self._call.done()
        if token is None or is_calling or not self._pacing.may_call(now):
            return
        usage = self._reporter.find_unsent(self._state.machine.usage, now_ms)
        if usage is not None:
            self._call_token = token
            self._call = start_task(self._report(usage, token), name="report usage")

    async def _report(self, usage: WindowUsage, token: int) -> None:
        call = platform.build_usage_call(
            window=usage.window,
            counts=usage.counts,
            holder=self._holder,
            token=token,
        )
        accepted, status = False, 0
        try:
            status = await self._client.post(
                call.path,
                call.headers,
                call.body,
                may_send=lambda: self._holds_token(token),
            )
            reason = f"status {status}"
            accepted = 200 <= status < 300
        except ProviderError as error:
            reason = error.reason
        finally:
            # Unexpected errors delay the next call as well.
            now = self._state.clock.read_monotonic()
            self._pacing.record_call(now, accepted=accepted)
            self._calls.inc({"result": "accepted" if accepted else "failed"})
        if 400 <= status < 500 and status not in LATER_STATUSES:
            self._reporter.record_refused(usage.window)
        extra = {"window": usage.window, "token": token, "result": reason}
        if not accepted:
            logger.info("usage report failed", extra=extra)
            return
        now_ms = self._state.clock.read_wall_ms()
        in_time = self._reporter.record_accepted(usage.window, now_ms)
        self._windows.inc({"outcome": "reported" if in_time else "late"})
        end_ms = self._reporter.compute_end_ms(usage.window)
        logger.info("usage reported", extra=extra | {"after_ms": now_ms - end_ms})

    def _holds_token(self, token: int) -> bool:
        self._update_tenure()
        return self._tenure.token == token
