"""Each failure that the log must survive, tested separately."""

import contextlib
import unittest

from carobspring.consensus import (
    CorruptRecordError,
    JournalFailedError,
    MessageReceived,
    RoleName,
)
from carobspring.consensus.messages import VoteRequest
from tests.consensus.simulation import Faults, SimulatedReplica, Simulation
from tests.consensus.storage import MemoryStorage


def make_commands(prefix: str, count: int) -> list[bytes]:
    return [f"{prefix}{number}".encode() for number in range(count)]


class DiskFailureTest(unittest.TestCase):
    def test_kill_at_every_write_point(self) -> None:
        """No acknowledged command is lost, at whichever write the crash is."""
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
        simulation.commit(*make_commands("x", 12))
        points = storage.points
        simulation.settle_down()
        return points

    def test_full_disk(self) -> None:
        """A replica whose disk is full stops and acknowledges nothing more."""
        for free_bytes in (0, 10, 200):
            with self.subTest(free_bytes=free_bytes):
                simulation = Simulation(seed=3).start()
                leader = simulation.find_leader()
                assert leader is not None
                leader.storage.free_bytes = free_bytes
                simulation.commit(*make_commands("x", 10))
                self.assertIs(leader.failed, True)
                leader.storage.free_bytes = None
                leader.crash()
                simulation.settle_down()

    def test_refusal_at_every_write_point(self) -> None:
        """A replica that is reopened in its process goes on with the others.

        Guards against a disk that is full for a while, at whichever write, and
        against one that is still full when the replica is first reopened.
        """
        for victim_leads in (True, False):
            points = self._run_with_refusal(victim_leads=victim_leads, point=None)
            self.assertGreater(points, 40)
            for point in range(1, points + 1):
                with self.subTest(victim_leads=victim_leads, point=point):
                    self._run_with_refusal(victim_leads=victim_leads, point=point)

    def _run_with_refusal(self, *, victim_leads: bool, point: int | None) -> int:
        simulation = Simulation(seed=7, snapshot_every=5).start()
        leader = simulation.find_leader()
        assert leader is not None
        others = [r for r in simulation.replicas.values() if r is not leader]
        victim = leader if victim_leads else others[0]
        storage = victim.storage
        storage.points, storage.refuse_from = 0, point
        simulation.commit(*make_commands("x", 12))
        points = storage.points
        if point is not None and points >= point:
            self.assertIs(victim.failed, True)
            with contextlib.suppress(JournalFailedError):
                victim.start()
            storage.refuse_from = None
            victim.start()
            # Each of the others fails in turn, with no other one failed.
            for other in simulation.replicas.values():
                if other is not victim:
                    other.storage.refuse_from = other.storage.points + 1
                    simulation.commit(b"after " + other.name.encode())
                    simulation.run(1.0)
                    other.storage.refuse_from = None
                    if other.failed:
                        other.start()
        simulation.commit(*make_commands("y", 6))
        simulation.settle_down()
        return points

    def test_power_loss_after_a_kill(self) -> None:
        """What a restarted process confirms survives a loss of power.

        Guards against entries that the process before it wrote, but had not
        synced when it was killed.
        """
        for seed in range(4):
            for point in range(1, 6):
                with self.subTest(seed=seed, point=point):
                    self._run_with_kill_and_power_loss(seed=seed, point=point)

    def _run_with_kill_and_power_loss(self, *, seed: int, point: int) -> None:
        simulation = Simulation(seed=seed, snapshot_every=1000).start()
        leader = simulation.find_leader()
        assert leader is not None
        victim, other = [r for r in simulation.replicas.values() if r is not leader]
        simulation.commit(b"x")
        # The quorum needs the victim.
        other.crash()
        victim.storage.points, victim.storage.crash_at = 0, point
        victim.keeps_unsynced = True
        simulation.propose(b"y", leader)
        simulation.run(0.1)
        victim.storage.crash_at = None
        if victim.driver is None:
            victim.start()
        simulation.run_until(lambda: b"y" in simulation.acknowledged)
        victim.keeps_unsynced = False
        victim.crash()
        leader.crash()
        for replica in (victim, other):
            replica.start()
        simulation.commit(b"z")
        simulation.settle_down()

    def test_failed_sync(self) -> None:
        """A replica whose sync failed stops and never retries it.

        The contents of the disk are unknown after a failed sync.
        """
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
        """A replica whose log file is corrupt refuses to start."""
        simulation = Simulation(seed=5, snapshot_every=1000).start()
        simulation.commit(*make_commands("x", 10))
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
    def _empty_disk(self, replica: SimulatedReplica) -> str:
        """Restart a replica with an empty disk; return its lost identity."""
        assert replica.driver is not None
        lost = replica.driver.node.identity
        replica.crash()
        replica.storage = MemoryStorage(seed=9)
        replica.start()
        assert replica.driver is not None
        self.assertNotEqual(replica.driver.node.identity, lost)
        return lost

    def test_emptied_replica_is_replaced(self) -> None:
        """An emptied replica replaces its old identity as a voter."""
        for name in "abc":
            with self.subTest(name=name):
                simulation = Simulation(seed=11).start()
                simulation.commit(*make_commands("x", 100))
                replica = simulation.replicas[name]
                lost = self._empty_disk(replica)
                simulation.commit(b"y")
                simulation.settle_down()
                assert replica.driver is not None
                members = replica.driver.node.configuration
                self.assertIsNone(members.find_member(lost))
                self.assertEqual(len(members.find_voters()), 3)

    def test_no_vote_until_caught_up(self) -> None:
        """An emptied replica and one that is behind elect no leader.

        Otherwise entries that only the third replica holds would be lost.
        """
        simulation = Simulation(seed=12).start()
        leader = simulation.find_leader()
        assert leader is not None
        names = [name for name in "abc" if name != leader.name]
        behind, emptied = (simulation.replicas[name] for name in names)
        pair = {(leader.name, behind.name), (behind.name, leader.name)}
        simulation.faults.cut = set(pair)
        simulation.commit(*make_commands("x", 5))
        leader.crash()
        self._empty_disk(emptied)
        simulation.run(60.0)
        self.assertIsNone(simulation.find_leader())
        assert emptied.driver is not None
        self.assertEqual(emptied.driver.node.vote, "")
        simulation.settle_down()

    def test_empty_replica_is_asked_for_its_vote(self) -> None:
        """An empty replica grants no vote, even under its new identity."""
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
        """Two emptied replicas do not bootstrap a second cluster."""
        simulation = Simulation(seed=13).start()
        simulation.commit(b"x")
        simulation.replicas["c"].crash()
        self._empty_disk(simulation.replicas["a"])
        self._empty_disk(simulation.replicas["b"])
        simulation.run(60.0)
        self.assertIsNone(simulation.find_leader())
        simulation.replicas["c"].start()
        simulation.run(60.0)
        self.assertIsNone(simulation.find_leader())

    def test_second_loss_after_replacement(self) -> None:
        """A replica that was replaced counts towards the quorum at once."""
        for seed in range(20, 26):
            with self.subTest(seed=seed):
                simulation = Simulation(seed=seed).start()
                simulation.commit(*make_commands("x", 30))
                replaced, second = simulation.replicas["b"], simulation.replicas["c"]
                self._empty_disk(replaced)

                def is_voter_again() -> bool:
                    leader = simulation.find_leader()
                    if leader is None or leader.driver is None:
                        return False
                    node = leader.driver.node
                    assert replaced.driver is not None
                    identity = replaced.driver.node.identity
                    settled = node.commit_index >= node.log.configuration_index
                    return settled and node.configuration.is_voter(identity)

                simulation.run_until(is_voter_again)
                second.crash()
                simulation.commit(b"y")
                simulation.settle_down()

    def test_leader_lost_before_promotion_arrives(self) -> None:
        """A promoted replica votes before it knows of its promotion.

        Only the leader and the second replica have the entry that promotes
        it. If the leader fails, the second one can't be elected without the
        promoted replica's vote.
        """
        simulation = Simulation(seed=27).start()
        simulation.commit(b"x")
        leader = simulation.find_leader()
        assert leader is not None and leader.driver is not None
        node = leader.driver.node
        names = [name for name in "abc" if name != leader.name]
        replaced, second = (simulation.replicas[name] for name in names)
        lost = self._empty_disk(replaced)
        assert replaced.driver is not None and second.driver is not None
        identity = replaced.driver.node.identity
        simulation.run_until(lambda: node.configuration.find_member(lost) is None)
        simulation.faults.cut = {(leader.name, replaced.name)}
        simulation.run_until(lambda: node.configuration.is_voter(identity))
        simulation.run(0.1)
        known = second.driver.node.configuration
        self.assertIs(known.is_voter(identity), True)
        known_to_replaced = replaced.driver.node.configuration
        self.assertIs(known_to_replaced.is_voter(identity), False)
        leader.crash()
        simulation.faults.cut.clear()
        simulation.commit(b"y")
        simulation.settle_down()


