import asyncio
import unittest

from carobspring.adapters.clock import SystemClock, SystemRandom
from carobspring.adapters.rpc import open_channel
from carobspring.entry import ChannelPool, EntryState, ViewUpdateHandler
from carobspring.protocol import ViewUpdate
from carobspring.routing import Router
from tests.entry.fakes import SECRET, FakeAgent, build_settings


class ViewUpdateHandlerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        """Apply a first view with two servers."""
        self.connected = True
        self.router = Router(random=SystemRandom(seed=1), zone="z1")
        self.state = EntryState()
        pool = ChannelPool(
            lambda host, port: open_channel(host=host, port=port, secret=SECRET)
        )
        self.views = ViewUpdateHandler(
            state=self.state,
            router=self.router,
            pool=pool,
            clock=SystemClock(),
            is_connected=lambda: self.connected,
            grace_s=0.2,
        )
        self.servers = []
        for name in ("r1", "r2"):
            agent = FakeAgent(name)
            agent.port = 1
            self.servers.append(agent.describe())
        self.views.apply(self.build_view(self.servers))

    def build_view(self, servers):
        """Return a complete view, as sent first on a stream."""
        return ViewUpdate(
            complete=True, settings=build_settings(), servers=tuple(servers)
        )

    def list_names(self):
        """Return the names of the servers that take new work."""
        return sorted(server.server_id for server in self.router.list_servers())

    async def test_removed_server_is_dropped_immediately(self):
        """A server listed as removed is dropped without a grace period."""
        self.views.apply(ViewUpdate(removed=("r1",)))
        self.assertEqual(self.list_names(), ["r2"])

    async def test_empty_view_of_a_new_replica(self):
        """Servers that a new replica doesn't know yet are kept for a while."""
        self.views.apply(self.build_view([]))
        self.assertEqual(self.list_names(), ["r1", "r2"])
        self.views.apply(ViewUpdate(servers=(self.servers[0],)))
        await asyncio.sleep(0.5)
        self.assertEqual(self.list_names(), ["r1"])

    async def test_control_lost_again(self):
        """No server is dropped while no control replica is connected."""
        self.views.apply(self.build_view([]))
        self.connected = False
        await asyncio.sleep(0.5)
        self.assertEqual(self.list_names(), ["r1", "r2"])
        self.connected = True
        self.views.apply(self.build_view(self.servers[:1]))
        await asyncio.sleep(0.5)
        self.assertEqual(self.list_names(), ["r1"])

    async def test_older_settings_are_never_applied(self):
        """A view with an older revision doesn't change the settings."""
        self.views.apply(ViewUpdate(settings=build_settings(revision=5)))
        self.views.apply(ViewUpdate(settings=build_settings(revision=4)))
        self.assertEqual(self.state.settings.revision, 5)

    async def test_ready_after_the_first_complete_view(self):
        """An entry is not ready before its first complete view."""
        fresh = EntryState()
        views = ViewUpdateHandler(
            state=fresh,
            router=self.router,
            pool=ChannelPool(lambda host, port: None),
            clock=SystemClock(),
            is_connected=lambda: True,
        )
        views.apply(ViewUpdate(settings=build_settings(), servers=(self.servers[0],)))
        self.assertIs(fresh.is_ready, False)
        views.apply(self.build_view(self.servers))
        self.assertIs(fresh.is_ready, True)
