"""Each failure that the log must survive, brought about on its own."""

import unittest

from carobspring.consensus import CorruptRecordError, MessageReceived, RoleName
from carobspring.consensus.messages import VoteRequest
from tests.consensus.simulation import Faults, SimulatedReplica, Simulation
from tests.consensus.storage import MemoryStorage


def name_commands(prefix: str, count: int) -> list[bytes]:
    return [f"{prefix}{number}".encode() for number in range(count)]


class DiskFailureTest(unittest.TestCase):
    def test_kill_at_every_write_point(self) -> None:
        """No command that was acknowledged is lost, wherever the kill hits."""
        for victim_leads in (True, False):
            points = self._run_with_crash(victim_leads=victim_leads, point=None)
            self.assertGreater(points, 40)
            for point in range(1, points + 1):
                with self.subTest(victim_leads=victim_leads, point=point):
                    self._run_with_crash(victim_leads=victim_leads, point=point)

    def _run_with_crash(self, *, victim_leads: bool, point: int | None) -> int:
        simulation = Simulation(seed=7, snapshot_every=5).start()
        leader = simulation.find_leader()
        assert leader is not None
        others = [r for r in simulation.replicas.values() if r is not leader]
        victim = leader if victim_leads else others[0]
        storage = victim.storage
        storage.points = 0
        storage.crash_at = point
        simulation.commit(*name_commands("x", 12))
        points = storage.points
        simulation.settle_down()
        return points

    def test_full_disk(self) -> None:
        """A replica without room stops and acknowledges nothing more."""
        for room in (0, 10, 200):
            with self.subTest(room=room):
                simulation = Simulation(seed=3).start()
                leader = simulation.find_leader()
                assert leader is not None
                leader.storage.room = room
                simulation.commit(*name_commands("x", 10))
                self.assertIs(leader.failed, True)
                leader.storage.room = None
                leader.crash()
                simulation.settle_down()

    def test_failed_sync(self) -> None:
        """A replica whose sync failed stops, and never tries it again."""
        simulation = Simulation(seed=4).start()
        leader = simulation.find_leader()
        assert leader is not None
        leader.storage.fails_sync = True
        simulation.propose(b"x", leader)
        self.assertIs(leader.failed, True)
        leader.storage.fails_sync = False
        simulation.commit(b"y")
        self.assertIs(leader.failed, True)
        leader.crash()
        simulation.settle_down()

    def test_flipped_bit(self) -> None:
        """A replica whose log was changed refuses to start."""
        simulation = Simulation(seed=5, snapshot_every=1000).start()
        simulation.commit(*name_commands("x", 10))
        replica = simulation.replicas["b"]
        replica.crash()
        name = replica.storage.list_names()[-1]
        size = len(replica.storage.files[name])
        for offset in range(size):
            with self.subTest(offset=offset):
                replica.storage.flip_bit(name, offset)
                with self.assertRaises(CorruptRecordError) as caught:
                    replica.start()
                self.assertEqual(caught.exception.file, name)
                self.assertLessEqual(caught.exception.offset, offset)
                replica.storage.flip_bit(name, offset)


