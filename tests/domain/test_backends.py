import unittest

from carobspring.domain import (
    FINAL_SEQUENCE,
    BackendServer,
    InvalidValueError,
    LoadReport,
    ServiceKind,
)

VALUES = {
    "server_id": "s1",
    "boot": 1,
    "service": "svc",
    "kind": ServiceKind.PLAIN,
    "zone": "a",
    "host": "10.0.0.1",
    "port": 80,
}


class BackendServerTests(unittest.TestCase):
    def test_hosts(self):
        """A server is at an IP address or a host name."""
        for host in ("10.0.0.1", "::1", "[::1]", "server-1.example", "localhost"):
            with self.subTest(host):
                self.assertEqual(BackendServer(**VALUES | {"host": host}).host, host)
        for host in ("", "[::1", "::1]", "a b", "a\n", "[10.0.0.1]", "x" * 300, "\xe9"):
            with self.subTest(host), self.assertRaises(InvalidValueError):
                BackendServer(**VALUES | {"host": host})

    def test_bounds(self):
        """Counters and texts are what every reader can carry."""
        cases = {
            "boot": (2**63, -1),
            "software_version": ("v" * 257, "\0"),
            "port": (0, 65536),
        }
        for field, values in cases.items():
            for value in values:
                with self.subTest(field, value=value):
                    with self.assertRaises(InvalidValueError):
                        BackendServer(**VALUES | {field: value})
        LoadReport(sequence=FINAL_SEQUENCE)
        for sequence in (-1, 2**63):
            with self.subTest(sequence=sequence):
                with self.assertRaises(InvalidValueError):
                    LoadReport(sequence=sequence)
