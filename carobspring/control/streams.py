"""The long-lived streams of agents and entries."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from grpclib import GRPCError, Status
from grpclib.server import Stream

from carobspring.adapters import paths
from carobspring.adapters.rpc import RpcService, make_stream
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
#: A peer that is silent for this long is taken for gone.
SILENCE_TIMEOUT_S = 5.0


class WatchService:
    """Serves the agents' and the entries' streams of this replica."""

    def __init__(
        self,
        *,
        state: ControlState,
        proposer: CommandProposer,
        is_confirmed: Callable[[], bool] | None = None,
    ) -> None:
        """Serve streams.

        Args:
            state: What the streams tell of.
            proposer: Confirms reads and commits strikes.
            is_confirmed: Says whether the state is kept up with the quorum.
                When given, entries get what is known before it is confirmed,
                marked as such; without it they are refused until then.
        """
        self._state = state
        self._proposer = proposer
        self._is_confirmed = is_confirmed
        #: Strikes on their way to the log; reports don't wait for them.
        self._chores: set[asyncio.Task[None]] = set()

    def build_service(self) -> RpcService:
        """Return the gRPC methods."""
        return RpcService(
            [
                make_stream(
                    paths.WATCH_AGENT, self.watch_agent, AgentReport, AgentUpdate
                ),
                make_stream(
                    paths.WATCH_ENTRY, self.watch_entry, EntryReport, ViewUpdate
                ),
            ]
        )

    async def watch_agent(self, stream: Stream[AgentReport, AgentUpdate]) -> None:
        """Take an agent's reports and send it orders until either ends."""
        session = AgentSession(state=self._state)

        def note(report: AgentReport) -> None:
            session.handle_report(report)
            self._commit_strikes(report)

        try:
            notifier = self._state.agent_notifier
            await self._run(stream, note, session.build_order, notifier)
        finally:
            session.close()

    async def watch_entry(self, stream: Stream[EntryReport, ViewUpdate]) -> None:
        """Send an entry the view and its changes until either ends."""
        if self._is_confirmed is None:
            try:
                await self._proposer.confirm_read()
            except ControlError as error:
                raise GRPCError(Status.UNAVAILABLE, error.message) from error
            session = EntrySession(state=self._state)
        else:
            session = EntrySession(state=self._state, is_confirmed=self._is_confirmed)

        notifier = self._state.entry_notifier
        await self._run(stream, session.handle_report, session.build_update, notifier)

    async def _run(
        self,
        stream: Stream[Any, Any],
        note: Callable[[Any], None],
        write: Callable[[], Any],
        notifier: StreamNotifier,
    ) -> None:
        wake = notifier.subscribe()
        wake.set()
        # Whichever ends first ends the other: a peer that hangs may read no
        # more, so that its writer would wait for ever.
        tasks = {
            asyncio.create_task(_read_all(stream, note)),
            asyncio.create_task(self._write_all(stream, write, wake)),
        }
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            notifier.unsubscribe(wake)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _write_all(
        self, stream: Stream[Any, Any], write: Callable[[], Any], wake: asyncio.Event
    ) -> None:
        while not self._state.draining:
            await _wait(wake, HEARTBEAT_INTERVAL_S)
            wake.clear()
            await stream.send_message(write())

    def _commit_strikes(self, report: AgentReport) -> None:
        # An agent repeats its strikes, so what is lost here comes again.
        new = self._state.machine.strikes.find_unknown(report.strikes)
        if new and not self._chores:
            chore = asyncio.create_task(self._propose_strikes(new))
            self._chores.add(chore)
            chore.add_done_callback(self._chores.discard)

    async def _propose_strikes(self, strikes: tuple[Strike, ...]) -> None:
        with contextlib.suppress(ControlError):
            await self._proposer.propose(Command(strikes=strikes))


async def _read_all(stream: Stream[Any, Any], note: Callable[[Any], None]) -> None:
    with contextlib.suppress(TimeoutError):
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                message = await stream.recv_message()
            if message is None:
                return
            note(message)


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
