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
        """Follow a first view of two servers."""
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
        """Return the first view of a stream."""
        return ViewUpdate(
            complete=True, settings=build_settings(), servers=tuple(servers)
        )

    def list_names(self):
        """Return the names of the servers that take new work."""
        return sorted(server.server_id for server in self.router.list_servers())

    async def test_removed_server_goes_at_once(self):
        """A server that left is gone without any grace."""
        self.views.apply(ViewUpdate(removed=("r1",)))
        self.assertEqual(self.list_names(), ["r2"])

    async def test_empty_view_of_a_fresh_replica(self):
        """Servers that a fresh replica has not heard of yet are kept."""
        self.views.apply(self.build_view([]))
        self.assertEqual(self.list_names(), ["r1", "r2"])
        self.views.apply(ViewUpdate(servers=(self.servers[0],)))
        await asyncio.sleep(0.5)
        self.assertEqual(self.list_names(), ["r1"])

    async def test_control_lost_again(self):
        """While no control replica is there, nothing is dropped."""
        self.views.apply(self.build_view([]))
        self.connected = False
        await asyncio.sleep(0.5)
        self.assertEqual(self.list_names(), ["r1", "r2"])
        self.connected = True
        self.views.apply(self.build_view(self.servers[:1]))
        await asyncio.sleep(0.5)
        self.assertEqual(self.list_names(), ["r1"])

    async def test_older_settings_are_never_taken(self):
        """A view with an older revision leaves the settings as they are."""
        self.views.apply(ViewUpdate(settings=build_settings(revision=5)))
        self.views.apply(ViewUpdate(settings=build_settings(revision=4)))
        self.assertEqual(self.state.settings.revision, 5)

    async def test_ready_after_the_first_whole_view(self):
        """Deltas alone don't make an entry ready."""
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
