import unittest

from carobspring.adapters.clock import SystemRandom
from carobspring.consensus.entries import HardState, Snapshot
from carobspring.consensus.events import Tick
from carobspring.consensus.node import Node
from carobspring.consensus.state import RoleName, Timing

TICK_S = 0.05


def build_node(peers: frozenset[str]) -> Node:
    """Return a replica that may bootstrap, with an empty disk, at time 0."""
    return Node(
        identity="identity-a",
        name="a",
        peers=peers,
        bootstrap=True,
        timing=Timing(),
        random=SystemRandom(seed=1),
        snapshot=Snapshot(),
        entries=(),
        hard_state=HardState(),
        now=0.0,
    )


class BootstrapTests(unittest.TestCase):
    def test_bootstrap_without_hellos(self):
        """A lone replica bootstraps and leads; one with peers waits."""
        cases = {
            "alone": (frozenset(), RoleName.LEADER),
            "named in its own peers": (frozenset({"a"}), RoleName.LEADER),
            "with peers": (frozenset({"a", "b", "c"}), RoleName.FOLLOWER),
        }
        for name, (peers, role) in cases.items():
            with self.subTest(name):
                node = build_node(peers)
                for tick in range(80):
                    now = tick * TICK_S
                    node.step(Tick(), now)
                    node.take_actions(now)
                self.assertEqual(node.role, role)
