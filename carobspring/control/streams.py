"""The long-lived streams of agents and entries."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

from grpclib import GRPCError, Status
from grpclib.server import Stream

from carobspring.adapters import paths
from carobspring.adapters.rpc import RpcService, make_stream
from carobspring.control.commands import Command
from carobspring.control.errors import ControlError
from carobspring.control.proposals import CommandProposer
from carobspring.control.sessions import AgentSession, EntrySession
from carobspring.control.state import ControlState, Wakeups
from carobspring.protocol import AgentOrder, AgentReport, EntryReport, ViewUpdate

HEARTBEAT_INTERVAL_S = 1.0
#: A peer that is silent for this long is taken for gone.
SILENCE_TIMEOUT_S = 5.0


class WatchService:
    """Serves the agents' and the entries' streams of this replica."""

    def __init__(self, *, state: ControlState, proposer: CommandProposer) -> None:
        self._state = state
        self._proposer = proposer

    def build_service(self) -> RpcService:
        """Return the gRPC methods."""
        return RpcService(
            [
                make_stream(
                    paths.WATCH_AGENT, self.watch_agent, AgentReport, AgentOrder
                ),
                make_stream(
                    paths.WATCH_ENTRY, self.watch_entry, EntryReport, ViewUpdate
                ),
            ]
        )

    async def watch_agent(self, stream: Stream[AgentReport, AgentOrder]) -> None:
        """Take an agent's reports and send it orders until either ends."""
        session = AgentSession(state=self._state)

        async def note(report: AgentReport) -> None:
            session.note_report(report)
            # An agent repeats its strikes, so what is lost here comes again.
            new = self._state.machine.strikes.find_new(report.strikes)
            if new:
                with contextlib.suppress(ControlError):
                    await self._proposer.propose(Command(strikes=new))

        try:
            wakeups = self._state.agent_wakeups
            await self._run(stream, note, session.write_order, wakeups)
        finally:
            session.close()

    async def watch_entry(self, stream: Stream[EntryReport, ViewUpdate]) -> None:
        """Send an entry the view and its changes until either ends."""
        try:
            await self._proposer.confirm_read()
        except ControlError as error:
            raise GRPCError(Status.UNAVAILABLE, error.message) from error
        session = EntrySession(state=self._state)

        async def note(report: EntryReport) -> None:
            session.note_report(report)

        wakeups = self._state.entry_wakeups
        await self._run(stream, note, session.write_update, wakeups)

    async def _run(
        self,
        stream: Stream[Any, Any],
        note: Callable[[Any], Awaitable[None]],
        write: Callable[[], Any],
        wakeups: Wakeups,
    ) -> None:
        wake = wakeups.open()
        wake.set()
        reader = asyncio.ensure_future(_read_all(stream, note, wake))
        try:
            while not reader.done() and not self._state.draining:
                await _wait(wake, HEARTBEAT_INTERVAL_S)
                wake.clear()
                if not reader.done():
                    await stream.send_message(write())
            if reader.done():
                reader.result()
        finally:
            wakeups.close(wake)
            reader.cancel()


async def _read_all(
    stream: Stream[Any, Any],
    note: Callable[[Any], Awaitable[None]],
    wake: asyncio.Event,
) -> None:
    try:
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                message = await stream.recv_message()
            if message is None:
                return
            await note(message)
    except TimeoutError:
        return
    finally:
        wake.set()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
