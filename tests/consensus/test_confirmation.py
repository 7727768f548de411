"""Whether a replica has all that the quorum committed."""

import unittest

from tests.consensus.simulation import SimulatedReplica, Simulation

#: Time in seconds that a message may take.
MAX_DELAY_S = 0.3


def is_current(replica: SimulatedReplica) -> bool:
    """Return whether a running replica holds its state for current."""
    assert replica.driver is not None
    return replica.driver.node.is_current(replica.now)


class ConfirmationTest(unittest.TestCase):
    def check_restart(self, seed: int, *, snapshot_every: int, all_fail: bool) -> None:
        """Restart a follower or all; none counts as current too early."""
        simulation = Simulation(seed=seed, snapshot_every=snapshot_every).start()
        simulation.commit(b"first")
        replicas = list(simulation.replicas.values())
        leader = simulation.find_leader()
        restarted = replicas if all_fail else [r for r in replicas if r is not leader]
        restarted = restarted[: 3 if all_fail else 1]
        simulation.faults.max_delay_s = MAX_DELAY_S
        if not all_fail:
            restarted[0].crash()
        simulation.commit(*(b"%d" % number for number in range(5)))
        # What its leader's last message did not say may be missing.
        simulation.run(simulation.timing.election_timeout_s + MAX_DELAY_S)
        for replica in restarted:
            if replica.driver is not None:
                replica.crash()
        for replica in restarted:
            replica.start()
        for _ in range(250):
            simulation.run(0.02)
            for replica in restarted:
                if is_current(replica):
                    missing = set(simulation.acknowledged) - set(
                        replica.machine.commands
                    )
                    self.assertEqual(missing, set(), replica.name)
        simulation.faults.max_delay_s = 0.01
        simulation.run(3.0)
        current = [is_current(replica) for replica in replicas]
        self.assertEqual(current, [True] * 3)

    def test_restarted_replica_is_current_once_it_has_caught_up(self) -> None:
        """A replica never counts as current without an acknowledged command.

        It hears its leader before it has the entries that were committed
        while it was down, and a new leader does not know all that is
        committed.
        """
        for all_fail in (False, True):
            for snapshot_every in (2, 40):
                for seed in range(90, 100):
                    with self.subTest(
                        seed=seed, snapshot_every=snapshot_every, all_fail=all_fail
                    ):
                        self.check_restart(
                            seed, snapshot_every=snapshot_every, all_fail=all_fail
                        )

    def test_replica_without_a_quorum_is_not_current(self) -> None:
        """A replica that is left alone stops counting as current."""
        simulation = Simulation(seed=120).start()
        simulation.commit(b"first")
        simulation.run(1.0)
        current = [is_current(replica) for replica in simulation.replicas.values()]
        alone, *others = simulation.replicas.values()
        for replica in others:
            replica.crash()
        simulation.run(3.0)
        self.assertEqual((current, is_current(alone)), ([True] * 3, False))


if __name__ == "__main__":
    unittest.main()
