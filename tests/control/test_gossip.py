import asyncio
import unittest
from collections import deque

import msgspec

from carobspring.control import ControlState, GossipExchange, GossipTransport
from carobspring.control.sessions import EntrySession
from carobspring.domain import (
    FINAL_SEQUENCE,
    BackendServer,
    LoadReport,
    ServiceKind,
)
from carobspring.membership import GossipMessage, MembershipTable
from carobspring.ports import Clock
from carobspring.protocol import (
    AgentReport,
    EntryReport,
    EntryUsage,
    Strike,
    encode_soft_state,
)

LEASE_S = 1000.0
SERVER = BackendServer(
    server_id="m1",
    boot=7,
    service="llama",
    kind=ServiceKind.MODEL,
    zone="a",
    host="127.0.0.1",
    port=9000,
)


class ManualClock(Clock):
    def __init__(self):
        self.now = 0.0

    def read_monotonic(self):
        return self.now

    def read_wall_ms(self):
        return 0


class Network:
    """Ordered streams between replicas, which lose what they hold when cut."""

    def __init__(self):
        self.transports = {}
        self.queues = {}

    def cut(self):
        """End every stream and open another one at once."""
        for queue in self.queues.values():
            queue.clear()
        for name, transport in self.transports.items():
            for peer in self.transports:
                if peer != name:
                    transport.handle_open(peer)

    def deliver(self, sender, receiver):
        queue = self.queues[sender, receiver]
        if queue:
            self.transports[receiver].handle_gossip(sender, queue.popleft())

    def deliver_all(self):
        while any(self.queues.values()):
            for sender, receiver in self.queues:
                self.deliver(sender, receiver)


class NetworkTransport(GossipTransport):
    def __init__(self, network, name):
        self._network = network
        self._name = name
        network.transports[name] = self
        for peer in network.transports:
            if peer != name:
                network.queues[name, peer] = deque()
                network.queues[peer, name] = deque()
        self.handle_open = lambda peer: None

    def list_peers(self):
        return [peer for peer in self._network.transports if peer != self._name]

    def send_gossip(self, peer, gossip):
        self._network.queues[self._name, peer].append(gossip)

    def on_gossip(self, callback):
        self.handle_gossip = callback

    def on_open(self, callback):
        self.handle_open = callback


class Replica:
    def __init__(self, network, clock, name):
        self.clock = clock
        self.network = network
        self.name = name
        self.start()

    def start(self):
        """Start, or start anew without any state."""
        self.state = ControlState(replica_id=self.name, clock=self.clock)
        self.state.members = MembershipTable(now=self.clock.now, lease_s=LEASE_S)
        transport = NetworkTransport(self.network, self.name)
        self.gossip = GossipExchange(state=self.state, transport=transport)

    def report(self, *, sequence, draining=False):
        load = LoadReport(sequence=sequence, draining=draining)
        report = AgentReport(server=SERVER, load=load)
        self.state.members.apply_report(report, self.clock.now)
        self.state.local_change_count += self.state.notify_member_changes()

    def receive(self, report):
        EntrySession(state=self.state).handle_report(report)

    def tick(self, after_s=0.1):
        self.clock.now += after_s
        self.gossip.tick(self.clock.now)

    @property
    def is_drain_known(self):
        member = self.state.members.members.get("m1")
        return member is not None and member.load.draining

    @property
    def is_drain_replicated(self):
        view = self.state.members.find_local_change("m1")
        return self.gossip.is_replicated(view)


def build_pair():
    network, clock = Network(), ManualClock()
    return network, Replica(network, clock, "a"), Replica(network, clock, "b")


