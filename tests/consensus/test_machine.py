"""Faults in any order, searched by hypothesis over the simulation."""

import unittest

from hypothesis import HealthCheck, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests.consensus.simulation import Faults, SimulatedReplica, Simulation
from tests.consensus.storage import MemoryStorage

NAMES = strategies.sampled_from("abc")


class ClusterMachine(RuleBasedStateMachine):
    """Every step of the simulation checks what must always hold."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation(seed=1, snapshot_every=4).start()
        self.count = 0

    def find(self, name: str) -> SimulatedReplica:
        return self.simulation.replicas[name]

    @rule(seconds=strategies.sampled_from([0.02, 0.1, 0.5, 2.0]))
    def run_for(self, seconds: float) -> None:
        self.simulation.run(seconds)

    @rule(name=NAMES)
    def propose(self, name: str) -> None:
        self.count += 1
        self.simulation.propose(b"%d" % self.count, self.find(name))

    @rule(name=NAMES)
    def read(self, name: str) -> None:
        if not self.find(name).frozen:
            self.simulation.read(self.find(name))

    @rule(name=NAMES, points=strategies.integers(1, 12))
    def crash_at_write_point(self, name: str, points: int) -> None:
        storage = self.find(name).storage
        storage.crash_at = storage.points + points

    @rule(name=NAMES)
    def freeze(self, name: str) -> None:
        self.find(name).frozen = True

    @rule(one=NAMES, other=NAMES)
    def cut(self, one: str, other: str) -> None:
        self.simulation.faults.cut.add((one, other))

    @rule(loss=strategies.sampled_from([0.0, 0.1, 0.5]))
    def lose_messages(self, loss: float) -> None:
        cut = self.simulation.faults.cut
        self.simulation.faults = Faults(
            loss=loss, duplication=loss, max_delay_s=loss, cut=cut
        )

    @rule()
    def transfer(self) -> None:
        self.simulation.transfer()

    @rule()
    def mend(self) -> None:
        self.simulation.mend()

    @precondition(lambda self: self.all_vote())
    @rule(name=NAMES)
    def empty_disk(self, name: str) -> None:
        replica = self.find(name)
        replica.crash()
        replica.storage = MemoryStorage(seed=self.count)
        replica.start()

    def all_vote(self) -> bool:
        """Say whether a disk may be lost without losing the quorum."""
        for replica in self.simulation.replicas.values():
            if replica.driver is None or replica.storage.crash_at is not None:
                return False
            node = replica.driver.node
            if not node.configuration.is_voter(node.identity):
                return False
        return True

    def teardown(self) -> None:
        self.simulation.settle_down()


ClusterMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class ClusterMachineTest(ClusterMachine.TestCase, unittest.TestCase):
    """Replicas agree after any sequence of faults."""
