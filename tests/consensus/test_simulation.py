"""Random faults from fixed seeds; the invariants are always checked."""

import unittest

from tests.consensus.simulation import Faults, Simulation
from tests.consensus.storage import MemoryStorage


class RandomFaultTest(unittest.TestCase):
    def test_loss_duplication_and_reordering(self) -> None:
        """Replicas agree if the network loses, repeats or delays messages."""
        cases = [
            ("loss", Faults(loss=0.2)),
            ("duplication", Faults(duplication=0.5, max_delay_s=0.3)),
            ("reordering", Faults(max_delay_s=0.4)),
            ("all", Faults(loss=0.1, duplication=0.3, max_delay_s=0.3)),
        ]
        for name, faults in cases:
            for seed in range(5):
                with self.subTest(name=name, seed=seed):
                    simulation = Simulation(seed=seed).start()
                    simulation.faults = faults
                    self._run_workload(simulation, 100, inject_faults=False)

    def test_crashes_freezes_cuts_and_empty_disks(self) -> None:
        """Replicas agree under crashes, freezes, partitions, lost disks."""
        for seed in range(100, 120):
            with self.subTest(seed=seed):
                names = "abcde" if seed % 3 == 0 else "abc"
                simulation = Simulation(seed=seed, names=names).start()
                simulation.faults = Faults(loss=0.05, duplication=0.1, max_delay_s=0.1)
                self._run_workload(simulation, 150, inject_faults=True)

    def _run_workload(
        self, simulation: Simulation, rounds: int, *, inject_faults: bool
    ) -> None:
        random = simulation.random
        replicas = list(simulation.replicas.values())
        for number in range(rounds):
            replica = random.choice(replicas)
            simulation.propose(b"%d" % number, replica if number % 5 == 0 else None)
            if random.random() < 0.3:
                simulation.read(random.choice(replicas))
            if inject_faults and random.random() < 0.15:
                self._inject_fault(simulation)
            simulation.run(random.random() * 0.3)
        simulation.settle_down()
        self.assertGreater(len(simulation.acknowledged), rounds // 10)

    def _inject_fault(self, simulation: Simulation) -> None:
        random = simulation.random
        replicas = list(simulation.replicas.values())
        replica = random.choice(replicas)
        down = [other for other in replicas if other.driver is None]
        kind = random.choice(
            ["crash", "freeze", "cut", "mend", "mend", "empty", "transfer"]
        )
        if kind == "crash" and replica.driver:
            replica.storage.crash_at = replica.storage.points + random.randint(1, 9)
        elif kind == "freeze":
            replica.frozen = True
        elif kind == "cut":
            pair = random.sample([other.name for other in replicas], 2)
            simulation.faults.cut.add((pair[0], pair[1]))
        elif kind == "transfer":
            simulation.transfer()
        elif (
            kind == "empty"
            and not down
            and all(
                other.driver
                and other.driver.node.configuration.is_voter(other.driver.node.identity)
                for other in replicas
            )
        ):
            replica.crash()
            replica.storage = MemoryStorage(seed=random.randrange(1 << 30))
            replica.start()
        else:
            simulation.mend()
