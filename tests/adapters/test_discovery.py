import unittest

from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.discovery import DiscoveryExchange
from carobspring.control.discovery import (
    DaemonDirectory,
    DaemonInfo,
    DiscoveryMessage,
)

OWN = DaemonInfo(name="10.1.0.1:7000", zone="a", durable=True)
SPARE = DaemonInfo(name="10.1.0.9:7000", zone="a", durable=True)
MEMBERS = (OWN.name, "10.2.0.1:7000", "10.3.0.1:7000")


class DiscoveryExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def test_spare_is_used_at_once(self):
        """A message that names a new spare waits for no round."""
        updates = []
        directory = DaemonDirectory(own_info=OWN, seeds=MEMBERS, now=0.0)
        directory.update_members(MEMBERS, 1)
        exchange = DiscoveryExchange(
            directory=directory,
            secret="inner-secret",
            clock=SystemClock(),
            random=SystemRandom(seed=1),
            update_replicas=lambda: updates.append(directory.list_spare_daemons()),
        )
        self.addCleanup(exchange.close)
        for _ in range(2):
            await exchange._reply(DiscoveryMessage(card=SPARE))
        self.assertEqual(updates, [(SPARE.name,)])
