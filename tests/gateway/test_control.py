import asyncio
import unittest
import unittest.mock

from carobspring.adapters.metrics import Metrics
from carobspring.gateway import control
from carobspring.gateway.control import ControlStreams
from carobspring.protocol import ViewUpdate

SEEDS = ("127.0.0.1:1", "127.0.0.1:2")
REPLICAS = ("127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4")


class FakeStream:
    """A stream that is connected as the test says."""

    def __init__(self, *, addresses, apply_update, **_):
        (address,) = addresses
        self.name = str(address)
        self.apply_update = apply_update
        self.connected = False
        self.responding = False

    async def run(self):
        await asyncio.Event().wait()


class ControlStreamsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.opened = {}
        self.removed = []
        patch = unittest.mock.patch.object(control, "EntryControlStream", self.open)
        patch.start()
        self.addCleanup(patch.stop)
        self.streams = ControlStreams(
            seeds=SEEDS,
            open_channel=None,
            build_report=None,
            apply_update=lambda replica, update: None,
            remove_replica=self.removed.append,
            choose=lambda names, zones: tuple(sorted(names))[:2],
            update_replicas=lambda names, zones: None,
            metrics=Metrics(labels={}),
        )
        self.addAsyncCleanup(self.close)

    def open(self, **arguments):
        stream = FakeStream(**arguments)
        self.opened[stream.name] = stream
        return stream

    async def close(self):
        for name in self.streams.followed:
            self.streams._stop_following(name)

    def connect(self, *names):
        for name in names:
            self.opened[name].connected = True
            self.opened[name].responding = True

    async def test_replica_without_usable_address(self):
        """A replica without an address keeps no other from being followed."""
        self.streams.check(0.0)
        self.connect(*SEEDS)
        self.opened[SEEDS[0]].apply_update(ViewUpdate(replicas=("!", *REPLICAS)))
        with self.assertLogs("carobspring.gateway.control", "ERROR"):
            self.streams.check(0.5)
        self.streams.check(1.0)
        self.assertLessEqual(set(REPLICAS[:2]), set(self.streams.followed))

    async def test_seeds_then_replicas(self):
        """The chosen replicas replace the seeds once they are connected."""
        self.streams.check(0.0)
        self.assertEqual(self.streams.followed, SEEDS)
        self.connect(*SEEDS)
        self.opened[SEEDS[0]].apply_update(ViewUpdate(replicas=REPLICAS))
        self.streams.check(0.5)
        self.assertEqual(set(self.streams.followed), {*SEEDS, *REPLICAS[:2]})
        self.connect(REPLICAS[1])
        self.streams.check(1.0)
        self.assertEqual(set(self.streams.followed), set(REPLICAS[:2]))
        self.assertEqual(self.removed, [SEEDS[0]])

    async def test_silent_replica(self):
        """A replica that stays disconnected is replaced, and tried later."""
        self.streams.check(0.0)
        self.connect(*SEEDS)
        self.opened[SEEDS[1]].apply_update(ViewUpdate(replicas=REPLICAS))
        self.streams.check(0.5)
        self.connect(REPLICAS[1])
        self.streams.check(1.0)
        self.opened[REPLICAS[0]].connected = False
        self.opened[REPLICAS[0]].responding = False
        self.streams.check(2.4)
        self.assertEqual(set(self.streams.followed), set(REPLICAS[:2]))
        self.streams.check(2.6)
        self.assertEqual(set(self.streams.followed), set(REPLICAS[1:]))
        self.connect(REPLICAS[2])
        self.streams.check(5.7)
        self.assertIn(REPLICAS[0], self.streams.followed)

    async def test_none_responds(self):
        """With no replica that responds, the known ones are tried again."""
        self.streams.check(0.0)
        self.streams.check(2.0)
        self.assertEqual(self.streams.followed, SEEDS)

    async def test_no_quorum(self):
        """Replicas that respond stay followed while none is confirmed."""
        self.streams.check(0.0)
        for name in SEEDS:
            self.opened[name].responding = True
        self.opened[SEEDS[0]].apply_update(
            ViewUpdate(replicas=REPLICAS, confirmed=False)
        )
        for step in range(1, 30):
            self.streams.check(step / 2)
        self.assertLessEqual(set(SEEDS), set(self.streams.followed))
        self.assertEqual(set(self.removed) & set(SEEDS), set())
        for step in range(30, 40):
            self.connect(*set(self.streams.followed) & set(REPLICAS))
            self.streams.check(step / 2)
        self.assertEqual(set(self.streams.followed), set(REPLICAS[:2]))
