import unittest
from collections.abc import Callable

import msgspec

from carobspring.control import Command, CommandProposer, CommandResult, Peer
from carobspring.control.admin import AdminRequest
from carobspring.control.admin_routes import AdminRoutes
from carobspring.control.errors import NoLeaderError, NoQuorumError
from carobspring.control.proposals import ForwardReply, ForwardRequest
from carobspring.control.state import ControlState
from carobspring.ports import (
    Clock,
    NotLeaderError,
    QuorumLostError,
    ReplicatedLog,
)

RESULT = CommandResult(count=3)
ENCODED = msgspec.msgpack.encode(RESULT)
OTHER_LEADER = NotLeaderError(leader="c2")
NO_LEADER = NotLeaderError(leader="")
QUORUM_LOST = QuorumLostError(waited_s=1.0)


class ScriptedClock(Clock):
    """A clock that advances by one second with each reading."""

    def __init__(self) -> None:
        self.now = 0.0

    def read_monotonic(self) -> float:
        self.now += 1.0
        return self.now

    def read_wall_ms(self) -> int:
        return 0


class ScriptedLog(ReplicatedLog):
    """Answers from a list; the last item is repeated."""

    def __init__(self, *answers: bytes | Exception) -> None:
        self.answers = list(answers)
        self.on_confirm: Callable[[], None] = lambda: None

    def next_answer(self) -> bytes:
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def propose(self, command: bytes) -> bytes:
        return self.next_answer()

    async def confirm_read(self) -> None:
        self.next_answer()
        self.on_confirm()

    def find_leader(self) -> str:
        return ""

    def is_leader(self) -> bool:
        return False


class ScriptedPeer(Peer):
    """Replies from a list; the last item is repeated."""

    def __init__(self, *answers: ForwardReply | Exception) -> None:
        self.answers = list(answers)
        self.requests: list[ForwardRequest] = []

    async def forward(self, request: ForwardRequest, timeout_s: float) -> ForwardReply:
        self.requests.append(request)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_proposer(log: ReplicatedLog, peer: Peer | None = None) -> CommandProposer:
    peers = {"c2": peer} if peer is not None else {}
    return CommandProposer(log=log, peers=peers, clock=ScriptedClock())


class ProposerTests(unittest.IsolatedAsyncioTestCase):
    async def test_proposals(self):
        """A command is sent to the current leader until the timeout."""
        done = ForwardReply(result=ENCODED)
        moved = ForwardReply(error="not_leader")
        lost = ForwardReply(error="no_quorum")
        gone = ConnectionError()
        cases = {
            "leads": ([ENCODED], [gone], RESULT),
            "other leads": ([OTHER_LEADER], [done], RESULT),
            "no leader at first": ([NO_LEADER, ENCODED], [gone], RESULT),
            "leader changed": ([OTHER_LEADER], [moved, done], RESULT),
            "leader crashed": ([OTHER_LEADER, ENCODED], [gone], RESULT),
            "no leader": ([NO_LEADER], [gone], NoLeaderError),
            "other replica knows no leader": ([OTHER_LEADER], [moved], NoLeaderError),
            "in doubt": ([OTHER_LEADER], [gone], NoQuorumError),
            "quorum lost": ([QUORUM_LOST], [gone], NoQuorumError),
            "quorum lost at the leader": ([OTHER_LEADER], [lost], NoQuorumError),
        }
        for name, (answers, replies, expected) in cases.items():
            with self.subTest(name):
                proposer = make_proposer(ScriptedLog(*answers), ScriptedPeer(*replies))
                if isinstance(expected, CommandResult):
                    self.assertEqual(await proposer.propose(Command()), expected)
                else:
                    with self.assertRaises(expected):
                        await proposer.propose(Command())

    async def test_forwarded_commands(self):
        """The leader proposes forwarded commands and never forwards them."""
        cases = {
            "leads": (ENCODED, ForwardReply(result=ENCODED)),
            "moved": (OTHER_LEADER, ForwardReply(error="not_leader", leader="c2")),
            "lost": (QUORUM_LOST, ForwardReply(error="no_quorum")),
        }
        for name, (answer, expected) in cases.items():
            with self.subTest(name):
                peer = ScriptedPeer(ForwardReply(result=ENCODED))
                proposer = make_proposer(ScriptedLog(answer), peer)
                reply = await proposer.handle_forward(ForwardRequest(command=b""))
                self.assertEqual((reply, peer.requests), (expected, []))

    async def test_reads(self):
        """A read waits for a leader and fails without one."""
        cases = {
            "confirmed": ([b""], None),
            "later": ([NO_LEADER, QUORUM_LOST, b""], None),
            "no leader": ([NO_LEADER], NoLeaderError),
            "lost": ([QUORUM_LOST], NoQuorumError),
        }
        for name, (answers, expected) in cases.items():
            with self.subTest(name):
                proposer = make_proposer(ScriptedLog(*answers))
                if expected is None:
                    self.assertIsNone(await proposer.confirm_read())
                else:
                    with self.assertRaises(expected):
                        await proposer.confirm_read()

    async def test_reads_are_confirmed(self):
        """State that an operator reads is first confirmed with the leader."""
        for name in ("read_settings", "read_status", "read_audit", "read_quarantine"):
            with self.subTest(name):
                log = ScriptedLog(b"")
                confirmed: list[str] = []
                log.on_confirm = lambda: confirmed.append("yes")
                clock = ScriptedClock()
                state = ControlState(replica_id="c1", clock=clock)
                routes = AdminRoutes(state=state, proposer=make_proposer(log), log=log)
                request = AdminRequest(operator="anna", body=b"", query={})
                await getattr(routes, name)(request)
                self.assertEqual(confirmed, ["yes"])
