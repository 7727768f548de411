import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings

from carobspring.domain import Address
from carobspring.platform import InstanceSettings, NodeFileError, read_node_file
from tests.platform import strategies
from tests.platform.strategies import DEEP_TEXTS

FILE = {
    "node_name": "edge-a-1",
    "role": "carob-entry",
    "machine_class": "edge",
    "serves": ["edge"],
    "ip": "10.1.0.40",
    "zone": "a",
    "region": "r",
    "listen": {"frontend": "10.1.0.40:8227", "readiness": "10.1.0.40:8220"},
    "port_range": [7340, 7355],
    "seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
    "bootstrap": True,
    "fault_counted": True,
    "limits": {"memory_mb": 150, "max_fds": 4100},
    "data_dir": "/data/x",
    "heartbeat_ms": 1200,
    "fault_tolerance": {"machines": 1, "zones": 0},
    "bounds": {
        "catch_up_s": 3,
        "grace_s": 8,
        "config_apply_ms": 2000,
        "retry_budget": 0.2,
        "retry_slack": 58,
        "retry_window_s": 10,
        "fail_closed": False,
    },
    "a_field_to_come": {"x": 1},
}


class NodeFileTests(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "local.json"

    def read(self, **changes):
        self.path.write_text(json.dumps(FILE | changes))
        return read_node_file(self.path)

    def test_all_fields(self):
        """Every field that is used is decoded under the project's name."""
        self.assertEqual(
            self.read(),
            InstanceSettings(
                instance="edge-a-1",
                role="carob-entry",
                ip="10.1.0.40",
                availability_zone="a",
                frontend_address=Address(host="10.1.0.40", port=8227),
                readiness_address=Address(host="10.1.0.40", port=8220),
                control_address=None,
                internal_ports=(7340, 7355),
                seeds=(
                    Address(host="10.1.0.40", port=8229),
                    Address(host="10.2.0.29", port=8229),
                ),
                is_first_start=True,
                is_fault_counted=True,
                data_directory="/data/x",
                memory_mb=150,
                max_descriptors=4100,
                check_in_interval_s=1.2,
                tolerated_failures=1,
                stop_grace_s=8.0,
                catch_up_deadline_s=3.0,
                configuration_deadline_s=2.0,
                retry_share=0.2,
                retry_slack=58.0,
                retry_window_s=10.0,
            ),
        )

    def test_absent_fields(self):
        """Absent addresses, data directory and seeds are empty."""
        settings = self.read(listen={}, data_dir=None, seeds=[])
        result = (settings.frontend_address, settings.data_directory, settings.seeds)
        self.assertEqual(result, (None, "", ()))

    def test_invalid_files(self):
        """An invalid or missing file is refused with its path and a reason."""
        cases = {
            "not JSON": ("{", "truncated"),
            "a missing field": (json.dumps({"ip": "10.0.0.1"}), "node_name"),
            "a seed that is no address": (json.dumps(FILE | {"seeds": ["x"]}), "seeds"),
            "a bound that is no number": (
                json.dumps(FILE | {"bounds": {"grace_s": True}}),
                "bounds.grace_s",
            ),
        }
        for name, (content, reason) in cases.items():
            with self.subTest(name):
                self.path.write_text(content)
                with self.assertRaisesRegex(NodeFileError, reason):
                    read_node_file(self.path)
        with self.subTest("no file"), self.assertRaisesRegex(NodeFileError, "No such"):
            read_node_file(self.path.parent / "none")

    @settings(derandomize=True, deadline=None)
    @given(strategies.build_variants(FILE))
    def test_any_field(self, body):
        """Any field may have any value; the file is read or refused."""
        self.path.write_bytes(body)
        try:
            settings = read_node_file(self.path)
        except NodeFileError:
            return
        self.assertGreater(settings.check_in_interval_s, 0.0)
        self.assertLess(settings.check_in_interval_s, float("inf"))

    def test_depth(self):
        """A file nested without end is refused."""
        for body in DEEP_TEXTS:
            self.path.write_bytes(body)
            with self.subTest(body=body[:10]), self.assertRaises(NodeFileError):
                read_node_file(self.path)
