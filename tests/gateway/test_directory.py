import unittest

from carobspring.domain import BackendServer, LoadReport, ServiceKind
from carobspring.gateway import BackendDirectory
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
        self.directory = BackendDirectory(
            on_change=lambda name, listed: self.changes.append((name, listed))
        )

    def state(self):
        return {
            each.server.server_id: (each.server.boot, each.draining)
            for each in self.directory.list_all()
        }

    def test_listed_while_any_replica_lists(self):
        """A server goes only when the last replica has dropped it."""
        for replica in ("r1", "r2"):
            self.directory.apply_update(
                replica, build_update(build_server(), complete=True)
            )
        self.directory.apply_update("r1", build_update(removed=("s1",)))
        self.assertEqual(self.state(), {"s1": (1, False)})
        self.directory.apply_update("r2", build_update(removed=("s1",)))
        self.assertEqual(self.state(), {})
        self.assertEqual(self.changes[-1], ("s1", None))

    def test_draining_is_final_for_a_boot(self):
        """A replica that lags can't end a drain; a new boot can."""
        self.directory.apply_update(
            "r1", build_update(build_server(), draining=("s1",))
        )
        self.directory.apply_update("r2", build_update(build_server(), sequence=9))
        self.assertEqual(self.state(), {"s1": (1, True)})
        self.directory.apply_update("r2", build_update(build_server(boot=2)))
        self.assertEqual(self.state(), {"s1": (2, False)})

    def test_newest_boot_counts(self):
        """A replica that lags does not bring an earlier start back."""
        self.directory.apply_update("r1", build_update(build_server(boot=2)))
        self.directory.apply_update(
            "r2", build_update(build_server(boot=1), sequence=99)
        )
        self.assertEqual(self.state(), {"s1": (2, False)})

    def test_address_belongs_to_the_newest(self):
        """Of two servers at one address the later start has it."""
        self.directory.apply_update("r1", build_update(build_server("old", boot=1)))
        self.directory.apply_update("r1", build_update(build_server("new", boot=5)))
        self.assertEqual(self.state(), {"new": (5, False)})
        self.directory.apply_update("r2", build_update(build_server("old", boot=1)))
        self.assertEqual(self.state(), {"new": (5, False)})

    def test_new_stream_replaces_its_view(self):
        """A complete view drops what it does not name, if no other does."""
        both = (build_server("s1"), build_server("s2", port=81))
        self.directory.apply_update("r1", build_update(*both, complete=True))
        self.directory.apply_update("r1", build_update(both[1], complete=True))
        self.assertEqual(self.state(), {"s2": (1, False)})

    def test_last_view_stays(self):
        """The only view is kept when its replica is given up."""
        self.directory.apply_update("r1", build_update(build_server(), complete=True))
        self.directory.forget_replica("r1")
        self.assertEqual(self.state(), {"s1": (1, False)})
        self.directory.apply_update("r2", build_update(complete=True))
        self.directory.forget_replica("r1")
        self.assertEqual(self.state(), {})
