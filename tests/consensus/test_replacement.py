"""Replicas that are lost for good, one after the other, with spares."""

import random
import unittest

from carobspring.consensus import Timing
from tests.consensus.simulation import SimulatedReplica, Simulation

#: Time in which a successor has to take a lost replica's place.
CATCH_UP_S = 4.0
TIMING = Timing(replace_after_s=CATCH_UP_S / 2)


def find_voters(simulation: Simulation) -> set[str]:
    """Return the names of the voters, as the leader knows them."""
    leader = simulation.find_leader()
    if leader is None or leader.driver is None:
        return set()
    members = leader.driver.node.configuration.members
    return {member.name for member in members if member.voter}


class LostReplicaTest(unittest.TestCase):
    def make_simulation(self, seed: int) -> Simulation:
        simulation = Simulation(seed=seed, timing=TIMING).start()
        simulation.commit(b"first")
        return simulation

    def find_follower(self, simulation: Simulation) -> SimulatedReplica:
        leader = simulation.find_leader()
        return next(
            replica for replica in simulation.replicas.values() if replica is not leader
        )

    def test_election_does_not_hide_a_lost_voter(self) -> None:
        """A voter is replaced although leaders change during its silence."""
        for seed in range(40, 44):
            with self.subTest(seed=seed):
                simulation = self.make_simulation(seed)
                lost = self.find_follower(simulation)
                lost.crash()
                simulation.add_spare("d")
                for _ in range(3):
                    simulation.run_until(lambda: simulation.find_leader() is not None)
                    simulation.run(TIMING.replace_after_s / 4)
                    leader = simulation.find_leader()
                    if leader is None or "d" in find_voters(simulation):
                        continue
                    leader.crash()
                    leader.start()
                self.assertEqual(find_voters(simulation), {*"abcd"} - {lost.name}, seed)

    def test_emptied_disk_after_the_successor_caught_up(self) -> None:
        """A disk may be lost once a successor had its time."""
        for seed in range(50, 56):
            with self.subTest(seed=seed):
                simulation = self.make_simulation(seed)
                self.find_follower(simulation).crash()
                simulation.add_spare("d")
                simulation.run(CATCH_UP_S)
                simulation.commit(b"second")
                leader = simulation.find_leader()
                assert leader is not None
                simulation.empty_disk(leader)
                simulation.commit(b"third")

    def test_replaced_voter_returns_as_a_spare(self) -> None:
        """A voter that returns after its replacement replaces the next."""
        simulation = self.make_simulation(60)
        first = self.find_follower(simulation)
        first.crash()
        simulation.add_spare("d")
        simulation.run(CATCH_UP_S)
        first.start()
        simulation.run(CATCH_UP_S)
        self.assertNotIn(first.name, find_voters(simulation))
        second = self.find_follower(simulation)
        if second is first:
            second = simulation.replicas["d"]
        second.crash()
        simulation.run(CATCH_UP_S)
        self.assertEqual(find_voters(simulation), {*"abcd"} - {second.name})
        simulation.commit(b"second")

    def test_returning_voter_stays(self) -> None:
        """A voter that returns before its replacement keeps its vote."""
        simulation = self.make_simulation(61)
        lost = self.find_follower(simulation)
        lost.crash()
        simulation.add_spare("d")
        simulation.run(TIMING.replace_after_s * 0.8)
        lost.start()
        simulation.run(CATCH_UP_S)
        self.assertEqual(find_voters(simulation), {*"abc"})

    def test_leaving_voter_is_replaced_at_once(self) -> None:
        """A spare has the place of a stopping voter before its silence."""
        simulation = self.make_simulation(62)
        leaving = self.find_follower(simulation)
        assert leaving.driver is not None
        leaving.driver.node.start_leaving()
        simulation.run(TIMING.hello_interval_s)
        self.assertEqual(find_voters(simulation), {*"abc"})
        simulation.add_spare("d")
        simulation.run(TIMING.hello_interval_s)
        self.assertEqual(find_voters(simulation), {*"abcd"} - {leaving.name})

    def test_losses_in_series(self) -> None:
        """The cluster commits after each of many single losses."""
        for seed in range(70, 80):
            with self.subTest(seed=seed):
                simulation = self.make_simulation(seed)
                draw = random.Random(seed)
                spares = [simulation.add_spare(name) for name in "de"]
                for number in range(8):
                    replica = draw.choice(list(simulation.replicas.values()))
                    fault = draw.choice(("lost", "emptied", "restarted", "frozen"))
                    if fault == "emptied":
                        simulation.empty_disk(replica)
                    elif fault == "frozen":
                        replica.frozen = True
                    else:
                        replica.crash()
                        if fault == "restarted":
                            replica.start()
                    simulation.run(CATCH_UP_S)
                    simulation.commit(b"%d" % number)
                    replica.thaw()
                    if replica.driver is None:
                        replica.start()
                    simulation.run(CATCH_UP_S)
                    self.assertEqual(len(find_voters(simulation)), 3, fault)
                self.assertEqual(len(spares), 2)
                self.assertLessEqual(
                    {b"%d" % number for number in range(8)},
                    set(simulation.acknowledged),
                )


if __name__ == "__main__":
    unittest.main()
