import unittest
import unittest.mock
from dataclasses import replace

from carobspring.domain import BackendServer, LoadReport, ServiceKind
from carobspring.membership import (
    MemberGossip,
    MembershipTable,
    ReportResult,
    ViewDelta,
    table as table_module,
)
from carobspring.protocol import AgentReport

SERVER = BackendServer(
    server_id="m1",
    boot=7,
    service="llama",
    kind=ServiceKind.MODEL,
    zone="a",
    host="127.0.0.1",
    port=9000,
)
ACCEPTED, REFUSED = ReportResult(accepted=True), ReportResult(accepted=False)


def build_report(
    sequence: int, *, boot: int = 7, leaving: bool = False, **load: object
) -> AgentReport:
    return AgentReport(
        server=replace(SERVER, boot=boot),
        load=LoadReport(sequence=sequence, **load),
        leaving=leaving,
    )


def build_gossip(sequence: int, age_ms: int = 0, **changes: object) -> MemberGossip:
    gossip = MemberGossip(
        server_id="m1",
        boot=7,
        sequence=sequence,
        age_ms=age_ms,
        server=SERVER,
        load=LoadReport(sequence=sequence),
    )
    return replace(gossip, **changes)


def build_table(now: float = 0.0) -> MembershipTable:
    """Return a table with one server that reported at this time."""
    table = MembershipTable(now=now)
    table.apply_report(build_report(5), now)
    return table


def list_visible(table: MembershipTable) -> list[str]:
    return [server.server_id for server in table.compute_delta(None).servers]


class OrderTests(unittest.TestCase):
    def test_leave_before_the_first_report(self):
        """An agent that left is not listed by a report that comes late."""
        table = MembershipTable(now=0.0)
        table.apply_report(build_report(9, leaving=True), 0.0)
        self.assertEqual(table.apply_report(build_report(5), 1.0), REFUSED)
        self.assertEqual(list_visible(table), [])
        self.assertEqual(table.apply_report(build_report(1, boot=8), 2.0), ACCEPTED)

    def test_drains_of_foreign_servers(self):
        """Those of services that no route names take no room."""
        table = MembershipTable(now=0.0)
        table.set_services(frozenset({"other"}), 0.0)
        table.apply_report(build_report(5, draining=True), 0.0)
        self.assertEqual(table.list_withdrawals(-1, 0.0), ())
        table.set_services(frozenset({"llama"}), 0.0)
        table.apply_report(build_report(6, draining=True), 0.0)
        self.assertEqual(len(table.list_withdrawals(-1, 0.0)), 1)

    def test_order_of_reports(self):
        """Later boots and sequences are accepted; earlier ones are refused."""
        outdated = ReportResult(accepted=False, minimum_boot=8)
        cases = {
            "next": (build_report(6), ACCEPTED, 7, 6),
            "duplicate": (build_report(5), REFUSED, 7, 5),
            "older": (build_report(4), REFUSED, 7, 5),
            "restart": (build_report(1, boot=8), ACCEPTED, 8, 1),
            "previous boot": (build_report(9, boot=6), outdated, 7, 5),
            "late shutdown of the previous boot": (
                build_report(9, boot=6, leaving=True),
                outdated,
                7,
                5,
            ),
            "without a server": (AgentReport(), REFUSED, 7, 5),
        }
        for name, (report, result, boot, sequence) in cases.items():
            with self.subTest(name):
                table = build_table()
                self.assertEqual(table.apply_report(report, 1.0), result)
                member = table.members["m1"]
                self.assertEqual(
                    (member.server.boot, member.sequence), (boot, sequence)
                )
                self.assertEqual(list_visible(table), ["m1"])

    def test_after_shutdown(self):
        """A server that shut down stays gone until a later report."""
        cases = {
            "duplicate": (build_report(5), False),
            "duplicate of the shutdown": (build_report(6, leaving=True), False),
            "report from before the shutdown": (build_report(6), False),
            "later report": (build_report(7), True),
            "restart": (build_report(1, boot=8), True),
        }
        for name, (report, is_back) in cases.items():
            with self.subTest(name):
                table = build_table()
                table.apply_report(build_report(6, leaving=True), 0.5)
                self.assertEqual(list_visible(table), [])
                table.apply_report(report, 1.0)
                self.assertEqual(list_visible(table), ["m1"] if is_back else [])

    def test_earlier_boot_after_a_lost_lease(self):
        """A replaced boot is refused even after its successor is gone."""
        table = build_table()
        table.expire(4.0)
        result = table.apply_report(build_report(9, boot=6), 5.0)
        self.assertEqual(result, ReportResult(accepted=False, minimum_boot=8))