class EmptyDiskTest(unittest.TestCase):
    def _empty(self, replica: SimulatedReplica) -> str:
        """Replace a replica's disk by an empty one and start it."""
        assert replica.driver is not None
        lost = replica.driver.node.identity
        replica.crash()
        replica.storage = MemoryStorage(seed=9)
        replica.start()
        assert replica.driver is not None
        self.assertNotEqual(replica.driver.node.identity, lost)
        return lost

    def test_replaced_by_an_empty_one(self) -> None:
        """It gets a vote under a new identity, and the old one loses its."""
        for name in "abc":
            with self.subTest(name=name):
                simulation = Simulation(seed=11).start()
                simulation.commit(*name_commands("x", 100))
                replica = simulation.replicas[name]
                lost = self._empty(replica)
                simulation.commit(b"y")
                simulation.settle_down()
                assert replica.driver is not None
                members = replica.driver.node.configuration
                self.assertIsNone(members.find_member(lost))
                self.assertEqual(len(members.find_voters()), 3)

    def test_no_vote_until_caught_up(self) -> None:
        """An empty disk and one more replica elect nobody.

        Else entries that only the third one holds would be lost.
        """
        simulation = Simulation(seed=12).start()
        leader = simulation.find_leader()
        assert leader is not None
        names = [name for name in "abc" if name != leader.name]
        behind, emptied = (simulation.replicas[name] for name in names)
        pair = {(leader.name, behind.name), (behind.name, leader.name)}
        simulation.faults.cut = set(pair)
        simulation.commit(*name_commands("x", 5))
        leader.crash()
        self._empty(emptied)
        simulation.run(60.0)
        self.assertIsNone(simulation.find_leader())
        assert emptied.driver is not None
        self.assertEqual(emptied.driver.node.vote, "")
        simulation.settle_down()

    def test_empty_replica_is_asked_for_its_vote(self) -> None:
        """It gives none, even when it's asked under its new identity."""
        simulation = Simulation(seed=14)
        replica = simulation.replicas["b"]
        replica.start()
        assert replica.driver is not None
        simulation.run(3.0)
        node = replica.driver.node
        request = VoteRequest(
            sender="x",
            receiver=node.identity,
            cluster="y",
            term=9,
            last_index=5,
            last_term=5,
        )
        replica.run(MessageReceived(message=request))
        self.assertEqual((node.term, node.vote), (0, ""))

    def test_all_but_one_emptied(self) -> None:
        """Emptied replicas found no second cluster beside the third one."""
        simulation = Simulation(seed=13).start()
        simulation.commit(b"x")
        simulation.replicas["c"].crash()
        self._empty(simulation.replicas["a"])
        self._empty(simulation.replicas["b"])
        simulation.run(60.0)
        self.assertIsNone(simulation.find_leader())
        simulation.replicas["c"].start()
        simulation.run(60.0)
        self.assertIsNone(simulation.find_leader())

    def test_second_one_lost_after_a_repair(self) -> None:
        """The repaired replica counts for the quorum at once."""
        for seed in range(20, 26):
            with self.subTest(seed=seed):
                simulation = Simulation(seed=seed).start()
                simulation.commit(*name_commands("x", 30))
                repaired, second = simulation.replicas["b"], simulation.replicas["c"]
                self._empty(repaired)

                def has_vote() -> bool:
                    leader = simulation.find_leader()
                    if leader is None or leader.driver is None:
                        return False
                    node = leader.driver.node
                    assert repaired.driver is not None
                    identity = repaired.driver.node.identity
                    settled = node.commit_index >= node.log.configuration_index
                    return settled and node.configuration.is_voter(identity)

                simulation.run_until(has_vote)
                second.crash()
                simulation.commit(b"y")
                simulation.settle_down()

    def test_leader_lost_before_the_repaired_one_hears_of_its_vote(self) -> None:
        """The repaired replica votes though it does not know that it may.

        Only the leader and the second replica hold the promotion; without
        the repaired one's vote, the second one could never lead.
        """
        simulation = Simulation(seed=27).start()
        simulation.commit(b"x")
        leader = simulation.find_leader()
        assert leader is not None and leader.driver is not None
        node = leader.driver.node
        names = [name for name in "abc" if name != leader.name]
        repaired, second = (simulation.replicas[name] for name in names)
        lost = self._empty(repaired)
        assert repaired.driver is not None and second.driver is not None
        identity = repaired.driver.node.identity
        simulation.run_until(lambda: node.configuration.find_member(lost) is None)
        simulation.faults.cut = {(leader.name, repaired.name)}
        simulation.run_until(lambda: node.configuration.is_voter(identity))
        simulation.run(0.1)
        known = second.driver.node.configuration
        self.assertIs(known.is_voter(identity), True)
        unaware = repaired.driver.node.configuration
        self.assertIs(unaware.is_voter(identity), False)
        leader.crash()
        simulation.faults.cut.clear()
        simulation.commit(b"y")
        simulation.settle_down()


