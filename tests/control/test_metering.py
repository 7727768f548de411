import asyncio
import unittest

from carobspring.adapters.clock import SystemRandom
from carobspring.adapters.metrics import Metrics
from carobspring.adapters.provider_http import ProviderError
from carobspring.control import CommandProposer, ControlState
from carobspring.control.metering import MeteringService
from carobspring.domain import Address
from carobspring.membership import GossipMessage
from carobspring.platform import ProviderSettings
from carobspring.ports import Clock, ReplicatedLog
from carobspring.protocol import EntryReport, EntryUsage, WindowUsage, decode_soft_state

SETTINGS = ProviderSettings(
    address=Address(host="127.0.0.1", port=9),
    duties=frozenset({"metering"}),
    calls_per_s=100.0,
    lease_s=3.0,
    thaw_s=0.3,
)
LEADER_LEASE_S = 0.8
QUIET_S = 5.1
BOOT_OFFSET_S = 50.0


class FakeClock(Clock):
    """Clocks that a test sets; the monotonic one starts at zero."""

    def __init__(self):
        self.now = 0.0
        self.frozen_s = 0.0

    def read_monotonic(self):
        return self.now

    def read_wall_ms(self):
        return round(self.now * 1000)

    def read_boot_time(self):
        return self.now + BOOT_OFFSET_S + self.frozen_s


class FakeReplica(ReplicatedLog):
    """A log that commits at once, the leadership, and gossip to peers."""

    def __init__(self, machine):
        self.machine = machine
        self.term = None
        self.leader = ""
        self.peers = ["r2", "r3"]
        self.sent = []
        self.handle_open = None

    async def propose(self, command):
        return self.machine.apply(1, command)

    async def confirm_read(self):
        pass

    def find_leader(self):
        return self.leader

    def is_leader(self):
        return self.term is not None

    def find_leading_term(self):
        return self.term

    def list_peers(self):
        return self.peers

    def send_gossip(self, peer, gossip):
        message = decode_soft_state(gossip, GossipMessage)
        self.sent.append((peer, message.usage))

    def on_gossip(self, callback):
        pass

    def on_open(self, callback):
        self.handle_open = callback


class FakeProvider:
    """Records calls; answers with ``status``, or not at all if it is None."""

    def __init__(self):
        self.status = 200
        self.calls = []
        self.cancelled = 0
        self.error = None
        #: A body that is answered with 400.
        self.refused_body = b""

    async def post(self, path, headers, body, *, may_send):
        if not may_send():
            raise ProviderError(reason="the duty is no longer held")
        self.calls.append((dict(headers)["Carobspring-Fencing-Token"], body))
        if self.error is not None:
            raise self.error
        if self.status is None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        return 400 if body == self.refused_body else self.status


