import tempfile
import unittest
from pathlib import Path

import msgspec

from carobspring.adapters.disk import DiskStorage
from carobspring.consensus import frame_record, split_records
from carobspring.control.last_known_state import FILE_NAME, LastKnownStateFile
from carobspring.control.state import ControlState
from carobspring.domain import FINAL_SEQUENCE, LoadReport
from carobspring.membership.withdrawals import RETENTION_S
from carobspring.ports import Clock, StorageError
from carobspring.protocol import AgentReport, RoutingConfiguration, VersionSighting
from tests.control.harness import make_server

LEASE_S = 6.0


class ManualClock(Clock):
    """A clock whose time is set by a test."""

    def __init__(self):
        self.now = 100.0
        self.wall_ms = 0

    def read_monotonic(self):
        return self.now

    def read_wall_ms(self):
        return self.wall_ms


class LastKnownStateTests(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.storage = DiskStorage(self.directory)
        self.addCleanup(self.storage.close)
        self.clock = ManualClock()

    def build(self):
        state = ControlState(replica_id="r", clock=self.clock, lease_s=LEASE_S)
        return state, LastKnownStateFile(storage=self.storage, state=state)

    def write(self):
        state, file = self.build()
        state.last_known_routing = RoutingConfiguration(version=7, body=b"routes")
        for name, draining in (("s1", False), ("s2", True)):
            load = LoadReport(sequence=40, limit=4, draining=draining)
            report = AgentReport(server=make_server(name), load=load)
            state.members.apply_report(report, self.clock.now)
        file.write_if_due()

    def test_restore(self):
        """The next start restores routes and, for a short time, servers."""
        self.write()
        state, file = self.build()
        file.load(lease_s=LEASE_S)
        self.assertEqual(
            state.find_routing(), RoutingConfiguration(version=7, body=b"routes")
        )
        present = state.members.list_present()
        self.assertEqual(
            [(m.server.server_id, m.load.draining) for m in present],
            [("s1", False), ("s2", True)],
        )
        self.clock.now += 3.0
        state.expire_leases(self.clock.now)
        self.assertEqual(state.members.list_present(), [])

    def test_withdrawals(self):
        """A server that left before the restart of all replicas stays out."""
        state, file = self.build()
        state.members.withdraw("s3", 7, FINAL_SEQUENCE, self.clock.now)
        file.write_if_due()
        written = self.storage.read(FILE_NAME)
        self.clock.now += 1.0
        self.clock.wall_ms += 1001
        file.write_if_due()
        self.assertEqual(self.storage.read(FILE_NAME), written)
        for late_s, expected in ((10, []), (RETENTION_S, ["s3"])):
            with self.subTest(late_s=late_s):
                self.clock.wall_ms += int(late_s * 1000)
                state, file = self.build()
                file.load(lease_s=LEASE_S)
                report = AgentReport(
                    server=make_server("s3"), load=LoadReport(sequence=1)
                )
                state.members.apply_report(report, self.clock.now)
                present = state.members.list_present()
                self.assertEqual([m.server.server_id for m in present], expected)

    def test_unusable_server(self):
        """Servers that this release rejects don't hide the others."""
        self.write()
        records = split_records(FILE_NAME, self.storage.read(FILE_NAME))
        content = msgspec.msgpack.decode(next(iter(records)).content)
        content["servers"][0]["server"]["host"] = "[::1"
        record = frame_record(msgspec.msgpack.encode(content))
        self.storage.write_atomically(FILE_NAME, record)
        state, file = self.build()
        file.load(lease_s=LEASE_S)
        present = [m.server.server_id for m in state.members.list_present()]
        self.assertEqual((state.find_routing().version, present), (7, ["s2"]))

    def test_versions(self):
        """The next start knows the versions that left before it."""
        state, file = self.build()
        state.members.versions.known_since = self.clock.now - 50.0
        state.members.versions.record("svc", "v1", self.clock.now - 10.0)
        state.last_known_routing = RoutingConfiguration(version=7, body=b"routes")
        file.write_if_due()
        self.clock.now += 20.0
        self.clock.wall_ms += 20_000
        state, file = self.build()
        file.load(lease_s=LEASE_S)
        versions = state.members.versions
        self.assertEqual(
            versions.list_sightings(self.clock.now),
            (VersionSighting(service="svc", version="v1", age_ms=30_000),),
        )
        self.assertEqual(versions.compute_cover_ms(self.clock.now), 70_000)

    def test_check_in_renews_lease(self):
        """The first check-in of a running server renews its restored lease."""
        self.write()
        state, file = self.build()
        file.load(lease_s=LEASE_S)
        report = AgentReport(server=make_server("s1"), load=LoadReport(sequence=1))
        result = state.members.apply_report(report, self.clock.now)
        self.assertIs(result.accepted, True)
        self.clock.now += 3.0
        state.expire_leases(self.clock.now)
        names = [m.server.server_id for m in state.members.list_present()]
        self.assertEqual(names, ["s1"])

    def test_truncated_file(self):
        """A file that was truncated by a power failure is ignored."""
        self.write()
        path = self.directory / FILE_NAME
        content = path.read_bytes()
        for size in (0, 5, len(content) // 2, len(content) - 1):
            with self.subTest(size=size):
                path.write_bytes(content[:size])
                state, file = self.build()
                file.load(lease_s=LEASE_S)
                self.assertEqual(state.find_routing(), RoutingConfiguration())

    def test_newer_routes_of_the_log(self):
        """Routes of the log are used once they are newer."""
        self.write()
        state, file = self.build()
        file.load(lease_s=LEASE_S)
        state.machine.routing.restore(RoutingConfiguration(version=8, body=b"new"))
        self.assertEqual(state.find_routing().version, 8)

    def test_full_disk(self):
        """A failed write is logged and retried later."""
        state, file = self.build()
        state.last_known_routing = RoutingConfiguration(version=7, body=b"routes")

        def fail(name, data):
            raise StorageError(path=name, action="write", reason="no space")

        self.storage.write_atomically = fail
        with self.assertLogs("carobspring.control.last_known_state", "WARNING"):
            file.write_if_due()
        del self.storage.write_atomically
        file.write_if_due()
        self.assertIs((self.directory / FILE_NAME).exists(), False)
        self.clock.now += 11.0
        file.write_if_due()
        self.assertIs((self.directory / FILE_NAME).exists(), True)
