import unittest

from carobspring.domain import Address
from carobspring.platform import ProviderCall, ProviderSettings, build_usage_call
from carobspring.platform.node import decode_node_file
from carobspring.protocol import DECODE_ERRORS

NODE_FILE = (
    b'{"node_name":"n","ip":"10.1.0.4","zone":"a","port_range":[1,9],'
    b'"bounds":%s,"cloud":%s}'
)


class ProviderSettingsTests(unittest.TestCase):
    """What the node file says of the provider's API."""

    def decode(self, cloud, bounds=b"{}"):
        return decode_node_file(NODE_FILE % (bounds, cloud)).provider

    def test_settings(self):
        """Duties are asked for only by a provider that lists some."""
        cloud = b'{"address":"10.9.0.1:80","duties":["metering"],"duty_per_s":50}'
        settings = ProviderSettings(
            address=Address(host="10.9.0.1", port=80),
            duties=frozenset({"metering"}),
            calls_per_s=50.0,
        )
        bounds = b'{"lease_ms":2000,"report_window_s":4,"usage_delay_s":8}'
        other = ProviderSettings(
            address=Address(host="10.9.0.1", port=80),
            duties=frozenset({"metering"}),
            calls_per_s=50.0,
            lease_s=2.0,
            usage_window_s=4.0,
            usage_delay_s=8.0,
        )
        cases = [
            ("none", b"null", b"{}", None),
            ("no duties", b'{"address":"10.9.0.1:80","duties":[]}', b"{}", None),
            ("nothing", b"{}", b"{}", None),
            ("defaults", cloud, b"{}", settings),
            ("bounds", cloud, bounds, other),
        ]
        for name, text, bounds_text, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.decode(text, bounds_text), expected)

    def test_invalid(self):
        """An invalid address or window is an error, not a crash later."""
        cases = [
            (b'{"address":"nowhere","duties":["metering"]}', b"{}"),
            (b'{"duties":["metering"]}', b"{}"),
            (b'{"address":"10.9.0.1:80","duties":["x"]}', b'{"report_window_s":0}'),
            (b'{"address":"10.9.0.1:80","duties":["x"]}', b'{"report_window_s":1e-4}'),
        ]
        for cloud, bounds in cases:
            with self.subTest(cloud=cloud), self.assertRaises(DECODE_ERRORS):
                self.decode(cloud, bounds)


class UsageCallTests(unittest.TestCase):
    def test_call(self):
        """The report names its holder and the fencing token."""
        call = build_usage_call(window=7, counts={"a": 3}, holder="n1", token=12)
        self.assertEqual(
            call,
            ProviderCall(
                path="/usage",
                headers=(
                    ("Carobspring-Lease-Owner", "n1"),
                    ("Carobspring-Fencing-Token", "12"),
                    ("Content-Type", "application/json"),
                ),
                body=b'{"window_id":7,"counts":{"a":3}}',
            ),
        )


if __name__ == "__main__":
    unittest.main()