class CutLeaderTest(unittest.TestCase):
    def test_frozen_leader_comes_back(self) -> None:
        """It reads nothing stale, does not reign and forces no election."""
        for seed in range(30, 36):
            with self.subTest(seed=seed):
                simulation = Simulation(seed=seed).start()
                simulation.commit(b"x")
                old = simulation.find_leader()
                assert old is not None and old.driver is not None
                old.frozen = True
                simulation.run(5.0)
                simulation.commit(b"y")
                elections = simulation.elections
                self.assertIs(old.driver.node.is_leader(simulation.now), False)
                old.frozen = False
                simulation.read(old)
                simulation.propose(b"z", old)
                old.thaw()
                simulation.run(10.0)
                self.assertEqual(simulation.elections, elections)
                self.assertIs(old.driver.node.role, RoleName.FOLLOWER)
                self.assertNotIn(b"z", simulation.acknowledged)
                simulation.settle_down()

    def test_cut_off_leader_comes_back(self) -> None:
        """It steps down by itself; its return raises no term."""
        for directions in ("both", "in", "out"):
            with self.subTest(directions=directions):
                simulation = Simulation(seed=41).start()
                simulation.commit(b"x")
                old = simulation.find_leader()
                assert old is not None and old.driver is not None
                others = [name for name in "abc" if name != old.name]
                cut = set()
                if directions in ("both", "out"):
                    cut |= {(old.name, name) for name in others}
                if directions in ("both", "in"):
                    cut |= {(name, old.name) for name in others}
                simulation.faults.cut = cut
                simulation.run(1.0)
                self.assertIs(old.driver.node.role is RoleName.LEADER, False)
                simulation.run(29.0)
                simulation.commit(b"y")
                leader = simulation.find_leader()
                assert leader is not None and leader.driver is not None
                term = leader.driver.node.term
                simulation.read(old)
                simulation.faults = Faults()
                simulation.read(old)
                simulation.run(10.0)
                self.assertEqual(leader.driver.node.term, term)
                simulation.settle_down()

    def test_leader_whose_clock_stood_still(self) -> None:
        """It reads nothing stale: a read rests on answers, not on time."""
        simulation = Simulation(seed=42).start()
        simulation.commit(b"x")
        old = simulation.find_leader()
        assert old is not None
        old.frozen = True
        frozen_at = simulation.now
        simulation.run(5.0)
        simulation.commit(b"y")
        old.clock_lag_s = simulation.now - frozen_at
        simulation.read(old)
        old.thaw()
        simulation.run(10.0)
        simulation.settle_down()

    def test_replica_that_does_not_hear_the_leader(self) -> None:
        """The others hear the leader, so it takes nothing over."""
        simulation = Simulation(seed=43).start()
        simulation.commit(b"x")
        leader = simulation.find_leader()
        assert leader is not None and leader.driver is not None
        term = leader.driver.node.term
        deaf = next(name for name in "abc" if name != leader.name)
        simulation.faults.cut = {(leader.name, deaf)}
        simulation.run(30.0)
        self.assertIs(simulation.find_leader(), leader)
        self.assertEqual(leader.driver.node.term, term)
        simulation.settle_down()

    def test_planned_handover(self) -> None:
        """Another replica leads within two heartbeats, nothing is lost."""
        simulation = Simulation(seed=50).start()
        simulation.commit(b"x")
        old = simulation.find_leader()
        simulation.transfer()
        simulation.run(0.3)
        leader = simulation.find_leader()
        self.assertIsNotNone(leader)
        self.assertIsNot(leader, old)
        simulation.settle_down()


class LongLogTest(unittest.TestCase):
    def test_restart_after_hundreds_of_entries(self) -> None:
        """All replicas restart, with snapshots and without, losing nothing."""
        for snapshot_every in (50, 100_000):
            with self.subTest(snapshot_every=snapshot_every):
                simulation = Simulation(seed=60, snapshot_every=snapshot_every).start()
                for number in range(600):
                    simulation.propose(b"x%d" % number)
                    simulation.run(0.02)
                self.assertGreater(len(simulation.acknowledged), 590)
                for replica in simulation.replicas.values():
                    replica.crash()
                simulation.settle_down()