class IsolatedReplicaTest(unittest.TestCase):
    def test_frozen_leader_resumes(self) -> None:
        """A leader that resumes after a freeze follows the new leader.

        It serves no stale read and forces no election.
        """
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

    def test_partitioned_leader_returns(self) -> None:
        """A leader that is partitioned steps down by itself.

        Its return does not raise the term.
        """
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

    def test_leader_with_stopped_clock(self) -> None:
        """A leader whose clock stopped serves no stale read.

        Reads rely on replies of a quorum, not on the clock.
        """
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

    def test_replica_partitioned_from_leader(self) -> None:
        """A replica can't become leader while others hear from the leader."""
        simulation = Simulation(seed=43).start()
        simulation.commit(b"x")
        leader = simulation.find_leader()
        assert leader is not None and leader.driver is not None
        term = leader.driver.node.term
        unreached = next(name for name in "abc" if name != leader.name)
        simulation.faults.cut = {(leader.name, unreached)}
        simulation.run(30.0)
        self.assertIs(simulation.find_leader(), leader)
        self.assertEqual(leader.driver.node.term, term)
        simulation.settle_down()

    def test_planned_transfer(self) -> None:
        """Another replica leads within 0.3 s, and no command is lost."""
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
        """No command is lost if all restart, with and without snapshots."""
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
