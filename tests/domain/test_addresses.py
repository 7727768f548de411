import unittest

from carobspring.domain import Address, InvalidValueError, parse_addresses


class ParseAddressesTests(unittest.TestCase):
    def test_addresses(self):
        """Addresses are separated by commas; empty text gives none."""
        first = Address(host="10.0.0.1", port=7100)
        cases = {
            "none": ("", ()),
            "one": ("10.0.0.1:7100", (first,)),
            "two": (
                " 10.0.0.1:7100, 127.0.0.1:1",
                (first, Address(host="127.0.0.1", port=1)),
            ),
        }
        for name, (text, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(parse_addresses("control", text), expected)

    def test_invalid_addresses(self):
        """An invalid address raises an error that names the field."""
        for text in ("x", "host:1", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:x", ":7"):
            with self.subTest(text):
                with self.assertRaisesRegex(InvalidValueError, "^control: got"):
                    parse_addresses("control", text)
