import unittest

from carobspring.consensus import (
    Configuration,
    Entry,
    HardState,
    Member,
    MessageReceived,
    Node,
    Snapshot,
    Timing,
)
from carobspring.consensus.messages import AppendReply, AppendRequest
from tests.consensus.simulation import SeededRandom

MEMBERS = Configuration(
    cluster="x",
    members=tuple(Member(identity=name, name=name) for name in "abc"),
)


def make_entries(first: int, *terms: int) -> tuple[Entry, ...]:
    return tuple(
        Entry(index=first + position, term=term) for position, term in enumerate(terms)
    )


def make_follower() -> Node:
    """Return follower b in term 3 with entries of the terms 1, 1, 2, 2."""
    return Node(
        identity="b",
        name="b",
        peers=frozenset("abc"),
        bootstrap=False,
        timing=Timing(),
        random=SeededRandom("follower"),
        snapshot=Snapshot(configuration=MEMBERS),
        entries=make_entries(1, 1, 1, 2, 2),
        hard_state=HardState(term=3),
        now=0.0,
    )


class FollowerTest(unittest.TestCase):
    def test_entries(self) -> None:
        """Entries are appended where the logs match, replacing conflicts."""
        cases = [
            ("heartbeat", 4, 2, (), (True, 4), (1, 1, 2, 2)),
            ("next one", 4, 2, (3,), (True, 5), (1, 1, 2, 2, 3)),
            ("known already", 1, 1, (1,), (True, 2), (1, 1, 2, 2)),
            ("conflict", 2, 1, (3, 3), (True, 4), (1, 1, 3, 3)),
            ("shorter conflict", 2, 1, (3,), (True, 3), (1, 1, 3)),
            ("other previous term", 4, 3, (3,), (False, 3), (1, 1, 2, 2)),
            ("gap", 7, 3, (3,), (False, 4), (1, 1, 2, 2)),
            ("from the start", 0, 0, (1, 1), (True, 2), (1, 1, 2, 2)),
        ]
        for name, previous, previous_term, terms, answer, kept in cases:
            with self.subTest(name=name):
                node = make_follower()
                request = AppendRequest(
                    sender="a",
                    receiver="b",
                    cluster="x",
                    term=3,
                    previous_index=previous,
                    previous_term=previous_term,
                    entries=make_entries(previous + 1, *terms),
                    commit=0,
                    round=7,
                )
                node.step(MessageReceived(message=request), 0.0)
                actions = node.take_actions(0.0)
                accepted, index = answer
                reply = AppendReply(
                    sender="b",
                    receiver="a",
                    cluster="x",
                    term=3,
                    accepted=accepted,
                    index=index,
                    previous_index=previous,
                    round=7,
                )
                self.assertEqual(actions.messages, (reply,))
                log = node.log.get_range(1, node.log.last_index)
                self.assertEqual(tuple(entry.term for entry in log), kept)

    def test_commit(self) -> None:
        """Only entries known to match the leader's log are committed."""
        cases = [("behind", 2, 1, 9, 2), ("whole", 4, 2, 9, 4), ("part", 4, 2, 3, 3)]
        for name, previous, previous_term, commit, committed in cases:
            with self.subTest(name=name):
                node = make_follower()
                request = AppendRequest(
                    sender="a",
                    receiver="b",
                    cluster="x",
                    term=3,
                    previous_index=previous,
                    previous_term=previous_term,
                    commit=commit,
                )
                node.step(MessageReceived(message=request), 0.0)
                self.assertEqual(node.commit_index, committed)