class LeaseTests(unittest.TestCase):
    def test_lease(self):
        """A lease lasts 3 s from the last report, 1 s from a broken stream."""
        cases = {
            "silent, valid": (None, 2.9, True),
            "silent, expired": (None, 3.0, False),
            "stream broke, valid": (7, 1.4, True),
            "stream broke, expired": (7, 1.5, False),
            "stream of another boot broke": (6, 2.9, True),
        }
        for name, (broken_boot, now, is_present) in cases.items():
            with self.subTest(name):
                table = build_table()
                if broken_boot:
                    table.shorten_lease("m1", broken_boot, 0.5)
                expired = table.expire(now)
                self.assertEqual(expired, [] if is_present else ["m1"])
                self.assertEqual(list_visible(table), ["m1"] if is_present else [])

    def test_renewal(self):
        """Each report renews the lease, even one without changes."""
        table = build_table()
        table.apply_report(build_report(6), 2.0)
        self.assertEqual(table.expire(4.9), [])
        self.assertEqual(table.expire(5.0), ["m1"])

    def test_boot_is_gone(self):
        """A boot is gone when replaced or expired; a new table can't tell."""
        cases = {
            "valid lease": (7, 1.0, False),
            "replaced": (6, 1.0, True),
            "not announced yet": (8, 1.0, False),
            "expired": (7, 3.5, True),
        }
        for name, (boot, now, expected) in cases.items():
            with self.subTest(name):
                table = build_table()
                table.expire(now)
                self.assertIs(table.is_boot_gone("m1", boot, now), expected)
        table = MembershipTable(now=0.0)
        self.assertIs(table.is_boot_gone("m1", 7, 5.9), None)
        self.assertIs(table.is_boot_gone("m1", 7, 6.1), True)

    def test_flapping(self):
        """A server lost three times is visible after 5 s without a loss."""
        table = build_table()
        for boot in (8, 9, 10):
            table.apply_report(build_report(1, boot=boot), float(boot - 7))
        self.assertEqual(list_visible(table), [])
        for sequence, now in enumerate((5.0, 7.0), 2):
            table.apply_report(build_report(sequence, boot=10), now)
        table.expire(7.9)
        self.assertEqual(list_visible(table), [])
        table.expire(8.0)
        self.assertEqual(list_visible(table), ["m1"])

    def test_planned_restarts_are_not_flaps(self):
        """A server is visible at once after any number of planned restarts."""
        table = build_table()
        for boot in range(8, 14):
            shutdown = build_report(9, boot=boot - 1, leaving=True)
            table.apply_report(shutdown, boot / 10)
            table.apply_report(build_report(1, boot=boot), boot / 10)
            self.assertEqual(list_visible(table), ["m1"])