class MeteringServiceTests(unittest.IsolatedAsyncioTestCase):
    """One replica; windows of 5 s, whose reports are due 10 s later."""

    def setUp(self):
        self.clock = FakeClock()
        self.state = ControlState(replica_id="r1", clock=self.clock)
        self.replica = FakeReplica(self.state.machine)
        self.provider = FakeProvider()
        self.metrics = Metrics()
        self.service = MeteringService(
            settings=SETTINGS,
            holder="n1",
            leader_lease_s=LEADER_LEASE_S,
            state=self.state,
            proposer=CommandProposer(log=self.replica, peers={}, clock=self.clock),
            leadership=self.replica,
            transport=self.replica,
            client=self.provider,
            read_boot_time=self.clock.read_boot_time,
            random=SystemRandom(seed=1),
            metrics=self.metrics,
        )

    def report(self, complete_ms, *windows, entry="e1"):
        self.state.entries.apply_report(
            EntryReport(entry_id=entry, zone="a"), self.clock.now
        )
        usage = EntryUsage(
            entry_id=entry,
            boot_ms=1,
            since_ms=0,
            complete_ms=complete_ms,
            windows=tuple(
                WindowUsage(window=window, counts=counts) for window, counts in windows
            ),
        )
        self.state.usage.merge(usage)
        return usage

    async def advance(self, until):
        """Tick until a time of the monotonic clock."""
        while self.clock.now < until:
            self.clock.now = round(min(until, self.clock.now + 0.25), 3)
            self.service.tick()
            for _ in range(5):
                await asyncio.sleep(0)

    async def test_report(self):
        """A leader closes a window and reports it after its quiet period."""
        self.replica.term = 7
        self.report(6_000, (0, {"a": 3}))
        await self.advance(QUIET_S - 0.1)
        self.assertEqual(self.provider.calls, [])
        await self.advance(7.0)
        body = b'{"window_id":0,"counts":{"a":3}}'
        self.assertEqual(self.provider.calls, [("7", body)])
        lines = self.metrics.render_text().splitlines()
        for line in (
            b"carob_duty_holds 1",
            b"carob_duty_token 7",
            b'carob_usage_windows_total{outcome="closed"} 1',
            b'carob_usage_windows_total{outcome="reported"} 1',
            b'carob_provider_calls_total{result="accepted"} 1',
        ):
            self.assertIn(line, lines)

    async def test_next_holder_repeats_the_committed_counts(self):
        """Counts that arrive after the closing do not change a report."""
        self.replica.term = 7
        self.provider.status = 503
        self.report(6_000, (0, {"a": 3}))
        await self.advance(6.0)
        self.report(6_500, (0, {"a": 4}))
        self.replica.term = None
        await self.advance(7.0)
        self.replica.term = 9
        self.provider.calls.clear()
        self.provider.status = 200
        await self.advance(14.0)
        body = b'{"window_id":0,"counts":{"a":3}}'
        self.assertEqual(self.provider.calls, [("9", body)])

    async def test_open_call_ends_with_the_tenure(self):
        """The bytes of a call must not arrive after another holder's."""
        for name, change in (
            ("another leader", lambda: setattr(self.replica, "term", None)),
            ("a freeze", lambda: setattr(self.clock, "frozen_s", 9.0)),
        ):
            with self.subTest(name):
                self.setUp()
                self.replica.term = 7
                self.provider.status = None
                self.report(6_000, (0, {"a": 3}))
                await self.advance(6.0)
                self.assertEqual(len(self.provider.calls), 1)
                change()
                await self.advance(6.25)
                self.assertEqual(self.provider.cancelled, 1)
                await self.advance(10.0)
                self.assertEqual(len(self.provider.calls), 1)

    async def test_followers_inform_the_leader(self):
        """Only the leader is told, once, and all of it after a new stream."""
        self.replica.leader = "r2"
        usage = self.report(2_000, (0, {"a": 3}))
        await self.advance(1.0)
        self.assertEqual(self.replica.sent, [("r2", (usage,))])
        self.replica.handle_open("r2")
        await self.advance(2.0)
        self.assertEqual(self.replica.sent, [("r2", (usage,))] * 2)
        self.replica.leader = "r3"
        await self.advance(3.0)
        self.assertEqual(self.replica.sent[2:], [("r3", (usage,))])

    async def test_new_leader_waits_for_the_others(self):
        """Counts of a lost entry that only another replica has are kept.

        The first closing is final, and the others pass on what they know
        only once they know the new leader.
        """
        self.replica.term = 7
        self.report(6_000, (0, {"a": 3}))
        self.clock.now = 8.0
        await self.advance(9.0)
        self.state.entries.entries.clear()
        self.report(6_000, (0, {"a": 2}), entry="e2")
        await self.advance(14.0)
        body = b'{"window_id":0,"counts":{"a":5}}'
        self.assertEqual(self.provider.calls, [("7", body)])

    async def test_refused_report(self):
        """A report refused for good is tried again after the later ones."""
        self.replica.term = 7
        self.provider.refused_body = b'{"window_id":0,"counts":{"a":3}}'
        self.report(11_000, (0, {"a": 3}), (1, {"a": 4}))
        await self.advance(14.0)
        later_call = ("7", b'{"window_id":1,"counts":{"a":4}}')
        self.assertEqual(self.provider.calls.count(later_call), 1)
        first_call = ("7", self.provider.refused_body)
        self.assertGreater(self.provider.calls.count(first_call), 1)

    async def test_error_of_a_call(self):
        """An unexpected error delays the next call, like a refusal."""
        self.replica.term = 7
        self.provider.error = ValueError("unexpected")
        self.report(6_000, (0, {"a": 3}))
        with self.assertLogs("carobspring.adapters.tasks", "ERROR") as logs:
            await self.advance(10.0)
        self.assertLessEqual(len(logs.records), 6)

    async def test_usage_expires_at_any_replica(self):
        """A replica that is not set to report usage does not keep it all."""
        self.report(6_000, (0, {"a": 3}))
        self.clock.now = 100.0
        self.state.expire_leases(self.clock.now)
        self.assertEqual(self.state.usage.list_windows(), [])

    async def test_silent_entry(self):
        """A window is closed in time without an entry that tells nothing."""
        self.replica.term = 7
        self.report(6_000, (0, {"a": 3}))
        # It has no lease any more at the time of the closing.
        self.report(4_000, (0, {"a": 2}), entry="e2")
        await self.advance(10.75)
        self.assertEqual(self.provider.calls, [])
        await self.advance(11.5)
        body = b'{"window_id":0,"counts":{"a":5}}'
        self.assertEqual(self.provider.calls, [("7", body)])


if __name__ == "__main__":
    unittest.main()
