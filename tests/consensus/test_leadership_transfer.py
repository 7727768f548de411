import unittest

from carobspring.consensus import RoleName
from carobspring.consensus.messages import TransferRequest
from tests.consensus.simulation import Simulation


class LeadershipTransferTest(unittest.TestCase):
    def test_lost_transfer_request(self) -> None:
        """A transfer whose request is lost ends the leader's term.

        The target may start an election at any time in that term, so the
        leader can't regain its lease. A later term has a leader again.
        """
        simulation = Simulation(seed=70).start()
        simulation.commit(b"x")
        old = simulation.find_leader()
        assert old is not None and old.driver is not None
        term = old.driver.node.term
        simulation.faults.dropped_types = (TransferRequest,)
        simulation.transfer()
        self.assertIs(old.driver.node.is_leader(simulation.now), False)
        self.assertIs(old.driver.node.role, RoleName.LEADER)
        simulation.run_until(lambda: simulation.find_leader() is not None, 10.0)
        leader = simulation.find_leader()
        assert leader is not None and leader.driver is not None
        self.assertGreater(leader.driver.node.term, term)
        simulation.commit(b"y")
        simulation.settle_down()
