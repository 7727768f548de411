"""gRPC service for the long-lived streams of agents and entries."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from grpclib import GRPCError, Status
from grpclib.server import Stream

from carobspring.adapters import paths
from carobspring.adapters.rpc import RpcService, make_bidirectional_method
from carobspring.adapters.tasks import start_task
from carobspring.control.commands import Command
from carobspring.control.errors import ControlError
from carobspring.control.proposals import CommandProposer
from carobspring.control.sessions import AgentSession, EntrySession
from carobspring.control.state import ControlState, StreamNotifier
from carobspring.protocol import (
    AgentReport,
    AgentUpdate,
    EntryReport,
    Strike,
    ViewUpdate,
)

HEARTBEAT_INTERVAL_S = 1.0
#: Seconds without a message after which the peer's stream is ended.
SILENCE_TIMEOUT_S = 5.0


class WatchService:
    """Serves this replica's streams to agents and entries."""

    def __init__(
        self,
        *,
        state: ControlState,
        proposer: CommandProposer,
        is_confirmed: Callable[[], bool] | None = None,
        is_in_step: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create the service.

        Args:
            state: The state that the streams send.
            proposer: Confirms reads and commits strikes.
            is_confirmed: Returns whether the state is up to date with the
                quorum. If given, entries also get unconfirmed state, marked as
                such; otherwise their streams are refused until a read is
                confirmed.
            is_in_step: Returns whether this replica has heard of what most
                replicas list. Only then are questions of entries answered.
        """
        self._state = state
        self._proposer = proposer
        self._is_confirmed = is_confirmed
        self._is_in_step = is_in_step
        #: Proposals of strikes; the handling of reports doesn't wait for them.
        self._strike_proposals: set[asyncio.Task[None]] = set()

    def build_service(self) -> RpcService:
        """Return the gRPC methods."""
        return RpcService(
            [
                make_bidirectional_method(
                    paths.WATCH_AGENT, self.watch_agent, AgentReport, AgentUpdate
                ),
                make_bidirectional_method(
                    paths.WATCH_ENTRY, self.watch_entry, EntryReport, ViewUpdate
                ),
            ]
        )

    async def watch_agent(self, stream: Stream[AgentReport, AgentUpdate]) -> None:
        """Receive an agent's reports and send it updates until either ends."""
        session = AgentSession(state=self._state)

        def handle_report(report: AgentReport) -> bool:
            session.handle_report(report)
            self._commit_strikes(report)
            return False

        try:
            notifier = self._state.agent_notifier
            await _run_stream(
                self._state, stream, handle_report, session.build_update, notifier
            )
        finally:
            session.close()

    async def watch_entry(self, stream: Stream[EntryReport, ViewUpdate]) -> None:
        """Receive an entry's reports and send it updates until either ends."""
        if self._is_confirmed is None:
            try:
                await self._proposer.confirm_read()
            except ControlError as error:
                raise GRPCError(Status.UNAVAILABLE, error.message) from error
            session = EntrySession(state=self._state)
        else:
            session = EntrySession(
                state=self._state,
                is_confirmed=self._is_confirmed,
                is_in_step=self._is_in_step,
            )

        notifier = self._state.entry_notifier
        await _run_stream(
            self._state, stream, session.handle_report, session.build_update, notifier
        )

    def _commit_strikes(self, report: AgentReport) -> None:
        # An agent reports its strikes repeatedly, so those that are not
        # proposed or not committed here are proposed at a later report.
        new = self._state.machine.strikes.find_unknown(report.strikes)
        if new and not self._strike_proposals:
            proposal = start_task(self._propose_strikes(new), name="strikes")
            self._strike_proposals.add(proposal)
            proposal.add_done_callback(self._strike_proposals.discard)

    async def _propose_strikes(self, strikes: tuple[Strike, ...]) -> None:
        with contextlib.suppress(ControlError):
            await self._proposer.propose(Command(strikes=strikes))


class ReplicaLocatorService:
    """Tells entries where the replicas are, on a daemon that holds none.

    The seeds of an entry may all be such daemons. The updates are marked as
    unconfirmed, so an entry uses them only to find replicas.
    """

    def __init__(self, *, state: ControlState) -> None:
        self._state = state

    def build_service(self) -> RpcService:
        """Return the gRPC method."""
        method = make_bidirectional_method(
            paths.WATCH_ENTRY, self.watch_entry, EntryReport, ViewUpdate
        )
        return RpcService([method])

    async def watch_entry(self, stream: Stream[EntryReport, ViewUpdate]) -> None:
        """Send an entry the replicas, at once and when they change."""
        session = EntrySession(
            state=self._state,
            is_confirmed=lambda: False,
            is_in_step=lambda: False,
        )
        notifier = self._state.entry_notifier
        await _run_stream(
            self._state, stream, lambda report: False, session.build_update, notifier
        )


async def _run_stream(
    state: ControlState,
    stream: Stream[Any, Any],
    handle_message: Callable[[Any], bool],
    build_message: Callable[[], Any],
    notifier: StreamNotifier,
) -> None:
    """Exchange messages until either side ends.

    ``handle_message`` returns whether the peer asks for a message at once.
    """
    wakeup = notifier.subscribe()
    wakeup.set()
    # The task that ends first cancels the other: if the peer hangs and stops
    # reading, the writer would block forever.
    tasks = {
        asyncio.create_task(_read_all(stream, handle_message, wakeup)),
        asyncio.create_task(_write_all(state, stream, build_message, wakeup)),
    }
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        notifier.unsubscribe(wakeup)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _write_all(
    state: ControlState,
    stream: Stream[Any, Any],
    build_message: Callable[[], Any],
    wakeup: asyncio.Event,
) -> None:
    while not state.draining:
        await _wait_for_event(wakeup, HEARTBEAT_INTERVAL_S)
        wakeup.clear()
        await stream.send_message(build_message())


async def _read_all(
    stream: Stream[Any, Any],
    handle_message: Callable[[Any], bool],
    wakeup: asyncio.Event,
) -> None:
    with contextlib.suppress(TimeoutError):
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                message = await stream.recv_message()
            if message is None:
                return
            if handle_message(message):
                wakeup.set()


async def _wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