class DeltaTests(unittest.TestCase):
    def test_successive_deltas(self):
        """A complete delta and the later ones together give the state."""
        table = build_table()
        first = table.compute_delta(None)
        load = LoadReport(sequence=5)
        self.assertEqual(
            first,
            ViewDelta(
                view=table.view, complete=True, servers=(SERVER,), loads={"m1": load}
            ),
        )
        self.assertIs(table.compute_delta(first.view).is_empty(), True)
        other = replace(SERVER, server_id="m2")
        table.apply_report(AgentReport(server=other, load=LoadReport(sequence=1)), 0.1)
        second = table.compute_delta(first.view)
        self.assertEqual(second.servers, (other,))
        table.apply_report(build_report(6, leaving=True), 0.2)
        self.assertEqual(
            table.compute_delta(second.view),
            ViewDelta(view=table.view, removed=("m1",)),
        )
        self.assertEqual(list_visible(table), ["m2"])

    def test_flapping_server_is_removed(self):
        """A server hidden as flapping is removed, whatever changed before."""
        table = build_table()
        for boot in (8, 9):
            table.apply_report(build_report(1, boot=boot), float(boot - 7))
        other = replace(SERVER, server_id="m2")
        table.apply_report(AgentReport(server=other, load=LoadReport(sequence=1)), 2.5)
        before = table.view
        table.apply_report(build_report(1, boot=10), 3.0)
        self.assertEqual(
            table.compute_delta(before), ViewDelta(view=table.view, removed=("m1",))
        )

    def test_expired_removals(self):
        """The delta is complete if a removal after its view was deleted."""
        table = build_table()
        old = table.view
        table.expire(3.0)
        later = table.view
        table.expire(700.0)
        self.assertEqual(table.members, {})
        self.assertIs(table.compute_delta(old).complete, True)
        self.assertIs(table.compute_delta(later).complete, False)

    def test_loads(self):
        """A load is published when its level changes, at most every 0.5 s.

        Draining and unhealthy servers are published at once, and any other
        change after 10 s.
        """
        busy = {"running": 4, "limit": 8}
        cases = {
            "same": ({}, 0.6, False),
            "busy, too soon": (busy, 0.4, False),
            "busy": (busy, 0.6, True),
            "draining at once": ({"draining": True}, 0.1, True),
            "unhealthy at once": ({"unhealthy": True}, 0.1, True),
            "same level": ({"service_ms": 5.0}, 2.0, False),
            "same, after 10 s": ({}, 2.9, False),
            "same level, after 10 s": ({"service_ms": 5.0}, 2.9, True),
        }
        for name, (load, now, published) in cases.items():
            with self.subTest(name):
                table = build_table()
                is_late = name.endswith("after 10 s")
                if is_late:
                    for sequence, at in enumerate((2.0, 4.0, 6.0, 8.0), 6):
                        table.apply_report(build_report(sequence), at)
                    now = 10.1
                view = table.view
                table.apply_report(build_report(10, **load), now)
                delta = table.compute_delta(view)
                expected = {"m1": LoadReport(sequence=10, **load)} if published else {}
                self.assertEqual(delta.loads, expected)

    def test_loads_of_many_servers(self):
        """With many servers, each load is published less often."""
        table = build_table()
        for number in range(2, 62):
            server = replace(SERVER, server_id=f"m{number}")
            table.apply_report(AgentReport(server=server), 0.0)
        # 61 loads of 230 bytes at 10,000 bytes per second take 1.403 s.
        for now, expected in ((1.40, {}), (1.41, {"m1": 4})):
            view = table.view
            table.apply_report(build_report(int(now * 100), running=4, limit=8), now)
            loads = table.compute_delta(view).loads
            running = {name: load.running for name, load in loads.items()}
            self.assertEqual(running, expected)

    def test_urgent_changes(self):
        """Only changes that entries must learn of at once are urgent."""
        cases = {
            "busy": (build_report(6, running=1), False),
            "draining": (build_report(6, draining=True), True),
            "unhealthy": (build_report(6, unhealthy=True), True),
            "leaving": (build_report(6, leaving=True), True),
            "restart": (build_report(1, boot=8), True),
        }
        for name, (report, is_urgent) in cases.items():
            with self.subTest(name):
                table = build_table()
                before = table.urgent_change_count
                table.apply_report(report, 1.0)
                self.assertIs(table.urgent_change_count > before, is_urgent)

    def test_early_load_is_published_later(self):
        """A load that comes too early is published by a later expire call."""
        table = build_table()
        view = table.view
        table.apply_report(build_report(6, running=1), 0.2)
        table.expire(0.4)
        self.assertEqual(table.compute_delta(view).loads, {})
        table.expire(0.5)
        expected = {"m1": LoadReport(sequence=6, running=1)}
        self.assertEqual(table.compute_delta(view).loads, expected)

    def test_drained(self):
        """A server that the operator drains is published as draining."""
        table = build_table()
        table.set_drained(frozenset({"m1"}), 0.1)
        self.assertIs(table.compute_delta(None).loads["m1"].draining, True)
        table.apply_report(build_report(6), 1.0)
        self.assertIs(table.compute_delta(None).loads["m1"].draining, True)
        table.set_drained(frozenset(), 1.1)
        table.apply_report(build_report(7), 2.0)
        self.assertIs(table.compute_delta(None).loads["m1"].draining, False)