class GossipTests(unittest.IsolatedAsyncioTestCase):
    def test_change_lost_with_a_stream(self):
        """A drain lost on a silent stream is sent on the next one at once."""
        network, a, b = build_pair()
        a.report(sequence=1)
        a.tick()
        network.deliver_all()
        a.report(sequence=2, draining=True)
        a.tick()
        network.cut()
        a.tick()
        network.deliver_all()
        self.assertIs(b.is_drain_known, True)

    def test_confirmation(self):
        """A drain counts as replicated once every peer has merged it."""
        network, a, b = build_pair()
        c = Replica(network, a.clock, "c")
        a.report(sequence=1, draining=True)
        a.tick()
        for sender, receiver, is_replicated in (
            ("a", "b", False),
            ("b", "a", False),
            ("a", "c", False),
            ("c", "a", True),
        ):
            network.deliver(sender, receiver)
            self.assertIs(a.is_drain_replicated, is_replicated)
        self.assertEqual((b.is_drain_known, c.is_drain_known), (True, True))

    def test_in_step(self):
        """A replica is in step with those whose state came on this stream."""
        network, a, b = build_pair()
        c = Replica(network, a.clock, "c")
        members = ("a", "b", "c")
        self.assertIs(a.gossip.is_in_step(members, ("b", "c")), False)
        b.tick()
        c.tick()
        network.deliver_all()
        cases = {
            # name: (members, peers that were lately heard, whether in step)
            "all are heard": (members, ("b", "c"), True),
            "most are heard": (members, ("b",), True),
            "none is heard": (members, (), False),
            "half are heard": (("a", "b", "c", "d"), ("b",), False),
            "a lone member": (("a",), (), True),
            "no member, none is heard": (("b", "c"), (), False),
            "no member": (("b", "c"), ("b", "c"), True),
            "no members are known": ((), ("b", "c"), False),
        }
        for name, (names, heard, is_in_step) in cases.items():
            with self.subTest(name):
                self.assertIs(a.gossip.is_in_step(names, heard), is_in_step)
        network.cut()
        self.assertIs(a.gossip.is_in_step(members, ("b", "c")), False, "new streams")

    def test_usage_says_nothing_of_views(self):
        """A message with usage is none of a peer of an earlier release."""
        network, a, b = build_pair()
        usage = EntryUsage(entry_id="e1", boot_ms=1, since_ms=0, complete_ms=5)
        message = encode_soft_state(GossipMessage(usage=(usage,)))
        a.gossip.handle_gossip("b", message)
        self.assertEqual(a.state.usage.list_incomplete(["e1"], 5), [])
        self.assertIs(a.gossip.is_in_step(("a", "b", "c"), ("b",)), False)

    def test_strikes(self):
        """Peers learn strikes at once, and a restarted replica all of them."""
        network, a, b = build_pair()
        for replica in (a, b):
            # The first message after a start holds the complete state.
            replica.tick()
        network.deliver_all()
        first, second = (
            Strike(workspace="w", request_hash="h", server_id=name, boot=1, at_ms=1)
            for name in ("s1", "s2")
        )
        a.receive(EntryReport(entry_id="e1", zone="z", strikes=(first,)))
        a.tick()
        network.deliver_all()
        self.assertEqual(b.state.entry_strikes.list_held(), ())
        b.receive(EntryReport(entry_id="e2", zone="z", strikes=(second,)))
        b.tick()
        network.deliver_all()
        for replica in (a, b):
            self.assertEqual(
                set(replica.state.entry_strikes.list_held()), {first, second}
            )
        a.start()
        network.cut()
        b.tick()
        network.deliver_all()
        self.assertEqual(set(a.state.entry_strikes.list_held()), {first, second})
        a.receive(EntryReport(entry_id="e1", zone="z", released=(first, second)))
        a.tick()
        network.deliver_all()
        b.receive(EntryReport(entry_id="e2", zone="z", strikes=(second,)))
        self.assertEqual(
            (a.state.entry_strikes.list_held(), b.state.entry_strikes.list_held()),
            ((), ()),
        )

    async def test_wait(self):
        """Waiting for a view ends with the last acknowledgement."""
        network, a, _ = build_pair()
        a.report(sequence=1, draining=True)
        a.tick()
        view = a.state.members.find_local_change("m1")
        waiting = asyncio.create_task(a.gossip.wait_until_replicated(view))
        await asyncio.sleep(0)
        self.assertIs(waiting.done(), False)
        network.deliver_all()
        async with asyncio.timeout(5):
            await waiting

    def test_server_that_moves(self):
        """A replica that a server newly reports to tells its peers anew."""
        network, a, b = build_pair()
        a.report(sequence=1, draining=True)
        a.tick()
        network.deliver_all()
        a.start()
        b.report(sequence=2, draining=True)
        self.assertIs(b.is_drain_replicated, False)
        b.tick(1.0)
        network.deliver_all()
        self.assertEqual((b.is_drain_replicated, a.is_drain_known), (True, True))

    def test_withdrawal_of_unknown_server(self):
        """A replica that never knew a server refuses its late first report."""
        network, a, b = build_pair()
        for each in (a, b):
            each.tick()
        network.deliver_all()
        a.state.members.withdraw("m1", SERVER.boot, FINAL_SEQUENCE, a.clock.now)
        a.state.local_change_count += 1
        self.assertFalse(a.is_drain_replicated)
        a.tick()
        network.deliver_all()
        self.assertTrue(a.is_drain_replicated)
        b.report(sequence=1)
        self.assertEqual(b.state.members.list_present(), [])

    def test_restart_after_a_drain(self):
        """A replica that lost a drain with its memory gets it back from peers.

        A ready report from before the drain may come late, to the replica
        that alone received the drain.
        """
        for late in ("before the peers' state", "after it"):
            with self.subTest(late):
                network, a, b = build_pair()
                a.report(sequence=1)
                a.report(sequence=5, draining=True)
                for each in (a, b):
                    each.tick()
                network.deliver_all()
                network.cut()
                a.start()
                b.gossip.handle_open("a")
                if late == "before the peers' state":
                    a.report(sequence=2)
                b.tick()
                network.deliver_all()
                if late == "after it":
                    a.report(sequence=2)
                    self.assertEqual(a.state.members.list_present(), [])
                else:
                    self.assertTrue(a.is_drain_known)
                # The server itself goes on to check in.
                a.report(sequence=6, draining=True)
                self.assertTrue(a.is_drain_known)

    def test_restart_after_a_removal(self):
        """A replica that restarts lists no server that left before."""
        network, a, b = build_pair()
        a.report(sequence=1)
        a.report(sequence=FINAL_SEQUENCE, draining=True)
        a.state.members.withdraw("m1", SERVER.boot, FINAL_SEQUENCE, a.clock.now)
        a.tick()
        network.deliver_all()
        network.cut()
        a.start()
        b.gossip.handle_open("a")
        b.tick()
        network.deliver_all()
        a.report(sequence=2)
        self.assertEqual(a.state.members.list_present(), [])

    def test_peer_of_an_earlier_release(self):
        """A peer that acknowledges nothing counts as having what was sent."""
        _, a, _ = build_pair()
        a.report(sequence=1, draining=True)
        a.gossip.handle_gossip("b", msgspec.msgpack.encode({"members": ()}))
        self.assertIs(a.is_drain_replicated, False)
        a.tick()
        self.assertIs(a.is_drain_replicated, True)


