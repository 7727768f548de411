"""Commands on their way to the leader, whichever replica took them."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec

from carobspring.control.commands import Command, CommandResult
from carobspring.control.errors import ControlError, NoLeaderError, NoQuorumError
from carobspring.ports import Clock, NotLeaderError, QuorumLostError, ReplicatedLog

#: Seconds that a command may take, with elections on its way.
PROPOSAL_TIMEOUT_S = 4.0
RETRY_INTERVAL_S = 0.1
#: Seconds after which one attempt is given up, so that a leader that died or
#: froze is not waited for while its successor already reigns.
ATTEMPT_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True)
class ForwardRequest:
    """A command that another replica took and the leader is to propose."""

    command: bytes


@dataclass(frozen=True, kw_only=True)
class ForwardReply:
    """The result, or the kind of error that kept the leader from it."""

    result: bytes = b""
    error: str = ""
    leader: str = ""


class Peer(ABC):
    """Another replica, as the proposer calls it."""

    @abstractmethod
    async def forward(self, request: ForwardRequest, timeout_s: float) -> ForwardReply:
        """Have a command proposed there.

        Raises:
            ConnectionError: The replica did not answer.
        """


class CommandProposer:
    """Commits commands through the leader.

    A command may be proposed twice when an answer is lost on the way; every
    kind of command is idempotent, so this changes nothing.
    """

    def __init__(
        self, *, log: ReplicatedLog, peers: dict[str, Peer], clock: Clock
    ) -> None:
        self._log = log
        self._peers = peers
        self._clock = clock

    async def propose(self, command: Command) -> CommandResult:
        """Commit a command and return what applying it gave.

        Raises:
            NoLeaderError: Nobody led for the whole time; nothing was done.
            NoQuorumError: It is not known whether the command is committed.
        """
        encoded = msgspec.msgpack.encode(command)
        deadline = self._clock.read_monotonic() + PROPOSAL_TIMEOUT_S
        in_doubt = False
        while True:
            try:
                result = await self._try_once(encoded, deadline)
            except ConnectionError:
                in_doubt = True
            except QuorumLostError as error:
                raise NoQuorumError from error
            else:
                if result is not None:
                    return result
            if self._clock.read_monotonic() + RETRY_INTERVAL_S >= deadline:
                raise NoQuorumError if in_doubt else NoLeaderError
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def handle_forward(self, request: ForwardRequest) -> ForwardReply:
        """Propose what another replica took, where this one leads."""
        try:
            return ForwardReply(result=await self._log.propose(request.command))
        except NotLeaderError as error:
            return ForwardReply(error="not_leader", leader=error.leader)
        except QuorumLostError:
            return ForwardReply(error="no_quorum")

    async def confirm_read(self) -> None:
        """Wait until the local state holds all that was committed before.

        Raises:
            NoLeaderError: No leader is known.
            NoQuorumError: The leader could not confirm its reign in time.
        """
        deadline = self._clock.read_monotonic() + PROPOSAL_TIMEOUT_S
        while True:
            error: ControlError
            try:
                async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                    return await self._log.confirm_read()
            except NotLeaderError:
                error = NoLeaderError()
            except (QuorumLostError, TimeoutError):
                error = NoQuorumError()
            if self._clock.read_monotonic() + RETRY_INTERVAL_S >= deadline:
                raise error
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _try_once(self, command: bytes, deadline: float) -> CommandResult | None:
        try:
            return _read_result(await self._log.propose(command))
        except NotLeaderError as error:
            peer = self._peers.get(error.leader)
        if peer is None:
            return None
        left_s = max(0.1, deadline - self._clock.read_monotonic())
        timeout_s = min(left_s, ATTEMPT_TIMEOUT_S)
        reply = await peer.forward(ForwardRequest(command=command), timeout_s)
        if reply.error == "no_quorum":
            raise QuorumLostError(waited_s=timeout_s)
        return None if reply.error else _read_result(reply.result)


def _read_result(encoded: bytes) -> CommandResult:
    return msgspec.msgpack.decode(encoded, type=CommandResult)
