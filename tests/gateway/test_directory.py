import unittest
import unittest.mock
from dataclasses import replace

from carobspring.domain import BackendServer, LoadReport, ServiceKind
from carobspring.gateway import BackendDirectory, directory as directory_module
from carobspring.protocol import ViewUpdate


def build_server(name="s1", boot=1, port=80):
    return BackendServer(
        server_id=name,
        boot=boot,
        service="svc",
        kind=ServiceKind.PLAIN,
        zone="a",
        host="10.0.0.1",
        port=port,
    )


def build_update(*servers, complete=False, removed=(), draining=(), sequence=1):
    loads = {
        name: LoadReport(sequence=sequence, draining=name in draining)
        for name in {*draining, *(server.server_id for server in servers)}
    }
    return ViewUpdate(complete=complete, servers=servers, loads=loads, removed=removed)


class DirectoryTests(unittest.TestCase):
    def setUp(self):
        self.changes = []
        self.serving = set()
        self.directory = BackendDirectory(
            on_change=lambda name, listed: self.changes.append((name, listed)),
            is_serving=lambda server: server.server_id in self.serving,
        )

    def get_states(self):
        return {
            listed.server.server_id: (listed.server.boot, listed.draining)
            for listed in self.directory.list_all()
        }

    def test_server_that_cannot_be_used(self):
        """A server whose change can't be applied hides no other one."""

        def apply(name, listed):
            if name == "s1":
                raise ValueError("not usable")
            self.changes.append(name)

        directory = BackendDirectory(on_change=apply, is_serving=lambda server: False)
        with self.assertLogs("carobspring.gateway.directory", "ERROR"):
            directory.apply_update(
                "r1", build_update(build_server("s1"), build_server("s2", port=81))
            )
        self.assertEqual(self.changes, ["s2"])

    def test_services_that_no_routes_name(self):
        """Servers that nothing is routed to are not listed.

        Anyone can check them in, and each listed one takes memory.
        """
        self.directory.set_services(frozenset())
        for replica in ("r1", "r2"):
            self.directory.apply_update(replica, build_update(build_server()))
        self.directory.apply_update("r1", build_update(draining=("s1",)))
        self.assertEqual((self.changes, self.get_states()), ([], {}))
        self.directory.set_services(frozenset({"svc"}))
        self.assertEqual(self.get_states(), {"s1": (1, True)})

    def test_service_that_is_no_longer_named(self):
        """A listed server stays listed, since requests may run there."""
        self.directory.set_services(frozenset({"svc"}))
        self.directory.apply_update("r1", build_update(build_server()))
        self.directory.set_services(frozenset({"other"}))
        self.directory.apply_update("r1", build_update(build_server(), sequence=2))
        self.assertEqual(self.get_states(), {"s1": (1, False)})
        self.directory.apply_update("r1", build_update(removed=("s1",)))
        self.assertEqual(self.get_states(), {})

    def test_hidden_server_takes_no_address(self):
        """A server that is not listed does not contest an address."""
        self.directory.set_services(frozenset({"svc"}))
        self.directory.apply_update("r1", build_update(build_server()))
        foreign = replace(build_server("s2", boot=9), service="other")
        self.directory.apply_update("r1", build_update(foreign))
        self.assertEqual(self.get_states(), {"s1": (1, False)})
        self.assertIs(self.directory.is_contested(foreign), False)

    def test_listed_while_any_replica_lists(self):
        """A server is removed only when no replica lists it any more."""
        for replica in ("r1", "r2"):
            self.directory.apply_update(
                replica, build_update(build_server(), complete=True)
            )
        self.directory.apply_update("r1", build_update(removed=("s1",)))
        self.assertEqual(self.get_states(), {"s1": (1, False)})
        self.directory.apply_update("r2", build_update(removed=("s1",)))
        self.assertEqual(self.get_states(), {})
        self.assertEqual(self.changes[-1], ("s1", None))

    def test_draining_is_final_for_a_boot(self):
        """An outdated replica can't end a drain; a new boot can."""
        self.directory.apply_update(
            "r1", build_update(build_server(), draining=("s1",))
        )
        self.directory.apply_update("r2", build_update(build_server(), sequence=9))
        self.assertEqual(self.get_states(), {"s1": (1, True)})
        self.directory.apply_update("r2", build_update(build_server(boot=2)))
        self.assertEqual(self.get_states(), {"s1": (2, False)})

    def test_bound_of_drained_servers(self):
        """Of servers that drained, the latest are remembered."""
        with unittest.mock.patch.object(directory_module, "MAX_DRAINING", 2):
            for port, name in enumerate(("s1", "s2", "s3"), 81):
                server = build_server(name, port=port)
                self.directory.apply_update(
                    "r1", build_update(server, draining=(name,))
                )
                self.directory.apply_update("r1", build_update(removed=(name,)))
                self.directory.apply_update("r2", build_update(server))
                self.directory.apply_update("r2", build_update(removed=(name,)))
            for port, name in enumerate(("s1", "s2", "s3"), 81):
                server = build_server(name, port=port)
                self.directory.apply_update("r3", build_update(server))
        expected = {"s1": (1, False), "s2": (1, True), "s3": (1, True)}
        self.assertEqual(self.get_states(), expected)

    def test_newest_boot_is_listed(self):
        """An outdated replica does not bring back an earlier boot."""
        self.directory.apply_update("r1", build_update(build_server(boot=2)))
        self.directory.apply_update(
            "r2", build_update(build_server(boot=1), sequence=99)
        )
        self.assertEqual(self.get_states(), {"s1": (2, False)})

    def test_address_belongs_to_the_newest(self):
        """Of two servers at one address, the later boot is listed."""
        self.directory.apply_update("r1", build_update(build_server("old", boot=1)))
        self.directory.apply_update("r1", build_update(build_server("new", boot=5)))
        self.assertEqual(self.get_states(), {"new": (5, False)})
        self.directory.apply_update("r2", build_update(build_server("old", boot=1)))
        self.assertEqual(self.get_states(), {"new": (5, False)})

    def test_server_that_serves_keeps_its_address(self):
        """Another one gets it when a response shows that the first is gone."""
        old, new = build_server("old", boot=1), build_server("new", boot=5)
        self.serving.add("old")
        self.directory.apply_update("r1", build_update(old))
        self.directory.apply_update("r1", build_update(new))
        self.assertEqual(self.get_states(), {"old": (1, False)})
        self.assertEqual(self.changes, [("old", self.directory.find("old"))])
        self.directory.record_misdirected(old)
        self.serving.clear()
        self.assertEqual(self.get_states(), {"new": (5, False)})
        self.directory.record_misdirected(new)
        self.assertEqual(self.get_states(), {"old": (1, False)})

    def test_server_that_waits_for_an_address(self):
        """It is listed once the other one serves no longer, or is gone."""
        servers = (build_server("old", boot=1), build_server("new", boot=5))
        cases = {
            "the next heartbeat after it failed": build_update(),
            "its removal": build_update(removed=("old",)),
            "its move": build_update(build_server("old", boot=1, port=81)),
        }
        for name, update in cases.items():
            with self.subTest(name):
                self.setUp()
                self.serving.add("old")
                self.directory.apply_update("r1", build_update(*servers))
                self.assertNotIn("new", self.get_states())
                if name.startswith("the next"):
                    self.serving.clear()
                self.directory.apply_update("r1", update)
                self.assertIn("new", self.get_states())

    def test_refuted_server_without_another_one(self):
        """A server stays listed if no other one names its address."""
        self.directory.apply_update("r1", build_update(build_server()))
        self.directory.record_misdirected(build_server())
        self.directory.record_misdirected(build_server("unknown"))
        self.assertEqual(self.get_states(), {"s1": (1, False)})

    def test_complete_update_replaces_the_view(self):
        """A complete update removes servers that no replica lists."""
        both = (build_server("s1"), build_server("s2", port=81))
        self.directory.apply_update("r1", build_update(*both, complete=True))
        self.directory.apply_update("r1", build_update(both[1], complete=True))
        self.assertEqual(self.get_states(), {"s2": (1, False)})

    def test_kept_view_is_dropped(self):
        """A view kept for want of others is dropped once there is another."""
        servers = (build_server("s1"), build_server("s2", port=81))
        for replica in ("r1", "r2"):
            self.directory.apply_update(replica, build_update(*servers, complete=True))
        for replica in ("r1", "r2"):
            self.directory.remove_replica(replica)
        empty = replace(build_update(complete=True), confirmed=False)
        self.directory.apply_update("holds no replica", empty)
        self.assertEqual(set(self.get_states()), {"s1", "s2"})
        self.directory.apply_update("r3", build_update(servers[0], complete=True))
        self.assertEqual(set(self.get_states()), {"s1"})

    def test_last_view_is_kept(self):
        """The only view is kept when its replica is no longer followed."""
        self.directory.apply_update("r1", build_update(build_server(), complete=True))
        self.directory.remove_replica("r1")
        self.assertEqual(self.get_states(), {"s1": (1, False)})
        self.directory.apply_update("r2", build_update(complete=True))
        self.directory.remove_replica("r1")
        self.assertEqual(self.get_states(), {})
