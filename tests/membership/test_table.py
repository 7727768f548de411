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


def make_report(
    sequence: int, *, boot: int = 7, leaving: bool = False, **load: object
) -> AgentReport:
    return AgentReport(
        server=replace(SERVER, boot=boot),
        load=LoadReport(sequence=sequence, **load),
        leaving=leaving,
    )


def make_news(sequence: int, age_ms: int = 0, **changes: object) -> MemberGossip:
    news = MemberGossip(
        server_id="m1",
        boot=7,
        sequence=sequence,
        age_ms=age_ms,
        server=SERVER,
        load=LoadReport(sequence=sequence),
    )
    return replace(news, **changes)


def make_table(now: float = 0.0) -> MembershipTable:
    """Return a table with one server, heard of at this time."""
    table = MembershipTable(now=now)
    table.apply_report(make_report(5), now)
    return table


def list_names(table: MembershipTable) -> list[str]:
    return [server.server_id for server in table.compute_delta(None).servers]


class OrderTests(unittest.TestCase):
    def test_order_of_reports(self):
        """Later boots and sequences count; earlier ones change nothing."""
        taken = ReportResult(accepted=False, minimum_boot=8)
        cases = {
            "next": (make_report(6), ACCEPTED, 7, 6),
            "late copy": (make_report(5), REFUSED, 7, 5),
            "older": (make_report(4), REFUSED, 7, 5),
            "restart": (make_report(1, boot=8), ACCEPTED, 8, 1),
            "run before": (make_report(9, boot=6), taken, 7, 5),
            "late leave of the run before": (
                make_report(9, boot=6, leaving=True),
                taken,
                7,
                5,
            ),
            "without a server": (AgentReport(), REFUSED, 7, 5),
        }
        for name, (report, answer, boot, sequence) in cases.items():
            with self.subTest(name):
                table = make_table()
                self.assertEqual(table.apply_report(report, 1.0), answer)
                member = table.members["m1"]
                self.assertEqual(
                    (member.server.boot, member.sequence), (boot, sequence)
                )
                self.assertEqual(list_names(table), ["m1"])

    def test_after_leaving(self):
        """What left stays away, unless it reports anew."""
        cases = {
            "late copy": (make_report(5), False),
            "late copy of the leave": (make_report(6, leaving=True), False),
            "report from before the leave": (make_report(6), False),
            "later report": (make_report(7), True),
            "restart": (make_report(1, boot=8), True),
        }
        for name, (report, back) in cases.items():
            with self.subTest(name):
                table = make_table()
                table.apply_report(make_report(6, leaving=True), 0.5)
                self.assertEqual(list_names(table), [])
                table.apply_report(report, 1.0)
                self.assertEqual(list_names(table), ["m1"] if back else [])

    def test_boot_after_a_lost_lease(self):
        """A boot that another replaced is refused also when both are gone."""
        table = make_table()
        table.expire(4.0)
        answer = table.apply_report(make_report(9, boot=6), 5.0)
        self.assertEqual(answer, ReportResult(accepted=False, minimum_boot=8))


class LeaseTests(unittest.TestCase):
    def test_lease(self):
        """A lease lasts 3 s from the last report, 1 s from a broken stream."""
        cases = {
            "silent, held": (None, 2.9, True),
            "silent, over": (None, 3.0, False),
            "stream broke, held": (7, 1.4, True),
            "stream broke, over": (7, 1.5, False),
            "stream of another boot broke": (6, 2.9, True),
        }
        for name, (broken_boot, now, present) in cases.items():
            with self.subTest(name):
                table = make_table()
                if broken_boot:
                    table.shorten_lease("m1", broken_boot, 0.5)
                gone = table.expire(now)
                self.assertEqual(gone, [] if present else ["m1"])
                self.assertEqual(list_names(table), ["m1"] if present else [])

    def test_renewal(self):
        """Each report renews the lease, also one that says nothing new."""
        table = make_table()
        table.apply_report(make_report(6), 2.0)
        self.assertEqual(table.expire(4.9), [])
        self.assertEqual(table.expire(5.0), ["m1"])

    def test_boot_is_gone(self):
        """A boot is gone when replaced or expired; early on nobody knows."""
        cases = {
            "holds": (7, 1.0, False),
            "replaced": (6, 1.0, True),
            "not heard of yet": (8, 1.0, False),
            "expired": (7, 3.5, True),
        }
        for name, (boot, now, gone) in cases.items():
            with self.subTest(name):
                table = make_table()
                table.expire(now)
                self.assertIs(table.is_boot_gone("m1", boot, now), gone)
        table = MembershipTable(now=0.0)
        self.assertIs(table.is_boot_gone("m1", 7, 5.9), None)
        self.assertIs(table.is_boot_gone("m1", 7, 6.1), True)

    def test_flapping(self):
        """A server that was lost three times is shown once it holds again."""
        table = make_table()
        for boot in (8, 9, 10):
            table.apply_report(make_report(1, boot=boot), float(boot - 7))
        self.assertEqual(list_names(table), [])
        for sequence, now in enumerate((5.0, 7.0), 2):
            table.apply_report(make_report(sequence, boot=10), now)
        table.expire(7.9)
        self.assertEqual(list_names(table), [])
        table.expire(8.0)
        self.assertEqual(list_names(table), ["m1"])

    def test_planned_restarts_are_no_flaps(self):
        """Who leaves in order and comes back, often too, is shown at once."""
        table = make_table()
        for boot in range(8, 14):
            leave = make_report(9, boot=boot - 1, leaving=True)
            table.apply_report(leave, boot / 10)
            table.apply_report(make_report(1, boot=boot), boot / 10)
            self.assertEqual(list_names(table), ["m1"])


