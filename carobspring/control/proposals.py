"""Proposal of commands through the leader, from any replica."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec

from carobspring.control.commands import Command, CommandResult
from carobspring.control.errors import ControlError, NoLeaderError, NoQuorumError
from carobspring.ports import Clock, NotLeaderError, QuorumLostError, ReplicatedLog

#: Seconds that a proposal may take, elections included.
PROPOSAL_TIMEOUT_S = 4.0
RETRY_INTERVAL_S = 0.1
#: Seconds after which one attempt is abandoned, so that a proposal does not
#: wait for a crashed or frozen leader after its successor was elected.
ATTEMPT_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True)
class ForwardRequest:
    """A command that another replica forwards to the leader."""

    command: bytes


@dataclass(frozen=True, kw_only=True)
class ForwardReply:
    """The encoded result, or the kind of error.

    ``leader`` names the leader, if known, when the receiver does not lead.
    """

    result: bytes = b""
    error: str = ""
    leader: str = ""


class Peer(ABC):
    """Another replica, to which commands can be forwarded."""

    @abstractmethod
    async def forward(self, request: ForwardRequest, timeout_s: float) -> ForwardReply:
        """Forward a command to be proposed there.

        Raises:
            ConnectionError: The replica did not answer.
        """


class CommandProposer:
    """Commits commands through the leader.

    A command may be proposed twice when a reply is lost. Every kind of
    command is idempotent, so the second proposal has no effect.
    """

    def __init__(
        self, *, log: ReplicatedLog, peers: dict[str, Peer], clock: Clock
    ) -> None:
        self._log = log
        self._peers = peers
        self._clock = clock

    async def propose(self, command: Command) -> CommandResult:
        """Commit a command and return its result.

        Raises:
            NoLeaderError: No leader was found before the timeout; nothing was
                committed.
            NoQuorumError: It is unknown whether the command is committed.
        """
        encoded = msgspec.msgpack.encode(command)
        deadline = self._clock.read_monotonic() + PROPOSAL_TIMEOUT_S
        is_in_doubt = False
        while True:
            try:
                result = await self._attempt(encoded, deadline)
            except ConnectionError:
                is_in_doubt = True
            except QuorumLostError as error:
                raise NoQuorumError from error
            else:
                if result is not None:
                    return result
            if self._clock.read_monotonic() + RETRY_INTERVAL_S >= deadline:
                raise NoQuorumError if is_in_doubt else NoLeaderError
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def handle_forward(self, request: ForwardRequest) -> ForwardReply:
        """Propose a forwarded command if this replica leads."""
        try:
            return ForwardReply(result=await self._log.propose(request.command))
        except NotLeaderError as error:
            return ForwardReply(error="not_leader", leader=error.leader)
        except QuorumLostError:
            return ForwardReply(error="no_quorum")

    async def confirm_read(self) -> None:
        """Wait until everything committed before the call is applied locally.

        Raises:
            NoLeaderError: No leader is known.
            NoQuorumError: The leader could not confirm its leadership in time.
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

    async def _attempt(self, command: bytes, deadline: float) -> CommandResult | None:
        try:
            return _decode_result(await self._log.propose(command))
        except NotLeaderError as error:
            peer = self._peers.get(error.leader)
        if peer is None:
            return None
        remaining_s = max(0.1, deadline - self._clock.read_monotonic())
        timeout_s = min(remaining_s, ATTEMPT_TIMEOUT_S)
        reply = await peer.forward(ForwardRequest(command=command), timeout_s)
        if reply.error == "no_quorum":
            raise QuorumLostError(waited_s=timeout_s)
        return None if reply.error else _decode_result(reply.result)


def _decode_result(encoded: bytes) -> CommandResult:
    return msgspec.msgpack.decode(encoded, type=CommandResult)