class ConfirmationModelTests(unittest.TestCase):
    """Explores the real exchanges along all short runs."""

    MAX_STEPS = 7

    def explore(self, steps):
        """Return runs after which a confirmed drain is unknown to a peer."""
        violations = []
        seen = set()
        runs = deque([()])
        while runs:
            run = runs.popleft()
            network, a, b = build_pair()
            # Both are of this release and know it.
            a.tick(1.0)
            b.tick(0.0)
            network.deliver_all()
            drained = False
            for step in run:
                drained |= step == "drain"
                steps[step](network, a, b)
            if drained and a.is_drain_replicated and not b.is_drain_known:
                violations.append(run)
                continue
            state = (
                drained,
                a.is_drain_replicated,
                b.is_drain_known,
                *(tuple(queue) for queue in network.queues.values()),
                repr(a.gossip._peers),
                repr(b.gossip._peers),
            )
            if state in seen or len(run) == self.MAX_STEPS:
                continue
            seen.add(state)
            runs.extend(run + (step,) for step in steps)
        self.assertGreater(len(seen), 100)
        return violations

    def build_steps(self):
        return {
            "drain": lambda network, a, b: a.report(sequence=2, draining=True),
            "tick a": lambda network, a, b: a.tick(1.0),
            "tick b": lambda network, a, b: b.tick(1.0),
            "to b": lambda network, a, b: network.deliver("a", "b"),
            "to a": lambda network, a, b: network.deliver("b", "a"),
            "cut": lambda network, a, b: network.cut(),
            "restart b": lambda network, a, b: (b.start(), network.cut()),
        }

    def test_confirmed_drain_is_known(self):
        """In no run is a drain confirmed before the peer knows it."""
        self.assertEqual(self.explore(self.build_steps()), [])

    def test_guard_is_needed(self):
        """Without the reset at a new stream, a run violates the invariant."""
        steps = self.build_steps()

        def restart_unseen(network, a, b):
            b.start()
            b.gossip.handle_open("a")
            for queue in network.queues.values():
                queue.clear()

        steps["restart b"] = restart_unseen
        self.assertNotEqual(self.explore(steps), [])