class DeltaTests(unittest.TestCase):
    def test_deltas_add_up(self):
        """The deltas after a view lead to the same as a complete one."""
        table = make_table()
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
        table.apply_report(make_report(6, leaving=True), 0.2)
        self.assertEqual(
            table.compute_delta(second.view),
            ViewDelta(view=table.view, removed=("m1",)),
        )
        self.assertEqual(list_names(table), ["m2"])

    def test_forgotten_removals(self):
        """A view from before a forgotten removal is answered whole."""
        table = make_table()
        old = table.view
        table.expire(3.0)
        later = table.view
        table.expire(700.0)
        self.assertEqual(table.members, {})
        self.assertIs(table.compute_delta(old).complete, True)
        self.assertIs(table.compute_delta(later).complete, False)

    def test_loads(self):
        """Loads are passed on by degree, at most each half second."""
        busy = {"running": 4, "limit": 8}
        cases = {
            "same": ({}, 0.6, False),
            "busy, too soon": (busy, 0.4, False),
            "busy": (busy, 0.6, True),
            "draining at once": ({"draining": True}, 0.1, True),
            "unhealthy at once": ({"unhealthy": True}, 0.1, True),
            "a little": ({"service_ms": 5.0}, 2.0, False),
            "same, long": ({}, 2.9, False),
            "a little, long": ({"service_ms": 5.0}, 2.9, True),
        }
        for name, (load, now, passed) in cases.items():
            with self.subTest(name):
                table = make_table()
                late = name.endswith("long")
                if late:
                    for sequence, at in enumerate((2.0, 4.0, 6.0, 8.0), 6):
                        table.apply_report(make_report(sequence), at)
                    now = 10.1
                view = table.view
                table.apply_report(make_report(10, **load), now)
                delta = table.compute_delta(view)
                expected = {"m1": LoadReport(sequence=10, **load)} if passed else {}
                self.assertEqual(delta.loads, expected)

    def test_loads_of_many_servers(self):
        """With many servers, each load goes less often, within the budget."""
        table = make_table()
        for number in range(2, 62):
            server = replace(SERVER, server_id=f"m{number}")
            table.apply_report(AgentReport(server=server), 0.0)
        # 61 servers of 230 bytes at 10,000 bytes a second.
        for now, passed in ((1.40, {}), (1.41, {"m1": 4})):
            view = table.view
            table.apply_report(make_report(int(now * 100), running=4, limit=8), now)
            loads = table.compute_delta(view).loads
            found = {name: load.running for name, load in loads.items()}
            self.assertEqual(found, passed)

    def test_what_is_urgent(self):
        """Only what entries must hear of at once counts as urgent."""
        cases = {
            "busy": (make_report(6, running=1), False),
            "draining": (make_report(6, draining=True), True),
            "unhealthy": (make_report(6, unhealthy=True), True),
            "leaving": (make_report(6, leaving=True), True),
            "restart": (make_report(1, boot=8), True),
        }
        for name, (report, urgent) in cases.items():
            with self.subTest(name):
                table = make_table()
                before = table.urgent_change_count
                table.apply_report(report, 1.0)
                self.assertIs(table.urgent_change_count > before, urgent)

    def test_waiting_load_is_passed_on_later(self):
        """A load that came too soon goes with the tick that is due."""
        table = make_table()
        view = table.view
        table.apply_report(make_report(6, running=1), 0.2)
        table.expire(0.4)
        self.assertEqual(table.compute_delta(view).loads, {})
        table.expire(0.5)
        expected = {"m1": LoadReport(sequence=6, running=1)}
        self.assertEqual(table.compute_delta(view).loads, expected)

    def test_drained(self):
        """A server that the operator drains is shown as draining."""
        table = make_table()
        table.set_drained(frozenset({"m1"}), 0.1)
        self.assertIs(table.compute_delta(None).loads["m1"].draining, True)
        table.apply_report(make_report(6), 1.0)
        self.assertIs(table.compute_delta(None).loads["m1"].draining, True)
        table.set_drained(frozenset(), 1.1)
        table.apply_report(make_report(7), 2.0)
        self.assertIs(table.compute_delta(None).loads["m1"].draining, False)


