import random
import unittest

from carobspring.consensus import (
    HardState,
    LogSynced,
    Node,
    RoleName,
    Snapshot,
    TimePassed,
    Timing,
)
from carobspring.ports import RandomSource


class SeededRandom(RandomSource):
    def __init__(self):
        self._random = random.Random(1)

    def draw_uniform(self):
        return self._random.random()

    def draw_index(self, count):
        return self._random.randrange(count)


class FoundingAloneTests(unittest.TestCase):
    def build_node(self, founding):
        return Node(
            identity="a",
            name="one",
            peers=frozenset({"one"}),
            founding=founding,
            timing=Timing(),
            random=SeededRandom(),
            snapshot=Snapshot(),
            entries=(),
            hard_state=HardState(),
            now=0.0,
        )

    def test_sole_replica(self):
        """A replica without peers leads by itself if it may found."""
        for founding, role in ((True, RoleName.LEADER), (False, RoleName.FOLLOWER)):
            with self.subTest(founding=founding):
                node = self.build_node(founding)
                for now in range(100):
                    node.step(TimePassed(), now / 10)
                    node.take_actions(now / 10)
                    node.step(LogSynced(), now / 10)
                self.assertIs(node.role, role)