class GossipTests(unittest.TestCase):
    def test_order_and_age(self):
        """Gossip is applied if it is later and its lease is still valid."""
        cases = {
            "later": (build_gossip(6), ACCEPTED, 4.0),
            "later but aged": (build_gossip(6, 500), ACCEPTED, 3.5),
            "older": (build_gossip(4), REFUSED, 3.0),
            "renewal of an unknown boot": (
                build_gossip(1, boot=8, server=None),
                REFUSED,
                3.0,
            ),
            "only a renewal": (build_gossip(6, server=None, load=None), ACCEPTED, 4.0),
            "lease expired": (build_gossip(6, 3000), REFUSED, 3.0),
        }
        for name, (gossip, result, lease_expires_at) in cases.items():
            with self.subTest(name):
                table = build_table()
                self.assertEqual(table.apply_gossip(gossip, 1.0), result)
                self.assertEqual(table.members["m1"].lease_expires_at, lease_expires_at)

    def test_unknown_server(self):
        """A renewal without the server is refused if the server is unknown."""
        table = MembershipTable(now=0.0)
        gossip = build_gossip(6, server=None)
        self.assertEqual(table.apply_gossip(gossip, 1.0), REFUSED)
        self.assertEqual(table.apply_gossip(build_gossip(6), 1.0), ACCEPTED)
        self.assertEqual(list_visible(table), ["m1"])

    def test_max_members(self):
        """A full table refuses new servers and still updates known ones."""
        with unittest.mock.patch.object(table_module, "MAX_MEMBERS", 1):
            table = build_table()
            gossip = build_gossip(6, server_id="m2")
            self.assertEqual(table.apply_gossip(gossip, 1.0), REFUSED)
            self.assertEqual(table.apply_gossip(build_gossip(6), 1.0), ACCEPTED)

    def test_full_table(self):
        """Members that are gone make room for servers that check in."""
        with unittest.mock.patch.object(table_module, "MAX_MEMBERS", 1):
            table = build_table()
            table.apply_gossip(build_gossip(6, left=True), 1.0)
            server = replace(SERVER, server_id="m2")
            gossip = build_gossip(6, server_id="m2", server=server)
            self.assertEqual(table.apply_gossip(gossip, 2.0), ACCEPTED)
            self.assertEqual(list_visible(table), ["m2"])
            self.assertIs(table.compute_delta(1).complete, True)

    def test_loss_reported_by_gossip(self):
        """A loss is applied unless it is older or of another boot."""
        cases = {
            "same report": (build_gossip(5, left=True), []),
            "earlier report": (build_gossip(4, left=True), ["m1"]),
            "previous boot": (build_gossip(9, boot=6, left=True), ["m1"]),
            "unknown boot": (build_gossip(1, boot=8, left=True), ["m1"]),
        }
        for name, (gossip, expected) in cases.items():
            with self.subTest(name):
                table = build_table()
                table.apply_gossip(gossip, 1.0)
                self.assertEqual(list_visible(table), expected)

    def test_agent_that_changed_replicas(self):
        """Gossip of the new replica renews the lease at the old one."""
        before, after = build_table(), MembershipTable(now=0.0)
        after.apply_gossip(before.list_local_gossip(-1, 0.0)[0], 0.0)
        before.shorten_lease("m1", 7, 0.1)
        after.apply_report(build_report(6), 0.3)
        for gossip in after.list_local_gossip(-1, 0.4):
            before.apply_gossip(gossip, 0.4)
        self.assertEqual(before.expire(1.2), [])
        self.assertEqual(before.list_local_gossip(-1, 1.2), [])
        self.assertEqual(before.members["m1"].lease_expires_at, 3.3)

    def test_local_gossip(self):
        """Gossip has all leases, but only changed servers and loads."""
        table = build_table()
        view = table.view
        table.apply_report(build_report(6), 1.0)
        cases = {
            "everything": (-1, build_gossip(6, 250)),
            "renewal": (view, build_gossip(6, 250, server=None, load=None)),
        }
        for name, (since, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(table.list_local_gossip(since, 1.25), [expected])
        table.expire(4.0)
        [gossip] = table.list_local_gossip(view, 4.0)
        self.assertIs(gossip.left, True)
        self.assertEqual(table.list_local_gossip(table.view, 4.0), [])


def build_foreign(number: int, sequence: int = 1, **changes: object) -> AgentReport:
    """Return a report of another server."""
    values = {"server_id": f"f{number}", "service": "elsewhere"} | changes
    server = replace(SERVER, **values)
    return AgentReport(server=server, load=LoadReport(sequence=sequence))


class UnnamedServiceTests(unittest.TestCase):
    """Servers of services that no route may name."""

    def build(self) -> MembershipTable:
        table = build_table()
        table.set_services(frozenset({"llama"}), 0.0)
        return table

    def test_not_shown_until_named(self):
        """Entries see a server once its service is named."""
        table = self.build()
        table.apply_report(build_foreign(1), 0.1)
        self.assertEqual(list_visible(table), ["m1"])
        table.expire(0.2)
        self.assertEqual(list_visible(table), ["m1"])
        view = table.view
        table.set_services(frozenset({"llama", "elsewhere"}), 0.3)
        self.assertEqual(table.compute_delta(view).servers[0].server_id, "f1")

    def test_shown_server_stays(self):
        """A server is still shown when its service is dropped."""
        table = self.build()
        table.set_services(frozenset({"other"}), 0.1)
        table.apply_report(build_report(6), 0.2)
        self.assertEqual(list_visible(table), ["m1"])

    def test_hidden_server_hides_no_change(self):
        """Deltas hold the changes before a server that is not shown."""
        table = self.build()
        view = table.view
        table.apply_report(build_report(6, draining=True), 0.1)
        table.apply_report(build_foreign(1), 0.2)
        self.assertEqual(list(table.compute_delta(view).loads), ["m1"])

    def test_identifier_of_a_server(self):
        """An unnamed service takes no identifier, and yields one."""
        table = self.build()
        taking = build_foreign(1, server_id="m1", boot=9)
        self.assertEqual(table.apply_report(taking, 0.1), REFUSED)
        self.assertEqual(table.members["m1"].server, SERVER)
        for server_id in ("m2", "m3"):
            table.apply_report(build_foreign(1, server_id=server_id, boot=9), 0.1)
        real = replace(SERVER, server_id="m2")
        report = AgentReport(server=real, load=LoadReport(sequence=1))
        self.assertEqual(table.apply_report(report, 0.2), ACCEPTED)
        self.assertEqual(set(list_visible(table)), {"m1", "m2"})

    def test_bound(self):
        """Of unnamed services, those that reported last are kept."""
        table = self.build()
        with unittest.mock.patch.object(table_module, "MAX_UNNAMED_MEMBERS", 3):
            for number in range(3):
                table.apply_report(build_foreign(number), 0.1)
            table.apply_report(build_foreign(0, sequence=2), 0.2)
            for number in (3, 4):
                table.apply_report(build_foreign(number), 0.3)
        self.assertEqual(set(table.members), {"m1", "f0", "f3", "f4"})

    def test_versions(self):
        """Versions of servers that nobody saw push out no others.

        Streams of a version that is forgotten can't be taken up.
        """
        table = self.build()
        for boot in (1, 2):
            report = build_foreign(1, boot=boot, software_version=f"v{boot}")
            table.apply_report(report, 0.1 * boot)
        self.assertEqual(set(table.expire(10.0)), {"m1", "f1"})
        sightings = table.versions.list_sightings(10.0)
        self.assertEqual([each.service for each in sightings], ["llama"])

    def test_full_table(self):
        """They make room for a server of a named service."""
        table = self.build()
        table.apply_report(build_foreign(1), 0.1)
        report = build_foreign(2, service="llama")
        with unittest.mock.patch.object(table_module, "MAX_MEMBERS", 2):
            self.assertEqual(table.apply_report(report, 0.2), ACCEPTED)
        self.assertEqual(set(table.members), {"m1", "f2"})


class BeforeServicesTests(unittest.TestCase):
    """Servers that check in before a configuration names services."""

    def setUp(self):
        for name, value in (
            ("MAX_MEMBERS_BEFORE_SERVICES", 5),
            ("MAX_PRESENT_BEFORE_SERVICES", 3),
        ):
            patch = unittest.mock.patch.object(table_module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.table = MembershipTable(now=0.0, expects_services=True)

    def list_present(self):
        return [member.server.server_id for member in self.table.list_present()]

    def test_bound(self):
        """Foreign identifiers do not grow the table, or replace a server.

        The server renews its lease; the foreign ones check in once.
        """
        for number in range(50):
            now = 0.1 * number
            self.table.apply_report(build_report(number + 1), now)
            self.table.apply_report(build_foreign(number), now + 0.05)
            self.assertLessEqual(len(self.table.members), 5)
        self.assertEqual(self.list_present(), ["f48", "f49", "m1"])
        self.assertEqual(sorted(list_visible(self.table)), ["f48", "f49", "m1"])

    def test_entries_learn_of_removals(self):
        """An entry is told which servers made room, without the whole list."""
        for number in range(3):
            self.table.apply_report(build_foreign(number), 0.1 * number)
        for number in range(3, 12):
            view = self.table.view
            self.table.apply_report(build_foreign(number), 0.1 * number)
            delta = self.table.compute_delta(view)
            self.assertIs(delta.complete, False)
            self.assertEqual(delta.removed, (f"f{number - 3}",))

    def test_earlier_reports_of_other_replicas(self):
        """Replicas with different servers don't replace each other's."""
        for number in range(3):
            self.table.apply_report(build_foreign(number), 1.0)
        server = replace(SERVER, server_id="m2")
        gossip = build_gossip(1, 500, server_id="m2", server=server)
        self.assertEqual(self.table.apply_gossip(gossip, 1.1), REFUSED)
        self.assertEqual(self.list_present(), ["f0", "f1", "f2"])

    def test_named_services(self):
        """Once services are named, their servers have all the room."""
        self.table.apply_report(build_foreign(0), 0.0)
        self.table.set_services(frozenset({"elsewhere"}), 0.1)
        for number in range(1, 20):
            self.table.apply_report(build_foreign(number), 0.2)
        self.assertEqual(len(self.list_present()), 20)

    def test_server_that_made_room(self):
        """A server that made room is shown again with its next report."""
        for number in range(4):
            self.table.apply_report(build_foreign(number), 0.1 * number)
        self.assertNotIn("f0", list_visible(self.table))
        self.table.apply_report(build_foreign(0, sequence=2), 0.5)
        self.assertIn("f0", list_visible(self.table))