class GossipTests(unittest.TestCase):
    def test_news(self):
        """What another replica heard counts by its order and its age."""
        cases = {
            "later": (make_news(6), ACCEPTED, 4.0),
            "later but aged": (make_news(6, 500), ACCEPTED, 3.5),
            "older": (make_news(4), REFUSED, 3.0),
            "renewal of a run not described": (
                make_news(1, boot=8, server=None),
                REFUSED,
                3.0,
            ),
            "only a renewal": (make_news(6, server=None, load=None), ACCEPTED, 4.0),
            "too old to matter": (make_news(6, 3000), REFUSED, 3.0),
        }
        for name, (news, answer, lease_expires_at) in cases.items():
            with self.subTest(name):
                table = make_table()
                self.assertEqual(table.apply_gossip(news, 1.0), answer)
                self.assertEqual(table.members["m1"].lease_expires_at, lease_expires_at)

    def test_unknown_server(self):
        """A renewal of a server that was never described is passed over."""
        table = MembershipTable(now=0.0)
        news = make_news(6, server=None)
        self.assertEqual(table.apply_gossip(news, 1.0), REFUSED)
        self.assertEqual(table.apply_gossip(make_news(6), 1.0), ACCEPTED)
        self.assertEqual(list_names(table), ["m1"])

    def test_bound(self):
        """A full table takes no new server and keeps those it has."""
        with unittest.mock.patch.object(table_module, "MAX_MEMBERS", 1):
            table = make_table()
            news = make_news(6, server_id="m2")
            self.assertEqual(table.apply_gossip(news, 1.0), REFUSED)
            self.assertEqual(table.apply_gossip(make_news(6), 1.0), ACCEPTED)

    def test_leave_by_news(self):
        """A loss that another replica tells of counts if it knows as much."""
        cases = {
            "as recent": (make_news(5, left=True), []),
            "heard of since": (make_news(4, left=True), ["m1"]),
            "run before": (make_news(9, boot=6, left=True), ["m1"]),
            "run not heard of": (make_news(1, boot=8, left=True), ["m1"]),
        }
        for name, (news, expected) in cases.items():
            with self.subTest(name):
                table = make_table()
                table.apply_gossip(news, 1.0)
                self.assertEqual(list_names(table), expected)

    def test_agent_that_came_over(self):
        """The replica that lost the stream learns where the agent went."""
        before, after = make_table(), MembershipTable(now=0.0)
        after.apply_gossip(before.list_local_gossip(-1, 0.0)[0], 0.0)
        before.shorten_lease("m1", 7, 0.1)
        after.apply_report(make_report(6), 0.3)
        for news in after.list_local_gossip(-1, 0.4):
            before.apply_gossip(news, 0.4)
        self.assertEqual(before.expire(1.2), [])
        self.assertEqual(before.list_local_gossip(-1, 1.2), [])
        self.assertEqual(before.members["m1"].lease_expires_at, 3.3)

    def test_own_news(self):
        """Leases are always told, servers and loads where they changed."""
        table = make_table()
        seen = table.view
        table.apply_report(make_report(6), 1.0)
        cases = {
            "everything": (-1, make_news(6, 250)),
            "renewal": (seen, make_news(6, 250, server=None, load=None)),
        }
        for name, (since, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(table.list_local_gossip(since, 1.25), [expected])
        table.expire(4.0)
        [left] = table.list_local_gossip(seen, 4.0)
        self.assertIs(left.left, True)
        self.assertEqual(table.list_local_gossip(table.view, 4.0), [])
